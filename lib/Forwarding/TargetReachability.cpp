#include "basilpoint/Forwarding/TargetReachability.h"

#include <algorithm>

namespace basilpoint {

// Targets whose failure in a row shows that this daemon is cut off from their service.
static constexpr std::size_t maxEvidence = 5;
// Signs of life that end this conclusion. One alone may be of a cut that is partial or comes and goes.
static constexpr std::size_t contactsToReturn = 2;
static constexpr std::size_t probesWhileCutOff = 2;
static constexpr Milliseconds cutOffProbeInterval { 250 };
// A service is quiet for longer than a step or a prefill of its engines takes only if something is wrong. A single target
// may fall silent for a second and go on.
static constexpr Milliseconds serviceQuietLimit { 200 };
static constexpr Milliseconds targetQuietLimit { 1'200 };
static constexpr Milliseconds minProbeInterval { 250 };
static constexpr unsigned maxProbeDoublings = 3;

TargetReachability::TargetReachability(RandomEngine::result_type seed)
    : m_random(seed)
{
}

void TargetReachability::sent(const Registration& registration, TimePoint now)
{
    Target& target = m_targets[registration.id];
    target.service = registration.service;
    if (target.inFlight++ == 0)
        target.quietSince = now;
}

void TargetReachability::ended(const TargetId& id)
{
    auto it = m_targets.find(id);
    if (it != m_targets.end() && it->second.inFlight > 0)
        --it->second.inFlight;
}

void TargetReachability::heard(const TargetId& id, TimePoint now)
{
    auto it = m_targets.find(id);
    if (it == m_targets.end())
        return;
    Target& target = it->second;
    target.quietSince = now;
    Service& service = m_services[target.service];
    service.isSilenceChecked = false;
    if (target.failure != Failure::None) {
        // Its open connections work; whether it accepts new ones is for a probe to find out.
        target.failure = Failure::Refused;
        service.lastContact = now;
    } else
        target.repeatedProbes = 0;
    // Connections that live on do not show that new ones are accepted again.
    if (!service.isCutOff || !service.areAllRefused)
        contact(target.service, now);
}

void TargetReachability::connected(const Registration& registration, TimePoint now)
{
    Target& target = m_targets[registration.id];
    target.service = registration.service;
    target.isProbing = false;
    target.checkedAt = now;
    target.quietSince = now;
    if (target.failure != Failure::None)
        target.repeatedProbes = 0;
    target.failure = Failure::None;
    contact(registration.service, now);
}

void TargetReachability::failed(const Registration& registration, bool isRefused, TimePoint now)
{
    Target& target = m_targets[registration.id];
    target.service = registration.service;
    if (target.failure == Failure::None)
        target.repeatedProbes = 0;
    target.isProbing = false;
    target.checkedAt = now;
    target.failure = isRefused ? Failure::Refused : Failure::NoAnswer;
    Service& service = m_services[registration.service];
    if (service.failed.empty()) {
        service.areAllRefused = true;
        m_suspectedAt = now;
    }
    service.failed.insert(registration.id);
    service.areAllRefused = service.areAllRefused && isRefused;
    service.contacts = 0;
}

void TargetReachability::contact(const ServiceId& id, TimePoint now)
{
    Service& service = m_services[id];
    service.lastContact = now;
    if (!service.isCutOff) {
        service.failed.clear();
        return;
    }
    if (++service.contacts >= std::min(contactsToReturn, service.failed.size()))
        leaveCutOff(id, service);
}

// The failures were due to the path of this daemon, so targets that could not be reached during the cut may be tried again.
void TargetReachability::leaveCutOff(const ServiceId& id, Service& service)
{
    service.isCutOff = false;
    service.failed.clear();
    for (auto& [name, target] : m_targets)
        if (target.service == id)
            target.failure = Failure::None;
}

void TargetReachability::probeAbandoned(const TargetId& id)
{
    auto it = m_targets.find(id);
    if (it != m_targets.end())
        it->second.isProbing = false;
}

void TargetReachability::forget(const TargetId& id)
{
    m_targets.erase(id);
    for (auto& [name, service] : m_services)
        if (service.failed.erase(id) > 0 && service.failed.empty())
            leaveCutOff(name, service);
}

const TargetReachability::Service* TargetReachability::find(const ServiceId& id) const
{
    auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : &it->second;
}

std::size_t TargetReachability::evidenceFor(const std::vector<const Registration*>& targets)
{
    return std::min(maxEvidence, targets.size());
}

bool TargetReachability::isCutOff(const std::vector<const Registration*>& targets) const
{
    const Service* service = targets.empty() ? nullptr : find(targets.front()->service);
    return service && (service->isCutOff || service->failed.size() >= evidenceFor(targets));
}

TargetReachability::Access TargetReachability::accessTo(const Registration& registration, const std::vector<const Registration*>& targets) const
{
    auto it = m_targets.find(registration.id);
    if (it != m_targets.end() && it->second.failure != Failure::None)
        return it->second.failure == Failure::Refused ? Access::OpenConnections : Access::None;
    if (!isCutOff(targets))
        return Access::Full;
    return find(registration.service)->areAllRefused ? Access::OpenConnections : Access::None;
}

bool TargetReachability::isSuspicious(const Service& service) const
{
    return service.lastContact < m_suspectedAt;
}

// Number of targets with calls if nothing has been heard from any target of the service for a while; otherwise zero.
std::size_t TargetReachability::silentTargets(const std::vector<const Registration*>& targets, TimePoint now) const
{
    const Service* service = targets.empty() ? nullptr : find(targets.front()->service);
    if (!service || (service->lastContact != TimePoint::min() && now - service->lastContact <= serviceQuietLimit))
        return 0;
    return static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(), [&](const Registration* it) {
        auto target = m_targets.find(it->id);
        return target != m_targets.end() && target->second.inFlight > 0 && now - target->second.quietSince > serviceQuietLimit;
    }));
}

bool TargetReachability::isProbeDue(const Target& target, const Service& service, bool isServiceQuiet, TimePoint now) const
{
    Milliseconds interval = minProbeInterval * (1 << std::min(target.repeatedProbes, maxProbeDoublings));
    if (target.isProbing || (target.checkedAt != TimePoint::min() && now - target.checkedAt < interval))
        return false;
    if (target.failure != Failure::None)
        return true;
    if (target.inFlight == 0)
        return false;
    Milliseconds limit = isServiceQuiet ? serviceQuietLimit : targetQuietLimit;
    return now - target.quietSince > limit && !isSuspicious(service);
}

// Whether the target has been tried since the suspicion, or is being tried.
bool TargetReachability::isChecked(const Registration& registration) const
{
    auto it = m_targets.find(registration.id);
    return it != m_targets.end() && (it->second.isProbing || it->second.checkedAt >= m_suspectedAt);
}

const Registration* TargetReachability::takeProbe(const Registration& registration)
{
    Target& target = m_targets[registration.id];
    target.service = registration.service;
    target.isProbing = true;
    ++target.repeatedProbes;
    return &registration;
}

std::vector<const Registration*> TargetReachability::takeProbesToReturn(const std::vector<const Registration*>& candidates, Service& service, TimePoint now)
{
    std::vector<const Registration*> due;
    if (service.probedAt != TimePoint::min() && now - service.probedAt < cutOffProbeInterval)
        return due;
    service.probedAt = now;
    for (const Registration* it : candidates)
        if (due.size() < probesWhileCutOff && !m_targets[it->id].isProbing)
            due.push_back(takeProbe(*it));
    return due;
}

std::vector<const Registration*> TargetReachability::takeProbesOfSuspicion(const std::vector<const Registration*>& candidates, const Service& service, bool isSilent, TimePoint now)
{
    std::vector<const Registration*> due;
    auto checked = static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&](const Registration* it) { return isChecked(*it); }));
    for (const Registration* it : candidates) {
        const Target& target = m_targets[it->id];
        bool isSample = isSuspicious(service) && target.failure == Failure::None && !isChecked(*it);
        if (isSample ? checked >= evidenceFor(candidates) : !isProbeDue(target, service, isSilent, now))
            continue;
        ++checked;
        due.push_back(takeProbe(*it));
    }
    return due;
}

std::vector<const Registration*> TargetReachability::takeDueProbes(const std::vector<const Registration*>& targets, TimePoint now)
{
    if (targets.empty())
        return {};
    Service& service = m_services[targets.front()->service];
    std::vector<const Registration*> candidates = targets;
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    if (!service.isCutOff && isCutOff(targets)) {
        service.isCutOff = true;
        service.contacts = 0;
        service.probedAt = TimePoint::min();
    }
    if (service.isCutOff)
        return takeProbesToReturn(candidates, service, now);
    std::size_t silent = silentTargets(targets, now);
    // One silent target may be slow. With several, the others are checked at once rather than after these have failed.
    if (silent > 1 && !service.isSilenceChecked) {
        service.isSilenceChecked = true;
        m_suspectedAt = now;
    }
    return takeProbesOfSuspicion(candidates, service, silent > 0, now);
}

} // namespace basilpoint
