#include "MemberTable.h"

#include "basilpoint/Support/Hash.h"

#include <algorithm>

namespace basilpoint {

std::uint64_t viewHashOf(const MemberInfo& member)
{
    // Excludes incarnations and suspicions, which change constantly on a lossy network.
    return hash64(member.id.text(), member.state == MemberState::Leaving ? 1 : 0);
}

MergeResult MemberTable::merge(const MemberInfo& update, Milliseconds suspicion, TimePoint now)
{
    auto it = m_entries.find(update.id);
    if (it == m_entries.end())
        return insert(update);
    Entry& entry = it->second;
    if (update.incarnation < entry.info.incarnation)
        return MergeResult::Unchanged;
    if (update.incarnation > entry.info.incarnation)
        return mergeNewerIncarnation(entry, update, suspicion, now);
    return mergeSameIncarnation(entry, update, suspicion, now);
}

MergeResult MemberTable::insert(const MemberInfo& update)
{
    // A failure report carries no addresses. Besides, daemons that have forgotten a dead member would insert it again
    // from each other's reports forever.
    if (update.state == MemberState::Suspect || update.state == MemberState::Dead)
        return MergeResult::Unchanged;
    addToTotals(m_entries.emplace(update.id, Entry { update, {}, {} }).first->second);
    return MergeResult::StateChanged;
}

/// The known record under the higher incarnation of a failure report, which carries nothing else about the member.
static MemberInfo withFailureReport(MemberInfo known, const MemberInfo& update)
{
    known.incarnation = update.incarnation;
    // Leaving is never undone, and a failure report does not contain it.
    if (known.state != MemberState::Leaving && known.state != update.state)
        known.state = MemberState::Alive;
    return known;
}

MergeResult MemberTable::mergeNewerIncarnation(Entry& entry, const MemberInfo& update, Milliseconds suspicion, TimePoint now)
{
    MemberState before = entry.info.state;
    removeFromTotals(entry);
    bool failureReport = update.state == MemberState::Suspect || update.state == MemberState::Dead;
    entry.info = failureReport ? withFailureReport(entry.info, update) : update;
    entry.suspectUntil.reset();
    addToTotals(entry);
    mergeSameIncarnation(entry, update, suspicion, now);
    return before == entry.info.state ? MergeResult::Refreshed : MergeResult::StateChanged;
}

MergeResult MemberTable::mergeSameIncarnation(Entry& entry, const MemberInfo& update, Milliseconds suspicion, TimePoint now)
{
    if (entry.isDead()) {
        bool reportedRunning = update.state == MemberState::Alive || update.state == MemberState::Leaving;
        return reportedRunning ? MergeResult::Contradicted : MergeResult::Unchanged;
    }
    switch (update.state) {
    case MemberState::Alive:
        return MergeResult::Unchanged;
    case MemberState::Leaving:
        if (entry.info.state == MemberState::Leaving)
            return MergeResult::Unchanged;
        setState(entry, MemberState::Leaving, now);
        return MergeResult::StateChanged;
    case MemberState::Dead:
        if (entry.suspectUntil) {
            setState(entry, MemberState::Dead, now);
            return MergeResult::StateChanged;
        }
        // A report of death alone only starts a suspicion, so that the member has time to refute it here as well.
        [[fallthrough]];
    case MemberState::Suspect:
        if (entry.suspectUntil)
            return MergeResult::Unchanged;
        beginSuspicion(entry, suspicion, now);
        if (entry.info.state != MemberState::Leaving)
            setState(entry, MemberState::Suspect, now);
        return MergeResult::StateChanged;
    }
    return MergeResult::Unchanged;
}

void MemberTable::markDead(const InstanceId& id, TimePoint now)
{
    auto it = m_entries.find(id);
    if (it != m_entries.end() && !it->second.isDead())
        setState(it->second, MemberState::Dead, now);
}

std::vector<InstanceId> MemberTable::expireSuspicions(TimePoint now)
{
    std::vector<InstanceId> expired;
    if (now < m_nextExpiry)
        return expired;
    m_nextExpiry = TimePoint::max();
    for (auto& [id, entry] : m_entries) {
        if (!entry.suspectUntil)
            continue;
        if (*entry.suspectUntil > now) {
            m_nextExpiry = std::min(m_nextExpiry, *entry.suspectUntil);
            continue;
        }
        setState(entry, MemberState::Dead, now);
        expired.push_back(id);
    }
    return expired;
}

void MemberTable::forgetDead(TimePoint limit)
{
    std::erase_if(m_entries, [&](const auto& it) { return it.second.isDead() && it.second.deadSince < limit; });
}

void MemberTable::extendSuspicions(TimePoint::duration pause)
{
    for (auto& [id, entry] : m_entries) {
        if (entry.suspectUntil)
            *entry.suspectUntil += pause;
    }
}

const MemberTable::Entry* MemberTable::find(const InstanceId& id) const
{
    auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

void MemberTable::beginSuspicion(Entry& entry, Milliseconds suspicion, TimePoint now)
{
    entry.suspectUntil = now + suspicion;
    m_nextExpiry = std::min(m_nextExpiry, now + suspicion);
}

void MemberTable::setState(Entry& entry, MemberState state, TimePoint now)
{
    removeFromTotals(entry);
    entry.info.state = state;
    if (state == MemberState::Dead) {
        entry.suspectUntil.reset();
        entry.deadSince = now;
    }
    addToTotals(entry);
}

void MemberTable::addToTotals(const Entry& entry)
{
    if (entry.isDead())
        return;
    ++m_liveCount;
    m_viewHash ^= viewHashOf(entry.info);
}

void MemberTable::removeFromTotals(const Entry& entry)
{
    if (entry.isDead())
        return;
    --m_liveCount;
    m_viewHash ^= viewHashOf(entry.info);
}

} // namespace basilpoint
