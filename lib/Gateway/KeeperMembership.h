#pragma once

#include "KeeperSuccession.h"

#include "basilpoint/Gateway/KeeperView.h"

#include <map>
#include <optional>

namespace basilpoint {

/// What a keeper answers to the periodic probe of another one.
struct KeeperReport {
    KeeperView view;
    /// Keepers that have not answered it for \ref KeeperSuccession::silenceLimit.
    InstanceNames silent;
    /// Its instance is to be emptied.
    bool isLeaving = false;

    bool operator==(const KeeperReport&) const = default;
};

/// Decides when the view of the keepers changes.
///
/// Every instance with a disk runs a keeper, but only as many are members of the view as are needed for quorums; the
/// others stand by. A standby joins in place of a member that leaves or is gone. A member that leaves waits for that, so
/// that fewer members remain only if no instance stands by.
class KeeperMembership {
public:
    /// \param tolerated number of keepers' disks that may be lost at once.
    KeeperMembership(RelayAddress self, unsigned tolerated);

    void setView(const KeeperView&, TimePoint now);
    const KeeperView& view() const { return m_view; }

    /// The instance is to be emptied, so its keeper leaves the view.
    void empty(const std::string& instance) { m_emptied.insert(instance); }

    void answered(const std::string& keeper, const KeeperReport&, TimePoint now);
    void failed(const std::string& keeper, TimePoint now);

    /// What this keeper knows about the others, for their decisions.
    KeeperReport report(TimePoint now) const;

    /// Members of which this keeper and all others that answer have heard nothing for the silence limit.
    InstanceNames gone(TimePoint now) const;

    enum class Action {
        None,
        /// Write \ref Step::next to the store.
        Begin,
        /// Complete the change in progress.
        Complete,
    };
    struct Step {
        Action action = Action::None;
        KeeperView next {};
    };

    /// What this keeper should do now.
    Step next(TimePoint now);

    /// Members that count as having installed the joint view although they have not answered.
    InstanceNames assumedSealed(TimePoint now) const;

    /// Whether this keeper is the first member that answers.
    bool isFirstMember() const { return isFirstOf(m_view.members); }

    /// Number of members to keep. While as many as may be lost do not answer, the others still form quorums of readers and
    /// writers and can change the view.
    std::size_t wantedMembers() const { return 2 * m_tolerated + 1; }

private:
    Step nextOfJoint(const InstanceNames& gone) const;
    Step join(const std::vector<RelayAddress>& staying, const InstanceNames& gone, TimePoint now) const;
    Step removeEmptied(const std::vector<RelayAddress>& staying, const InstanceNames& gone, TimePoint now) const;
    bool isLeaving() const { return m_emptied.contains(m_self.instance); }
    bool hasQuorumOfAnswers() const;
    bool isFirstOf(const std::vector<RelayAddress>&) const;

    RelayAddress m_self;
    unsigned m_tolerated;
    KeeperView m_view;
    InstanceNames m_emptied;
    KeeperSuccession m_succession;
    /// Reports of the keepers that answered the last probe.
    std::map<std::string, KeeperReport> m_reports;
    /// When this keeper learned of the current view.
    TimePoint m_viewSince;
    /// Since when too few members of the current view stay.
    std::optional<TimePoint> m_shortSince;
};

} // namespace basilpoint
