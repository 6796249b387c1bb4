#pragma once

#include "basilpoint/Turns/TurnLedger.h"

namespace basilpoint {

/// In-memory store: keys with revisions and atomic conditional writes.
class LedgerStore {
public:
    /// \returns the new revision, or 0 if a condition failed.
    std::int64_t commit(const LedgerBatch& batch)
    {
        for (const auto& [key, revision] : batch.conditions)
            if (revisionOf(key) != revision)
                return 0;
        ++m_revision;
        for (const auto& [key, value] : batch.puts)
            m_records[key] = { key, value, m_revision };
        return m_revision;
    }

    /// The existing records of the keys that the batch has conditions on.
    std::vector<StoredRecord> conditionRecords(const LedgerBatch& batch) const
    {
        std::vector<StoredRecord> found;
        for (const auto& [key, revision] : batch.conditions)
            if (auto it = m_records.find(key); it != m_records.end())
                found.push_back(it->second);
        return found;
    }

    std::vector<StoredRecord> recordsWithPrefix(const std::string& prefix) const
    {
        std::vector<StoredRecord> found;
        for (auto it = m_records.lower_bound(prefix); it != m_records.end() && it->first.starts_with(prefix); ++it)
            found.push_back(it->second);
        return found;
    }

    void put(const std::string& key, const std::string& value) { m_records[key] = { key, value, ++m_revision }; }
    void erase(const std::string& key) { m_records.erase(key); }

    bool has(const std::string& key) const { return m_records.contains(key); }

    std::string valueOf(const std::string& key) const { return m_records.at(key).value; }

private:
    std::int64_t revisionOf(const std::string& key) const
    {
        auto it = m_records.find(key);
        return it == m_records.end() ? 0 : it->second.revision;
    }

    std::map<std::string, StoredRecord> m_records;
    std::int64_t m_revision = 10;
};

/// Executes all writes of the ledger. \returns the outcomes of its changes.
inline std::map<ChangeId, ChangeOutcome> flush(TurnLedger& ledger, LedgerStore& store)
{
    while (auto batch = ledger.nextBatch()) {
        auto revision = store.commit(*batch);
        if (revision > 0)
            ledger.batchStored(batch->number, revision);
        else
            ledger.batchRefused(batch->number, store.conditionRecords(*batch));
    }
    std::map<ChangeId, ChangeOutcome> outcomes;
    for (auto [id, outcome] : ledger.takeOutcomes())
        outcomes[id] = outcome;
    return outcomes;
}

} // namespace basilpoint
