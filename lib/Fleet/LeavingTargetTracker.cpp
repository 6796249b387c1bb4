#include "basilpoint/Fleet/LeavingTargetTracker.h"

namespace basilpoint {

bool LeavingTargetTracker::markLeaving(const TargetId& target, LeavingSource source, TimePoint now)
{
    return m_leaving.emplace(target, Entry { { source, now } }).second;
}

void LeavingTargetTracker::listed(const std::set<TargetId>& present)
{
    std::erase_if(m_leaving, [&](const auto& it) { return it.second.wasAway && present.contains(it.first); });
    for (auto& [target, entry] : m_leaving)
        entry.wasAway = entry.wasAway || !present.contains(target);
}

const LeavingTargetTracker::Notice* LeavingTargetTracker::find(const TargetId& target) const
{
    auto it = m_leaving.find(target);
    return it == m_leaving.end() ? nullptr : &it->second.firstNotice;
}

} // namespace basilpoint
