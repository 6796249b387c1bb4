#include "basilpoint/Forwarding/TargetDirectory.h"

#include <algorithm>
#include <utility>

namespace basilpoint {

TargetDirectory::PutResult TargetDirectory::put(const Registration& registration)
{
    auto [it, isNew] = m_entries.try_emplace(registration.id);
    Registration before = std::exchange(it->second.registration, registration);
    Registration& after = it->second.registration;
    after.isLeaving = after.isLeaving || isMarkedLeaving(after);
    // Also for an unchanged registration, which may have expired and been renewed.
    it->second.dropAt = TimePoint::max();
    if (isNew)
        return PutResult::New;
    if (before == after)
        return PutResult::None;
    return before.startedAt == after.startedAt ? PutResult::Changed : PutResult::Restarted;
}

bool TargetDirectory::isMarkedLeaving(const Registration& registration) const
{
    auto mark = m_leaving.find(registration.id);
    return mark != m_leaving.end() && registration.startedAt <= mark->second.startedAt;
}

bool TargetDirectory::markLeaving(const TargetId& id, std::int64_t startedAt, TimePoint now)
{
    auto [mark, isNew] = m_leaving.try_emplace(id, LeavingMark { startedAt, now });
    if (!isNew && startedAt <= mark->second.startedAt)
        return false;
    mark->second = { startedAt, now };
    auto it = m_entries.find(id);
    if (it != m_entries.end())
        it->second.registration.isLeaving = it->second.registration.isLeaving || isMarkedLeaving(it->second.registration);
    return true;
}

// Right after an outage, a removal may be due to a lease that expired during the outage.
bool TargetDirectory::isExpiryLikely(TimePoint now) const
{
    return m_isSourceLost || (m_sourceRegainedAt != TimePoint::min() && now < m_sourceRegainedAt + renewalGrace);
}

void TargetDirectory::remove(const TargetId& id, TimePoint now)
{
    auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    bool keep = !it->second.registration.isLeaving && isExpiryLikely(now);
    it->second.dropAt = keep ? std::max(now, m_sourceRegainedAt + renewalGrace) : now;
}

void TargetDirectory::replaceAll(const std::vector<Registration>& registrations, TimePoint now)
{
    sourceRegained(now);
    m_isSourceLost = false;
    std::map<TargetId, const Registration*> listed;
    for (const auto& it : registrations)
        listed[it.id] = &it;
    for (auto& [id, entry] : m_entries)
        if (!listed.contains(id))
            entry.dropAt = !entry.registration.isLeaving && isExpiryLikely(now) ? m_sourceRegainedAt + renewalGrace : now;
    for (const auto& it : registrations)
        put(it);
}

void TargetDirectory::sourceLost()
{
    m_isSourceLost = true;
}

void TargetDirectory::sourceRegained(TimePoint now)
{
    if (!m_isSourceLost || m_entries.empty())
        return;
    m_isSourceLost = false;
    m_sourceRegainedAt = now;
}

std::vector<Registration> TargetDirectory::sweep(TimePoint now)
{
    std::vector<Registration> dropped;
    std::erase_if(m_leaving, [&](const auto& it) { return now - it.second.markedAt > leavingRetention && !m_entries.contains(it.first); });
    if (m_isSourceLost)
        return dropped;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (now < it->second.dropAt) {
            ++it;
            continue;
        }
        dropped.push_back(it->second.registration);
        it = m_entries.erase(it);
    }
    return dropped;
}

std::vector<const Registration*> TargetDirectory::usable(const ServiceId& service) const
{
    std::vector<const Registration*> result;
    for (const auto& [id, entry] : m_entries)
        if (entry.registration.service == service && !entry.registration.isLeaving)
            result.push_back(&entry.registration);
    return result;
}

std::set<ServiceId> TargetDirectory::services() const
{
    std::set<ServiceId> result;
    for (const auto& [id, entry] : m_entries)
        result.insert(entry.registration.service);
    return result;
}

std::vector<Registration> TargetDirectory::othersThan(const TargetId& id, std::size_t n) const
{
    std::vector<Registration> result;
    auto it = m_entries.upper_bound(id);
    for (std::size_t seen = 0; seen < m_entries.size() && result.size() < n; ++seen) {
        if (it == m_entries.end())
            it = m_entries.begin();
        if (it->first != id)
            result.push_back(it->second.registration);
        ++it;
    }
    return result;
}

const Registration* TargetDirectory::find(const TargetId& id) const
{
    auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.registration;
}

} // namespace basilpoint
