#pragma once

#include "KeeperSuccession.h"

#include "basilpoint/Gateway/KeeperView.h"

#include <map>
#include <optional>

namespace basilpoint {

/// What a keeper answers to the periodic probe of another one.
struct KeeperReport {
    /// Without members if the caller knows this view or a newer one.
    KeeperView view;
    /// Keepers that have not answered it for \ref KeeperSuccession::silenceLimit.
    InstanceNames silent;
    /// Its instance is to be emptied.
    bool isLeaving = false;

    bool operator==(const KeeperReport&) const = default;
};

/// Decides when the view of the keepers changes.
///
/// Every instance with a disk runs a keeper, but only as many are members of the view as are needed for quorums and for the
/// load of the gateways; the others stand by. A standby joins in place of a member that leaves or is gone. A member that
/// leaves waits for that, so that fewer members remain only if no instance stands by. Members beyond quorums are added
/// several at a time by the first member, since each change of the view involves all keepers and gateways.
class KeeperMembership {
public:
    /// \param tolerated number of keepers' disks that may be lost at once.
    KeeperMembership(RelayAddress self, unsigned tolerated);

    void setView(const KeeperView&, TimePoint now);
    const KeeperView& view() const { return m_view; }
    const RelayAddress& self() const { return m_self; }

    /// The instance is to be emptied, so its keeper leaves the view.
    void empty(const std::string& instance) { m_emptied.insert(instance); }
    bool isLeaving() const { return m_emptied.contains(m_self.instance); }

    /// Sets the number of gateways, whose calls the members serve while the store is out of reach.
    void setGateways(std::size_t n) { m_gateways = n; }

    /// A standby has probed this keeper.
    void standbySeen(const RelayAddress&, TimePoint now);

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

    /// Number of members that quorums need.
    std::size_t wantedMembers() const { return committeeSize(m_tolerated); }

    /// Number of members to have, if there are as many keepers. Not below wantedMembers().
    std::size_t targetMembers() const;

    /// Gateways per member. In an outage, each gateway makes about 70 calls a second to the members, each of which serves
    /// about a thousand on 0.3 of a core.
    static constexpr std::size_t gatewaysPerMember = 7;

private:
    Step nextOfJoint(const InstanceNames& gone) const;
    Step join(const std::vector<RelayAddress>& staying, const InstanceNames& gone, TimePoint now) const;
    Step grow(const std::vector<RelayAddress>& staying, const InstanceNames& gone, TimePoint now) const;
    std::vector<RelayAddress> standbysToAdd(std::size_t count, const std::vector<RelayAddress>& staying, TimePoint now) const;
    Step removeEmptied(const std::vector<RelayAddress>& staying, const InstanceNames& gone, TimePoint now) const;
    /// Whether the keepers that answer include a read quorum of the view.
    bool hasQuorumOfAnswers(const KeeperView&) const;
    /// Whether all \p members are gone and have no entry that is not stored.
    bool areExpendable(const std::vector<RelayAddress>& members, const InstanceNames& gone) const;
    /// Whether all entries of the previous members of a joint view can be read, or are stored.
    bool isPreviousKnown(const InstanceNames& gone) const;
    /// The first step of a view without the current members, if these are expendable.
    Step beginWithout(const InstanceNames& gone) const;
    bool isFirstOf(const std::vector<RelayAddress>&) const;

    RelayAddress m_self;
    unsigned m_tolerated;
    KeeperView m_view;
    InstanceNames m_emptied;
    KeeperSuccession m_succession;
    /// Reports of the keepers that answered the last probe.
    std::map<std::string, KeeperReport> m_reports;
    struct Standby {
        RelayAddress address;
        TimePoint firstSeenAt;
        TimePoint seenAt;
    };
    std::map<std::string, Standby> m_standbys;
    std::size_t m_gateways = 0;
    /// When this keeper learned of the current view.
    TimePoint m_viewSince;
    /// Since when too few members of the current view stay.
    std::optional<TimePoint> m_shortSince;
};

} // namespace basilpoint
