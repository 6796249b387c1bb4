#include "basilpoint/Policy/OutlierEjection.h"

#include <algorithm>

namespace basilpoint {

OutlierEjection::OutlierEjection(EjectionSettings settings)
    : m_settings(settings)
{
}

void OutlierEjection::succeeded(const TargetId& target)
{
    m_targets.erase(target);
}

bool OutlierEjection::failed(const TargetId& target, std::size_t ejected, std::size_t total, TimePoint now)
{
    Record& record = m_targets[target];
    if (record.ejectedUntil || ++record.consecutiveFailures < m_settings.consecutiveFailures)
        return false;
    bool mayEject = ejected + 1 < total && static_cast<double>(ejected + 1) <= m_settings.maxEjectedShare * static_cast<double>(total);
    if (!mayEject)
        return false;
    ++record.ejections;
    record.ejectedUntil = now + std::min(m_settings.maxTime, m_settings.baseTime * record.ejections);
    return true;
}

std::vector<TargetId> OutlierEjection::endExpiredEjections(TimePoint now)
{
    std::vector<TargetId> targets;
    for (auto& [target, record] : m_targets) {
        if (!record.ejectedUntil || *record.ejectedUntil > now)
            continue;
        record.ejectedUntil.reset();
        record.consecutiveFailures = m_settings.consecutiveFailures - 1;
        targets.push_back(target);
    }
    return targets;
}

} // namespace basilpoint
