#pragma once

#include "basilpoint/Fleet/Membership.h"

#include <map>
#include <optional>

namespace basilpoint {

/// Effect of merging an update.
enum class MergeResult {
    Unchanged,
    /// The record changed, but not its state: for example by a new incarnation. Is forwarded, but not acted on.
    Refreshed,
    StateChanged,
    /// The update reports a member as running that is dead here under the same incarnation.
    Contradicted,
};

/// Table of the other members, with the rules for merging updates from peers.
class MemberTable {
public:
    struct Entry {
        MemberInfo info;
        /// Set while the member is suspected. It is considered dead once this time has passed.
        std::optional<TimePoint> suspectUntil;
        /// When the member was marked dead.
        TimePoint deadSince;

        bool isDead() const { return info.state == MemberState::Dead; }
    };

    /// Merges \p update. If it starts a suspicion, this one lasts for \p suspicion.
    MergeResult merge(const MemberInfo& update, Milliseconds suspicion, TimePoint now);

    /// Marks a member as dead without a suspicion before.
    void markDead(const InstanceId&, TimePoint now);

    /// Marks members as dead whose suspicion has expired, and returns them.
    std::vector<InstanceId> expireSuspicions(TimePoint now);

    /// Removes members that have been dead since before \p limit.
    void forgetDead(TimePoint limit);

    /// Extends all suspicions after this process was paused and could not receive refutations.
    void extendSuspicions(TimePoint::duration);

    const Entry* find(const InstanceId&) const;
    const std::map<InstanceId, Entry>& entries() const { return m_entries; }

    /// Number of members that are not dead.
    std::size_t liveCount() const { return m_liveCount; }

    /// Hash over the members that are not dead, and whether each is leaving.
    std::uint64_t viewHash() const { return m_viewHash; }

private:
    MergeResult insert(const MemberInfo& update);
    MergeResult mergeSameIncarnation(Entry&, const MemberInfo& update, Milliseconds suspicion, TimePoint now);
    MergeResult mergeNewerIncarnation(Entry&, const MemberInfo& update, Milliseconds suspicion, TimePoint now);
    void beginSuspicion(Entry&, Milliseconds suspicion, TimePoint now);
    void setState(Entry&, MemberState, TimePoint now);
    void addToTotals(const Entry&);
    void removeFromTotals(const Entry&);

    std::map<InstanceId, Entry> m_entries;
    /// No suspicion expires before this.
    TimePoint m_nextExpiry = TimePoint::max();
    std::size_t m_liveCount = 0;
    std::uint64_t m_viewHash = 0;
};

/// Contribution of one member to the view hash.
std::uint64_t viewHashOf(const MemberInfo&);

} // namespace basilpoint
