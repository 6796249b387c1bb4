#include "RelaySelector.h"

#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <limits>

namespace basilpoint {

RelaySelector::RelaySelector(std::string self, DataCentreId dataCentre, RandomEngine::result_type seed)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_selector(seed)
{
}

void RelaySelector::setGateways(const std::vector<RelayAddress>& gateways)
{
    m_gateways.clear();
    for (const RelayAddress& it : gateways) {
        Registration gateway;
        gateway.id = TargetId(it.instance);
        gateway.endpoint = it.endpoint;
        gateway.dataCentre = it.dataCentre;
        // Its own queue is at the targets.
        gateway.slots = std::numeric_limits<unsigned>::max();
        m_gateways.push_back(std::move(gateway));
    }
    std::uint64_t seed = hash64(m_self);
    std::sort(m_gateways.begin(), m_gateways.end(), [seed](const Registration& a, const Registration& b) { return hash64(a.id.text(), seed) < hash64(b.id.text(), seed); });
}

void RelaySelector::setCutOff(const std::string& instance, bool isCutOff)
{
    if (isCutOff)
        m_cutOff.insert(instance);
    else
        m_cutOff.erase(instance);
}

void RelaySelector::setLeaving(const std::string& instance, TimePoint now)
{
    std::erase_if(m_leavingSince, [now](const auto& it) { return now - it.second > leavingTime; });
    m_leavingSince[instance] = now;
}

bool RelaySelector::isLeaving(const std::string& instance, TimePoint now) const
{
    auto it = m_leavingSince.find(instance);
    return it != m_leavingSince.end() && now - it->second <= leavingTime;
}

std::vector<const Registration*> RelaySelector::usable(const std::set<TargetId>& tried, bool areLeaving, TimePoint now) const
{
    std::vector<const Registration*> found;
    for (const Registration& it : m_gateways) {
        if (found.size() == maxChoices)
            break;
        if (!tried.contains(it.id) && !m_cutOff.contains(it.id.text()) && isLeaving(it.id.text(), now) == areLeaving && !m_selector.isSuspended(it.id, now))
            found.push_back(&it);
    }
    return found;
}

std::optional<RelayAddress> RelaySelector::choose(const std::set<TargetId>& tried, TimePoint now)
{
    TargetQuery query;
    query.dataCentre = m_dataCentre;
    const Registration* best = m_selector.choose(usable(tried, false, now), query, now);
    if (!best)
        best = m_selector.choose(usable(tried, true, now), query, now);
    return best ? std::optional(RelayAddress { best->id.text(), best->dataCentre, best->endpoint, false }) : std::nullopt;
}

bool RelaySelector::hasUsable(TimePoint now) const
{
    return !usable({}, false, now).empty() || !usable({}, true, now).empty();
}

void RelaySelector::sent(const RelayAddress& gateway)
{
    m_selector.sent(TargetId(gateway.instance));
}

void RelaySelector::ended(const RelayAddress& gateway, TargetOutcome outcome, TimePoint now)
{
    m_selector.ended(TargetId(gateway.instance), outcome, now);
}

} // namespace basilpoint
