#include "KeeperMembership.h"

#include <algorithm>

namespace basilpoint {

// A standby of a data centre that has a keeper leaves time for one of a data centre that has none.
static constexpr Milliseconds joinDelay { 1'200 };
// How long a leaving member waits for a standby: longer than it takes one to notice and to join.
static constexpr Milliseconds replacementLimit { 4'000 };
// A standby that has not probed for this long is not added.
static constexpr Milliseconds standbyLifetime { 2'500 };
// Keepers start within a third of a second of each other and probe once a second, so this adds all that have started
// together in one change.
static constexpr Milliseconds growthDelay { 1'300 };
// A change has a condition for each keeper that joins, and a call to the store holds 32 entries.
static constexpr std::size_t maxJoiningAtOnce = 24;
// Longer than it takes daemons that reach the store to read the view.
static constexpr Milliseconds sealDelay { 15'000 };

KeeperMembership::KeeperMembership(RelayAddress self, unsigned tolerated)
    : m_self(std::move(self))
    , m_tolerated(tolerated)
{
}

void KeeperMembership::setView(const KeeperView& view, TimePoint now)
{
    if (view.version <= m_view.version)
        return;
    m_view = view;
    m_viewSince = now;
    m_shortSince.reset();
    std::erase_if(m_reports, [&](const auto& it) { return !view.contains(it.first); });
    m_succession.retain([&](const std::string& it) { return view.contains(it); });
}

void KeeperMembership::answered(const std::string& keeper, const KeeperReport& report, TimePoint now)
{
    m_succession.answered(keeper);
    m_reports[keeper] = report;
    setView(report.view, now);
}

void KeeperMembership::failed(const std::string& keeper, TimePoint now)
{
    m_succession.failed(keeper, now);
    m_reports.erase(keeper);
}

KeeperReport KeeperMembership::report(TimePoint now) const
{
    std::vector<std::string> silent = m_succession.gone(now);
    return { m_view, InstanceNames(silent.begin(), silent.end()), isLeaving() };
}

// One keeper alone may be cut off from a member that serves everyone else. A keeper that does not know the view yet
// probes nobody.
InstanceNames KeeperMembership::gone(TimePoint now) const
{
    InstanceNames gone;
    for (const std::string& keeper : m_succession.gone(now)) {
        bool isConfirmed = std::all_of(m_reports.begin(), m_reports.end(), [&](const auto& it) { return it.second.view.version == 0 || it.second.silent.contains(keeper); });
        if (m_view.contains(keeper) && isConfirmed)
            gone.insert(keeper);
    }
    return gone;
}

static std::vector<RelayAddress> without(const std::vector<RelayAddress>& keepers, const InstanceNames& removed)
{
    std::vector<RelayAddress> remaining;
    std::copy_if(keepers.begin(), keepers.end(), std::back_inserter(remaining), [&](const RelayAddress& it) { return !removed.contains(it.instance); });
    return remaining;
}

// Members that are gone may still be alive and answer daemons that know only older views. These learn of the joint view
// from the store meanwhile.
InstanceNames KeeperMembership::assumedSealed(TimePoint now) const
{
    return m_view.isJoint() && now - m_viewSince >= sealDelay ? gone(now) : InstanceNames();
}

bool KeeperMembership::hasQuorumOfAnswers(const KeeperView& view) const
{
    InstanceNames answering;
    for (const auto& [keeper, report] : m_reports)
        answering.insert(keeper);
    if (view.contains(m_self.instance))
        answering.insert(m_self.instance);
    return isReadQuorum(view, answering, m_tolerated);
}

// Members that are too few for a write quorum took no entries, and all from before were stored when they became the members.
bool KeeperMembership::areExpendable(const std::vector<RelayAddress>& members, const InstanceNames& gone) const
{
    return members.size() <= m_tolerated && without(members, gone).empty();
}

bool KeeperMembership::isPreviousKnown(const InstanceNames& gone) const
{
    return hasQuorumOfAnswers({ m_view.version, m_view.previous }) || areExpendable(m_view.previous, gone);
}

bool KeeperMembership::isFirstOf(const std::vector<RelayAddress>& keepers) const
{
    auto isAnswering = [&](const RelayAddress& it) { return it.instance == m_self.instance || m_reports.contains(it.instance); };
    auto first = std::find_if(keepers.begin(), keepers.end(), isAnswering);
    return first != keepers.end() && first->instance == m_self.instance;
}

KeeperMembership::Step KeeperMembership::next(TimePoint now)
{
    if (m_view.members.empty())
        return isLeaving() ? Step {} : Step { Action::Begin, beginChange(m_view, { m_self }) };
    InstanceNames gone = this->gone(now);
    InstanceNames unavailable = m_emptied;
    unavailable.insert(gone.begin(), gone.end());
    for (const auto& [keeper, report] : m_reports)
        if (report.isLeaving)
            unavailable.insert(keeper);
    std::vector<RelayAddress> staying = without(m_view.members, unavailable);
    if (staying.size() >= wantedMembers())
        m_shortSince.reset();
    else if (!m_shortSince)
        m_shortSince = now;
    if (m_view.isJoint())
        return nextOfJoint(gone);
    // Without a quorum a change could not be completed.
    if (!hasQuorumOfAnswers(m_view))
        return beginWithout(gone);
    if (!m_view.contains(m_self.instance))
        return join(staying, gone, now);
    Step step = removeEmptied(staying, gone, now);
    return step.action == Action::None ? grow(staying, gone, now) : step;
}

std::size_t KeeperMembership::targetMembers() const
{
    return std::max(wantedMembers(), (m_gateways + gatewaysPerMember - 1) / gatewaysPerMember);
}

void KeeperMembership::standbySeen(const RelayAddress& standby, TimePoint now)
{
    auto [it, isNew] = m_standbys.try_emplace(standby.instance, Standby { standby, now, now });
    if (now - it->second.seenAt > standbyLifetime)
        it->second.firstSeenAt = now;
    it->second.address = standby;
    it->second.seenAt = now;
}

// Those of data centres with few members come first, so that a committee rarely has many keepers in one of them.
std::vector<RelayAddress> KeeperMembership::standbysToAdd(std::size_t count, const std::vector<RelayAddress>& staying, TimePoint now) const
{
    std::map<DataCentreId, std::size_t> membersIn;
    for (const RelayAddress& it : staying)
        ++membersIn[it.dataCentre];
    std::vector<RelayAddress> available;
    for (const auto& [name, standby] : m_standbys)
        if (now - standby.seenAt <= standbyLifetime && !m_view.contains(name) && !m_emptied.contains(name))
            available.push_back(standby.address);
    std::vector<RelayAddress> added;
    while (added.size() < count && !available.empty()) {
        auto next = std::min_element(available.begin(), available.end(), [&](const RelayAddress& one, const RelayAddress& other) { return membersIn[one.dataCentre] < membersIn[other.dataCentre]; });
        ++membersIn[next->dataCentre];
        added.push_back(*next);
        available.erase(next);
    }
    return added;
}

// Below the wanted number, standbys join by themselves.
KeeperMembership::Step KeeperMembership::grow(const std::vector<RelayAddress>& staying, const InstanceNames& gone, TimePoint now) const
{
    if (staying.size() < wantedMembers() || staying.size() >= targetMembers() || !isFirstOf(staying))
        return {};
    bool isAnyKnownForLong = std::any_of(m_standbys.begin(), m_standbys.end(), [&](const auto& it) { return now - it.second.firstSeenAt >= growthDelay; });
    std::vector<RelayAddress> added = standbysToAdd(std::min(targetMembers() - staying.size(), maxJoiningAtOnce), staying, now);
    if (added.empty() || !isAnyKnownForLong)
        return {};
    std::vector<RelayAddress> members = without(m_view.members, gone);
    members.insert(members.end(), added.begin(), added.end());
    return { Action::Begin, beginChange(m_view, std::move(members)) };
}

// A keeper that joins completes the change, since it began it; without one, a keeper that leaves does, else the first
// member. If a member is gone, the change continues without it.
KeeperMembership::Step KeeperMembership::nextOfJoint(const InstanceNames& gone) const
{
    std::vector<RelayAddress> joining = without(without(m_view.members, namesOf(m_view.previous)), gone);
    std::vector<RelayAddress> leaving = without(without(m_view.previous, namesOf(m_view.members)), gone);
    std::vector<RelayAddress> members = without(m_view.members, gone);
    const std::vector<RelayAddress>& withoutJoining = leaving.empty() ? members : leaving;
    if (!isFirstOf(joining.empty() ? withoutJoining : joining))
        return {};
    if (members.size() == m_view.members.size())
        return isPreviousKnown(gone) && hasQuorumOfAnswers({ m_view.version, m_view.members }) ? Step { Action::Complete } : Step {};
    // Until the change is completed, which the store refuses once another has begun, the previous members have all entries.
    if (!isPreviousKnown(gone))
        return {};
    return { Action::Begin, beginChange(m_view, members.empty() ? m_view.previous : members) };
}

KeeperMembership::Step KeeperMembership::beginWithout(const InstanceNames& gone) const
{
    if (isLeaving() || !areExpendable(m_view.members, gone))
        return {};
    return { Action::Begin, beginChange(m_view, { m_self }) };
}

KeeperMembership::Step KeeperMembership::join(const std::vector<RelayAddress>& staying, const InstanceNames& gone, TimePoint now) const
{
    if (isLeaving() || !m_shortSince)
        return {};
    bool hasMemberHere = std::any_of(staying.begin(), staying.end(), [&](const RelayAddress& it) { return it.dataCentre == m_self.dataCentre; });
    if (hasMemberHere && now - *m_shortSince < joinDelay)
        return {};
    std::vector<RelayAddress> members = without(m_view.members, gone);
    members.push_back(m_self);
    return { Action::Begin, beginChange(m_view, std::move(members)) };
}

// A keeper that leaves removes itself. If it is gone, the first of the others does so.
KeeperMembership::Step KeeperMembership::removeEmptied(const std::vector<RelayAddress>& staying, const InstanceNames& gone, TimePoint now) const
{
    InstanceNames removed;
    for (const std::string& it : m_emptied)
        if (m_view.contains(it) && (it == m_self.instance || (gone.contains(it) && isFirstOf(staying))))
            removed.insert(it);
    std::vector<RelayAddress> members = without(m_view.members, removed);
    bool mayBeReplaced = m_shortSince && now - *m_shortSince < replacementLimit;
    if (removed.empty() || without(members, gone).empty() || mayBeReplaced)
        return {};
    return { Action::Begin, beginChange(m_view, std::move(members)) };
}

} // namespace basilpoint
