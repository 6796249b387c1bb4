#pragma once

#include "basilpoint/Policy/ReplicaSet.h"

#include <set>

namespace basilpoint {

/// Believed cache of one program at one replica.
struct CacheEntry {
    ReplicaIndex replica = 0;
    TokenCount tokens = 0;
    /// The entry is released at this time unless the program calls again.
    TimePoint limit;
    /// Events of the replica were missed since the entry was made.
    bool unsure = false;
};

/// A cache entry and the program that owns it.
struct OwnedCache {
    ProgramId program;
    CacheEntry entry;
};

/// Where the programs' prompt prefixes are believed to be cached.
///
/// Built from what was sent where, corrected by the replicas' cache events. Every entry has an
/// owner and a time limit, so that nothing stays for programs that are gone.
class CacheMap {
public:
    void put(const ProgramId&, ReplicaIndex, TokenCount, TimePoint limit);

    /// Sets a new time limit of all entries of the program.
    void setLimit(const ProgramId&, TimePoint limit);

    void erase(const ProgramId&, ReplicaIndex);

    /// Removes and returns all entries of the program.
    std::vector<CacheEntry> take(const ProgramId&);

    /// Removes and returns the entries whose time limit is over.
    std::vector<OwnedCache> takeExpired(TimePoint now);

    /// Marks all entries of the replica as unsure.
    void doubt(ReplicaIndex);

    /// Forgets the replica with everything cached there.
    void eraseReplica(ReplicaIndex);

    /// Entries of the program; valid until the next change.
    const std::vector<CacheEntry>& of(const ProgramId&) const;

    /// Tokens expected to be found at the replica; an unsure entry counts half.
    TokenCount expectedTokens(const ProgramId&, ReplicaIndex) const;

    /// Tokens believed held at the replica.
    TokenCount heldAt(ReplicaIndex) const;

    /// Programs that have an entry at the replica.
    std::vector<ProgramId> programsAt(ReplicaIndex) const;

    std::size_t size() const { return m_byLimit.size(); }

    /// Mean tokens of an entry.
    double meanTokens() const { return m_byLimit.empty() ? 0 : static_cast<double>(m_tokens) / static_cast<double>(m_byLimit.size()); }

private:
    struct LimitKey {
        TimePoint limit;
        ProgramId program;
        ReplicaIndex replica;
        auto operator<=>(const LimitKey&) const = default;
    };

    void dropKeys(const ProgramId&, const CacheEntry&);

    std::unordered_map<ProgramId, std::vector<CacheEntry>> m_programs;
    struct Held {
        std::set<ProgramId> programs;
        TokenCount tokens = 0;
    };

    std::unordered_map<ReplicaIndex, Held> m_replicas;
    std::set<LimitKey> m_byLimit;
    TokenCount m_tokens = 0;
};

} // namespace basilpoint
