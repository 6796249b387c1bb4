#include "MemberTable.h"

#include "basilpoint/Support/Hash.h"

#include <algorithm>

namespace basilpoint {

std::uint64_t viewHashOf(const MemberInfo& member)
{
    // Incarnations and suspicions stay out: they change all the time on a lossy network.
    return hash64(member.id.text(), member.state == MemberState::Leaving ? 1 : 0);
}

MergeResult MemberTable::merge(const MemberInfo& claim, Milliseconds suspicion, TimePoint now)
{
    auto it = m_entries.find(claim.id);
    if (it == m_entries.end())
        return insert(claim);
    Entry& entry = it->second;
    if (claim.incarnation < entry.info.incarnation)
        return MergeResult::Unchanged;
    if (claim.incarnation > entry.info.incarnation)
        return replace(entry, claim, suspicion, now);
    return mergeSame(entry, claim, suspicion, now);
}

MergeResult MemberTable::insert(const MemberInfo& claim)
{
    // An accusation does not carry addresses, and a dead member would be told around forever.
    if (claim.state == MemberState::Suspect || claim.state == MemberState::Dead)
        return MergeResult::Unchanged;
    count(m_entries.emplace(claim.id, Entry { claim, {}, {} }).first->second);
    return MergeResult::StateChanged;
}

/// A member as its accuser saw it: under a higher incarnation than known here, but not more than that.
static MemberInfo accused(MemberInfo known, const MemberInfo& claim)
{
    known.incarnation = claim.incarnation;
    // Leaving is never undone, and an accusation says nothing of it.
    if (known.state != MemberState::Leaving && known.state != claim.state)
        known.state = MemberState::Alive;
    return known;
}

MergeResult MemberTable::replace(Entry& entry, const MemberInfo& claim, Milliseconds suspicion, TimePoint now)
{
    MemberState before = entry.info.state;
    discount(entry);
    bool accusation = claim.state == MemberState::Suspect || claim.state == MemberState::Dead;
    entry.info = accusation ? accused(entry.info, claim) : claim;
    entry.suspectUntil.reset();
    count(entry);
    mergeSame(entry, claim, suspicion, now);
    return before == entry.info.state ? MergeResult::Refreshed : MergeResult::StateChanged;
}

MergeResult MemberTable::mergeSame(Entry& entry, const MemberInfo& claim, Milliseconds suspicion, TimePoint now)
{
    if (entry.isDead()) {
        bool saysItLives = claim.state == MemberState::Alive || claim.state == MemberState::Leaving;
        return saysItLives ? MergeResult::Contradicted : MergeResult::Unchanged;
    }
    switch (claim.state) {
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
        // Nobody is dead by another's word alone: the member gets the time to refute it here as well.
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

void MemberTable::postponeDeadlines(TimePoint::duration pause)
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
    discount(entry);
    entry.info.state = state;
    if (state == MemberState::Dead) {
        entry.suspectUntil.reset();
        entry.deadSince = now;
    }
    count(entry);
}

void MemberTable::count(const Entry& entry)
{
    if (entry.isDead())
        return;
    ++m_liveCount;
    m_viewHash ^= viewHashOf(entry.info);
}

void MemberTable::discount(const Entry& entry)
{
    if (entry.isDead())
        return;
    --m_liveCount;
    m_viewHash ^= viewHashOf(entry.info);
}

} // namespace basilpoint
