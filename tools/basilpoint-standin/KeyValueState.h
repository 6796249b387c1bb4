#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpoint::standin {

/// Value of one key, with its revisions and lease.
struct StoredValue {
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

/// A change of one key; \c value is empty for a deletion.
struct ChangeEvent {
    std::string key;
    std::optional<StoredValue> value;
    std::int64_t revision = 0;
};

/// State of the key-value stand-in: keys with revisions, leases, and a bounded change log for watches.
class KeyValueState {
public:
    /// \returns the keys in [begin, end), or only \p begin if \p end is empty.
    /// An \p end of one zero byte means no upper bound.
    std::map<std::string, StoredValue> range(const std::string& begin, const std::string& end) const;

    const StoredValue* find(const std::string& key) const;

    /// Whether an entry whose key and value take \p bytes fits within the memory limit.
    bool hasCapacityFor(std::size_t bytes) const;

    /// \returns false if \p lease is neither 0 nor an existing lease.
    bool put(const std::string& key, const std::string& value, std::int64_t lease);
    /// Removes the keys that \ref range returns. \returns their number.
    std::size_t remove(const std::string& begin, const std::string& end);

    std::int64_t grantLease(std::chrono::seconds ttl, TimePoint now);
    /// Renews \p lease. \returns its time to live, or 0 if it has expired.
    std::chrono::seconds keepAlive(std::int64_t lease, TimePoint now);
    void revokeLease(std::int64_t lease);
    /// Removes expired leases and the keys attached to them.
    void expire(TimePoint now);

    std::int64_t revision() const { return m_revision; }
    /// The change log no longer holds the changes up to and including this revision.
    std::int64_t compactedRevision() const { return m_compactedRevision; }

    /// Changes after \p revision to keys in [begin, end).
    std::vector<ChangeEvent> changesAfter(std::int64_t revision, const std::string& begin, const std::string& end) const;

private:
    struct Lease {
        std::chrono::seconds ttl;
        TimePoint expiresAt;
    };

    void recordChange(const std::string& key, std::optional<StoredValue> value);

    std::map<std::string, StoredValue> m_values;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<ChangeEvent> m_changes;
    std::size_t m_changeBytes = 0;
    std::size_t m_valueBytes = 0;
    std::int64_t m_compactedRevision = 0;
    std::int64_t m_revision = 1;
    std::int64_t m_nextLease = 1'000;
};

} // namespace basilpoint::standin
