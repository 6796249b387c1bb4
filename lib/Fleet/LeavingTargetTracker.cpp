#include "basilpoint/Fleet/LeavingTargetTracker.h"

namespace basilpoint {

bool LeavingTargetTracker::markLeaving(const TargetId& target, LeavingSource source, TimePoint now)
{
    return m_leaving.emplace(target, Entry { { source, now } }).second;
}

void LeavingTargetTracker::updateListed(const std::set<TargetId>& present)
{
    std::erase_if(m_leaving, [&](const auto& it) { return it.second.wasAbsent && present.contains(it.first); });
    for (auto& [target, entry] : m_leaving)
        entry.wasAbsent = entry.wasAbsent || !present.contains(target);
}

const LeavingTargetTracker::Notice* LeavingTargetTracker::find(const TargetId& target) const
{
    auto it = m_leaving.find(target);
    return it == m_leaving.end() ? nullptr : &it->second.firstNotice;
}

} // namespace basilpoint
