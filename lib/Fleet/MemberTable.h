#pragma once

#include "basilpoint/Fleet/Membership.h"

#include <map>
#include <optional>

namespace basilpoint {

/// What a claim about a member did to the table.
enum class MergeResult {
    Unchanged,
    /// Worth passing on, but nothing that the daemon acts on, such as a new incarnation.
    Refreshed,
    StateChanged,
    /// The claim says that a member lives which is dead here under the same incarnation.
    Contradicted,
};

/// Other members with the rules by which claims about them are merged.
class MemberTable {
public:
    struct Entry {
        MemberInfo info;
        /// Set while the member is under suspicion; it is dead here after that.
        std::optional<TimePoint> suspectUntil;
        /// Set once the member is dead here.
        TimePoint deadSince;

        bool isDead() const { return info.state == MemberState::Dead; }
    };

    /// Merges \p claim; a suspicion that begins by it lasts for \p suspicion.
    MergeResult merge(const MemberInfo& claim, Milliseconds suspicion, TimePoint now);

    /// Marks a member as dead on own evidence.
    void markDead(const InstanceId&, TimePoint now);

    /// Members whose suspicion has run out; they are dead from now on.
    std::vector<InstanceId> expireSuspicions(TimePoint now);

    /// Drops members that have been dead since before \p limit.
    void forgetDead(TimePoint limit);

    /// Moves all deadlines after a pause of this process, which could not hear refutations.
    void postponeDeadlines(TimePoint::duration);

    const Entry* find(const InstanceId&) const;
    const std::map<InstanceId, Entry>& entries() const { return m_entries; }

    /// Number of members that are not dead.
    std::size_t liveCount() const { return m_liveCount; }

    /// Hash over the members that are not dead and whether they leave.
    std::uint64_t viewHash() const { return m_viewHash; }

private:
    MergeResult insert(const MemberInfo& claim);
    MergeResult mergeSame(Entry&, const MemberInfo& claim, Milliseconds suspicion, TimePoint now);
    MergeResult replace(Entry&, const MemberInfo& claim, Milliseconds suspicion, TimePoint now);
    void beginSuspicion(Entry&, Milliseconds suspicion, TimePoint now);
    void setState(Entry&, MemberState, TimePoint now);
    void count(const Entry&);
    void discount(const Entry&);

    std::map<InstanceId, Entry> m_entries;
    /// No suspicion runs out before this.
    TimePoint m_nextExpiry = TimePoint::max();
    std::size_t m_liveCount = 0;
    std::uint64_t m_viewHash = 0;
};

/// A member's share in the view hash.
std::uint64_t viewHashOf(const MemberInfo&);

} // namespace basilpoint
