#pragma once

#include "basilpoint/Net/KeyValueStore.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpoint {

/// Records that were written or read lately, in groups that are asked for and forgotten whole.
///
/// Answers to many daemons of which each sees a program's next turn for the first time: the one that
/// commits for them has seen all its records. What is found was stored; newer records may exist.
class RecordCache {
public:
    explicit RecordCache(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /// Takes a record of \p group, unless a newer one of its key is known.
    void put(const std::string& group, const KeyValue&);

    /// The records of \p group; empty if none are known.
    std::vector<KeyValue> find(const std::string& group);

    /// One record of \p group; empty if it is not known.
    std::optional<KeyValue> find(const std::string& group, const std::string& key) const;

    /// Drops a group that turned out to exist no more.
    void forget(const std::string& group);

    std::size_t bytes() const { return m_bytes; }
    /// Groups that were dropped for lack of room so far.
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
