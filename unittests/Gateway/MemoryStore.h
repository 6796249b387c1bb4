#pragma once

#include "basilpoint/Net/TransactionalStore.h"

#include <algorithm>
#include <map>

namespace basilpoint {

/// Store in memory that answers at once.
class MemoryStore final : public TransactionalStore {
public:
    std::optional<KeyValue> get(const std::string& key) override
    {
        auto it = items.find(key);
        return it == items.end() ? std::nullopt : std::optional(it->second);
    }

    KeyTransactionResult commit(const KeyTransaction& transaction, Milliseconds) override
    {
        KeyTransactionResult result;
        bool isRefused = false;
        for (const KeyCondition& it : transaction.conditions) {
            auto current = get(it.key);
            isRefused = isRefused || (current ? current->modRevision : 0) != it.revision;
            if (current)
                result.current.push_back(*current);
        }
        if (isRefused)
            return result;
        last = transaction;
        largest = std::max(largest, transaction.entries());
        ++m_revision;
        for (const KeyWrite& it : transaction.puts)
            items[it.key] = { it.key, it.value, m_revision };
        for (const std::string& it : transaction.deletes)
            items.erase(it);
        return { m_revision, {} };
    }

    std::int64_t awaitChanges(const std::string&, std::int64_t after, Milliseconds, Milliseconds, const ChangeHandler&) override { return after; }

    KeySnapshot snapshot(const std::string& prefix, ReadMode, Milliseconds) override
    {
        KeySnapshot result { {}, m_revision };
        for (const auto& [key, item] : items)
            if (key.starts_with(prefix))
                result.items.push_back(item);
        return result;
    }

    std::map<std::string, KeyValue> items;
    KeyTransaction last;
    /// Entries of the largest transaction.
    std::size_t largest = 0;

private:
    std::int64_t m_revision = 1;
};

} // namespace basilpoint
