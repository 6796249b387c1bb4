#include "PendingProbes.h"

namespace basilpoint {

PendingProbes::Due PendingProbes::takeDue(TimePoint now)
{
    Due due;
    for (auto& [sequence, probe] : m_probes) {
        if (now >= probe.failsAt)
            due.failed.push_back(probe.target);
        else if (now >= probe.indirectProbesAt && !probe.indirectProbesRequested) {
            probe.indirectProbesRequested = true;
            due.indirectProbesDue.emplace_back(sequence, probe.target);
        }
    }
    std::erase_if(m_probes, [&](const auto& it) { return now >= it.second.failsAt; });
    std::erase_if(m_indirectProbes, [&](const auto& it) { return now >= it.second.expiresAt; });
    return due;
}

const InstanceId* PendingProbes::target(std::uint64_t sequence) const
{
    auto it = m_probes.find(sequence);
    return it == m_probes.end() ? nullptr : &it->second.target;
}

std::optional<PendingProbes::IndirectProbe> PendingProbes::takeIndirect(std::uint64_t sequence)
{
    auto it = m_indirectProbes.find(sequence);
    if (it == m_indirectProbes.end())
        return {};
    IndirectProbe indirect = it->second;
    m_indirectProbes.erase(it);
    return indirect;
}

} // namespace basilpoint
