#include "ChangeQueue.h"

#include <algorithm>

namespace basilpoint {

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
