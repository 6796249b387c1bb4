#pragma once

#include "basilpoint/Net/KeyValueStore.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpoint {

/// LRU cache of stored records, in groups that are looked up and evicted as a whole.
///
/// Each turn of a program may reach another daemon, which has to read the program first. The daemon that commits for
/// them has seen all of the program's records and can return them from here. Cached records have been stored; newer
/// ones may exist.
class RecordCache {
public:
    explicit RecordCache(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /// Adds a record to \p group, unless a newer one with its key is cached.
    void put(const std::string& group, const KeyValue&);

    /// Records of \p group; empty if none are cached.
    std::vector<KeyValue> find(const std::string& group);

    /// One record of \p group; empty if it is not cached.
    std::optional<KeyValue> find(const std::string& group, const std::string& key) const;

    /// Removes a group whose records no longer exist in the store.
    void forget(const std::string& group);

    std::size_t bytes() const { return m_bytes; }
    /// Number of groups evicted so far.
    std::uint64_t evictions() const { return m_evictions; }
    std::size_t groups() const { return m_groups.size(); }

private:
    struct Group {
        std::map<std::string, KeyValue> records;
        std::size_t bytes = 0;
        std::list<std::string>::iterator recent;
    };

    Group& touch(const std::string& group);
    void evict();

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::uint64_t m_evictions = 0;
    std::map<std::string, Group> m_groups;
    /// Least recently used first.
    std::list<std::string> m_recent;
};

} // namespace basilpoint
