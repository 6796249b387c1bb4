#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpoint::standin {

/// One key as the store holds it.
struct StoredValue {
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

/// One change of a key; deletion has no value.
struct ChangeEvent {
    std::string key;
    std::optional<StoredValue> value;
    std::int64_t revision = 0;
};

/// State of the key-value stand-in: revisions, leases and a log of changes for watches.
class KeyValueState {
public:
    /// Keys in [begin, end); an empty \p end asks for \p begin alone.
    std::map<std::string, StoredValue> range(const std::string& begin, const std::string& end) const;

    const StoredValue* find(const std::string& key) const;

    /// Whether \p bytes more of keys and values fit into memory.
    bool hasRoomFor(std::size_t bytes) const;

    /// \returns false if \p lease is given and not alive.
    bool put(const std::string& key, const std::string& value, std::int64_t lease);
    std::size_t remove(const std::string& begin, const std::string& end);

    std::int64_t grantLease(std::chrono::seconds ttl, TimePoint now);
    /// \returns the lease's time to live, or 0 if it has lapsed.
    std::chrono::seconds keepAlive(std::int64_t lease, TimePoint now);
    void revokeLease(std::int64_t lease);
    /// Removes lapsed leases and the keys that hang on them.
    void expire(TimePoint now);

    std::int64_t revision() const { return m_revision; }
    /// Changes up to this revision are no longer known.
    std::int64_t compactedRevision() const { return m_compacted; }

    /// Changes after \p revision to keys in [begin, end).
    std::vector<ChangeEvent> changesAfter(std::int64_t revision, const std::string& begin, const std::string& end) const;

private:
    struct Lease {
        std::chrono::seconds ttl;
        TimePoint expiresAt;
    };

    void log(const std::string& key, std::optional<StoredValue> value);

    std::map<std::string, StoredValue> m_values;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<ChangeEvent> m_changes;
    std::size_t m_loggedBytes = 0;
    std::size_t m_valueBytes = 0;
    std::int64_t m_compacted = 0;
    std::int64_t m_revision = 1;
    std::int64_t m_nextLease = 1'000;
};

} // namespace basilpoint::standin
