#include "ChangeQueue.h"

#include <algorithm>

namespace basilpoint {

/// Minimum time between two bursts.
static constexpr auto burstPause = std::chrono::milliseconds(200);
static constexpr unsigned burstsPerChange = 2;

void ChangeQueue::pushUrgent(const InstanceId& id)
{
    push(id);
    m_urgent.insert(id);
    m_burstsLeft = burstsPerChange;
}

bool ChangeQueue::takeBurst(TimePoint now)
{
    if (m_burstsLeft == 0 || now < m_nextBurst)
        return false;
    --m_burstsLeft;
    m_nextBurst = now + burstPause;
    // The burst may use up all transmissions of a change. Restart the count, so that regular messages carry the
    // change to the members that the burst does not reach.
    for (const InstanceId& id : m_urgent)
        push(id);
    if (m_burstsLeft == 0)
        m_urgent.clear();
    return true;
}

std::vector<InstanceId> ChangeQueue::leastSent() const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, sent] : m_sent)
        ids.push_back(id);
    std::stable_sort(ids.begin(), ids.end(), [&](const InstanceId& a, const InstanceId& b) { return m_sent.at(a) < m_sent.at(b); });
    return ids;
}

std::size_t ChangeQueue::encodedBytes(const MemberInfo& member)
{
    // CBOR heads, incarnation and state.
    static constexpr std::size_t failureReportBytes = 8;
    // The same with two ports, the durable flag and the heads of more texts.
    static constexpr std::size_t fixedBytes = 26;
    if (member.state == MemberState::Suspect || member.state == MemberState::Dead)
        return failureReportBytes + member.id.text().size();
    return fixedBytes + member.id.text().size() + member.dataCentre.text().size() + member.peer.host.size() + member.callers.host.size() + member.holder.text().size();
}

} // namespace basilpoint
