#include "TargetMonitor.h"

#include "Forwarder.h"

#include "basilpoint/Net/FiberRuntime.h"

namespace basilpoint {

static constexpr Milliseconds checkInterval { 50 };
// Round trips to targets take milliseconds, also to those that are busy.
static constexpr Milliseconds probeTimeout { 150 };

TargetMonitor::TargetMonitor(HttpClient& client, const TargetDirectory& directory, RandomEngine::result_type seed, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_client(client)
    , m_directory(directory)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_reachability(seed)
{
}

void TargetMonitor::start()
{
    spawnFiber([this] {
        for (;; sleepFiber(checkInterval))
            check();
    });
}

std::vector<const Registration*> TargetMonitor::reachable(const ServiceId& service) const
{
    std::vector<const Registration*> usable = m_directory.usable(service);
    std::vector<const Registration*> found;
    for (const Registration* it : usable) {
        auto access = m_reachability.accessTo(*it, usable);
        if (access == TargetReachability::Access::Full || (access == TargetReachability::Access::OpenConnections && m_client.hasIdle(it->endpoint, lifetimeOf(*it))))
            found.push_back(it);
    }
    return found;
}

// Whether the target is still registered, after a wait.
bool TargetMonitor::isCurrent(const Registration& target) const
{
    const Registration* known = m_directory.find(target.id);
    return known && known->startedAt == target.startedAt;
}

void TargetMonitor::failed(const Registration& target, TargetFailure failure)
{
    if (failure == TargetFailure::OutOfResources || !isCurrent(target))
        return m_reachability.probeAbandoned(target.id);
    m_reachability.failed(target, failure == TargetFailure::ConnectionRefused, m_clock.now());
    check();
}

void TargetMonitor::check()
{
    std::vector<Registration> due;
    for (const ServiceId& service : m_directory.services())
        for (const Registration* it : m_reachability.takeDueProbes(m_directory.usable(service), m_clock.now()))
            due.push_back(*it);
    for (const Registration& it : due)
        spawnFiber([this, it] { probe(it); });
    noteChanges();
}

void TargetMonitor::probe(const Registration& target)
{
    auto failure = m_client.openIdle(target.endpoint, lifetimeOf(target), probeTimeout);
    m_metrics.count(failure ? "target_checks_total{reached=\"no\"}" : "target_checks_total{reached=\"yes\"}");
    if (failure) {
        m_log.write(LogLine("target-unreachable").field("target", target.id.text()).field("startedAt", target.startedAt).field("failure", toString(*failure)));
        return failed(target, *failure);
    }
    if (!isCurrent(target))
        return m_client.closeIdle(lifetimeOf(target));
    m_reachability.connected(target, m_clock.now());
    noteChanges();
}

void TargetMonitor::noteChanges()
{
    std::set<ServiceId> services = m_directory.services();
    std::set<ServiceId> cutOff;
    for (const ServiceId& it : services)
        if (m_reachability.isCutOff(m_directory.usable(it)))
            cutOff.insert(it);
    for (const ServiceId& it : services)
        if (cutOff.contains(it) != m_cutOffServices.contains(it))
            m_log.write(LogLine("service-cut-off").field("service", it.text()).field("cutOff", cutOff.contains(it)));
    m_cutOffServices = std::move(cutOff);
    bool isCutOff = !services.empty() && m_cutOffServices.size() == services.size();
    if (isCutOff == m_isCutOff)
        return;
    m_isCutOff = isCutOff;
    m_metrics.count(isCutOff ? "cut_off_total" : "cut_off_ended_total");
    if (m_onCutOff)
        m_onCutOff(isCutOff);
}

} // namespace basilpoint
