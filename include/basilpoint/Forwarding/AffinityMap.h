#pragma once

#include "basilpoint/Forwarding/TargetDirectory.h"

#include <list>
#include <string>
#include <unordered_map>

namespace basilpoint {

/// Remembers which target has handled each affinity key lately.
class AffinityMap {
public:
    explicit AffinityMap(std::size_t maxEntries = defaultMaxEntries)
        : m_maxEntries(maxEntries)
    {
    }

    /// Records that the target has handled a call with \p key.
    void handled(const std::string& key, const TargetId&, TimePoint now);

    /// Target that has handled \p key last, within \ref retention; empty if there is none.
    TargetId holder(const std::string& key, TimePoint now) const;

    /// Forgets a target whose lifetime has ended.
    void forget(const TargetId&);

    std::size_t size() const { return m_entries.size(); }

    /// About 150 bytes each, so under 1 MB.
    static constexpr std::size_t defaultMaxEntries = 4'096;
    /// Targets keep few objects, so after this time the object has probably been replaced by others.
    static constexpr std::chrono::minutes retention { 1 };

private:
    struct Entry {
        std::uint64_t key = 0;
        TargetId target;
        TimePoint at;
    };

    std::size_t m_maxEntries;
    /// The least recently handled first.
    std::list<Entry> m_entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_keys;
};

} // namespace basilpoint
