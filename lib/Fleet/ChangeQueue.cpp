#include "ChangeQueue.h"

#include <algorithm>

namespace basilpoint {

/// Pause between two bursts.
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
    // Bursts use up the transmissions at once; the few members that they miss need gossip as well.
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
    // Heads of the texts, incarnation, state and the array itself.
    static constexpr std::size_t accusationBytes = 8;
    // The same with two ports and the durable flag.
    static constexpr std::size_t fixedBytes = 26;
    if (member.state == MemberState::Suspect || member.state == MemberState::Dead)
        return accusationBytes + member.id.text().size();
    return fixedBytes + member.id.text().size() + member.dataCentre.text().size() + member.peer.host.size() + member.callers.host.size() + member.holder.text().size();
}

} // namespace basilpoint
