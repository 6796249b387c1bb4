#pragma once

#include "basilpoint/Net/KeyValueStore.h"

namespace basilpoint {

/// Requires that a key has this revision; 0 requires that it does not exist.
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

/// Writes that are applied atomically if all conditions hold.
struct KeyTransaction {
    std::vector<KeyCondition> conditions;
    std::vector<KeyWrite> puts;
    std::vector<std::string> deletes;

    std::size_t entries() const { return conditions.size() + puts.size() + deletes.size(); }
    bool operator==(const KeyTransaction&) const = default;
};

/// Result of a transaction.
struct KeyTransactionResult {
    /// Revision of the writes; empty if a condition failed.
    std::optional<std::int64_t> revision;
    /// Current state of the conditions' keys if a condition failed; keys that do not exist are omitted.
    std::vector<KeyValue> current;
};

/// Keys with a prefix, and the store revision from which a watch continues without a gap.
struct KeySnapshot {
    std::vector<KeyValue> items;
    std::int64_t revision = 0;
};

/// Required freshness of a read.
enum class ReadMode {
    /// At least as recent as the start of the call.
    Current,
    /// May be seconds old; cheaper for the store.
    Stale,
};

/// Key-value service with transactions over several keys.
class TransactionalStore {
public:
    using ChangeHandler = KeyValueStore::ChangeHandler;

    virtual ~TransactionalStore() = default;

    virtual std::optional<KeyValue> get(const std::string& key) = 0;

    /// Applies a transaction.
    /// \param limit longest wait for the response.
    /// \throws KeyValueUnavailableError, as all member functions do. The transaction may then still be applied,
    /// even later, if its conditions hold at that time.
    virtual KeyTransactionResult commit(const KeyTransaction&, Milliseconds limit) = 0;

    /// Waits up to \p wait for changes after revision \p after, and passes them to the handler.
    /// \param limit longest wait for the response beyond \p wait.
    /// \returns the value of \p after for the next call.
    virtual std::int64_t awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, Milliseconds limit, const ChangeHandler&) = 0;

    /// Reads all keys that begin with \p prefix.
    /// \param limit longest wait for one page of the response.
    virtual KeySnapshot snapshot(const std::string& prefix, ReadMode, Milliseconds limit) = 0;
};

} // namespace basilpoint
