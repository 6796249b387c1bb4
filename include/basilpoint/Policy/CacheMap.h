#pragma once

#include "basilpoint/Policy/ReplicaSet.h"

#include <set>

namespace basilpoint {

/// Prompt prefix of one program that is expected to be cached at one replica.
struct CacheEntry {
    ReplicaIndex replica = 0;
    TokenCount tokens = 0;
    /// Time at which the cache is released unless the program makes another call.
    TimePoint expiresAt;
    /// Cache events of the replica were missed since the entry was added, so it may have been evicted.
    bool uncertain = false;
};

/// Cache entry with the program to which it belongs.
struct OwnedCache {
    ProgramId program;
    CacheEntry entry;
};

/// Estimate of which programs' prompt prefixes are cached at which replicas.
///
/// Entries are added for dispatched calls and corrected by the replicas' cache events. Each entry
/// belongs to a program and expires, so that no cache outlives its program for long.
class CacheMap {
public:
    /// Adds the entry or replaces it.
    void put(const ProgramId&, ReplicaIndex, TokenCount, TimePoint expiresAt);

    /// Sets the expiry time of all entries of the program.
    void setExpiry(const ProgramId&, TimePoint expiresAt);

    void erase(const ProgramId&, ReplicaIndex);

    /// Removes and returns all entries of the program.
    std::vector<CacheEntry> take(const ProgramId&);

    /// Removes and returns the expired entries.
    std::vector<OwnedCache> takeExpired(TimePoint now);

    /// Marks all entries of the replica as uncertain.
    void markUncertain(ReplicaIndex);

    /// Removes all entries of the replica.
    void eraseReplica(ReplicaIndex);

    /// Entries of the program; the reference is valid until the map changes.
    const std::vector<CacheEntry>& entriesOf(const ProgramId&) const;

    /// Tokens of the program expected to be cached at the replica; an uncertain entry counts half.
    TokenCount expectedTokens(const ProgramId&, ReplicaIndex) const;

    /// Tokens of all programs expected to be cached at the replica.
    TokenCount tokensAt(ReplicaIndex) const;

    /// Programs with an entry at the replica.
    std::vector<ProgramId> programsAt(ReplicaIndex) const;

    std::size_t size() const { return m_byExpiry.size(); }

    /// Mean number of tokens per entry; 0 if there are none.
    double meanTokens() const { return m_byExpiry.empty() ? 0 : static_cast<double>(m_tokens) / static_cast<double>(m_byExpiry.size()); }

private:
    struct ExpiryKey {
        TimePoint expiresAt;
        ProgramId program;
        ReplicaIndex replica;
        auto operator<=>(const ExpiryKey&) const = default;
    };

    void removeFromIndexes(const ProgramId&, const CacheEntry&);

    std::unordered_map<ProgramId, std::vector<CacheEntry>> m_programs;
    struct ReplicaEntries {
        std::set<ProgramId> programs;
        TokenCount tokens = 0;
    };

    std::unordered_map<ReplicaIndex, ReplicaEntries> m_replicas;
    std::set<ExpiryKey> m_byExpiry;
    TokenCount m_tokens = 0;
};

} // namespace basilpoint
