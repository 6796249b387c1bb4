#pragma once

#include "basilpoint/Net/KeyValueStore.h"

namespace basilpoint {

/// A key must be at this revision; 0: it must not exist.
struct KeyCondition {
    std::string key;
    std::int64_t revision = 0;

    bool operator==(const KeyCondition&) const = default;
};

/// One key to be written.
struct KeyWrite {
    std::string key;
    std::string value;

    bool operator==(const KeyWrite&) const = default;
};

/// Writes that happen together, if all conditions hold.
struct KeyTransaction {
    std::vector<KeyCondition> conditions;
    std::vector<KeyWrite> puts;
    std::vector<std::string> deletes;

    std::size_t entries() const { return conditions.size() + puts.size() + deletes.size(); }
    bool operator==(const KeyTransaction&) const = default;
};

/// What became of a transaction.
struct KeyTransactionResult {
    /// Revision of the writes; empty if a condition did not hold.
    std::optional<std::int64_t> revision;
    /// The conditions' keys as they are, if one did not hold; keys that do not exist are left out.
    std::vector<KeyValue> current;
};

/// Keys below a prefix, and the store's revision from which a watch goes on without a gap.
struct KeySnapshot {
    std::vector<KeyValue> items;
    std::int64_t revision = 0;
};

/// How fresh a read must be.
enum class ReadMode {
    /// As of the call.
    Current,
    /// May be seconds old, and costs less.
    Stale,
};

/// Key-value service that writes several keys at once.
class TransactionalStore {
public:
    using ChangeHandler = KeyValueStore::ChangeHandler;

    virtual ~TransactionalStore() = default;

    virtual std::optional<KeyValue> get(const std::string& key) = 0;

    /// \throws KeyValueUnavailableError, as all calls do; the writes may happen then, also later,
    /// as long as their conditions hold.
    /// \param limit longest wait for the answer.
    virtual KeyTransactionResult commit(const KeyTransaction&, Milliseconds limit) = 0;

    /// Waits up to \p wait for changes after revision \p after, and hands them on.
    /// \param limit longest wait for the answer beyond \p wait.
    /// \returns the revision from which to wait next.
    virtual std::int64_t awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, Milliseconds limit, const ChangeHandler&) = 0;

    /// \param limit longest wait for one page of the answer.
    virtual KeySnapshot snapshot(const std::string& prefix, ReadMode, Milliseconds limit) = 0;
};

} // namespace basilpoint
