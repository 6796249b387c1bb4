#include "basilpoint/Forwarding/AllowanceRights.h"

#include "basilpoint/Forwarding/LimitDivision.h"

#include <algorithm>
#include <set>

namespace basilpoint {

// Share of a limit that is worth dividing it for, as for the limits of targets.
static constexpr double minShare = 1;

AllowanceRights::AllowanceRights(std::string self)
    : m_self(std::move(self))
    , m_ends { { m_self, TimePoint::max() } }
    , m_gateways { m_self }
{
}

bool AllowanceRights::setGateways(const std::vector<std::string>& names, TimePoint now)
{
    std::set<std::string> listed(names.begin(), names.end());
    listed.insert(m_self);
    for (auto& [name, end] : m_ends)
        if (end == TimePoint::max() && !listed.contains(name))
            end = now + removalDelay;
    for (const std::string& it : listed)
        m_ends[it] = TimePoint::max();
    return rebuild();
}

bool AllowanceRights::update(TimePoint now)
{
    return std::erase_if(m_ends, [&](const auto& it) { return it.second <= now; }) > 0 && rebuild();
}

bool AllowanceRights::rebuild()
{
    std::vector<std::string> gateways;
    gateways.reserve(m_ends.size());
    for (const auto& [name, end] : m_ends)
        gateways.push_back(name);
    if (gateways == m_gateways)
        return false;
    m_gateways = std::move(gateways);
    ++m_version;
    return true;
}

std::size_t AllowanceRights::sharerCount(const Organisation& organisation, std::size_t gateways)
{
    return limitdivision::sharerCount(std::min(organisation.requestsPerSecond, organisation.burst), minShare, gateways);
}

AllowanceShare AllowanceRights::shareOfOne(const Organisation& organisation) const
{
    auto sharers = static_cast<double>(sharerCount(organisation, m_gateways.size()));
    return { organisation.requestsPerSecond / sharers, organisation.burst / sharers };
}

AllowanceShare AllowanceRights::ownShare(const Organisation& organisation) const
{
    std::size_t sharers = sharerCount(organisation, m_gateways.size());
    if (sharers < m_gateways.size() && !limitdivision::isSharer(m_self, m_gateways, organisation.name, sharers))
        return {};
    return shareOfOne(organisation);
}

std::vector<bool> AllowanceRights::sharers(const Organisation& organisation) const
{
    return limitdivision::sharersOf(m_gateways, organisation.name, sharerCount(organisation, m_gateways.size()));
}

} // namespace basilpoint
