#pragma once

#include "basilpoint/Forwarding/TargetReachability.h"
#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Support/Metrics.h"

#include <functional>

namespace basilpoint {

/// Opens connections to targets beside the calls, to learn which ones this gateway reaches without a call waiting for it.
class TargetMonitor {
public:
    TargetMonitor(HttpClient&, const TargetDirectory&, RandomEngine::result_type seed, const Clock&, JsonLog&, Metrics&);

    /// Called when the gateway finds that it is cut off from all services, and when it no longer is.
    void onCutOff(std::function<void(bool isCutOff)> hook) { m_onCutOff = std::move(hook); }
    void start();

    /// Targets of the service that calls can reach. Empty if there are none, or if this gateway is cut off from them.
    std::vector<const Registration*> reachable(const ServiceId&) const;
    /// Whether calls reach less than half of the service's targets.
    bool isMostlyUnreachable(const ServiceId& service) const { return 2 * reachable(service).size() < m_directory.usable(service).size(); }
    /// Whether this gateway is cut off from all services that have targets.
    bool isCutOff() const { return m_isCutOff; }

    void sent(const Registration& target) { m_reachability.sent(target, m_clock.now()); }
    void ended(const TargetId& target) { m_reachability.ended(target); }
    void heard(const TargetId& target) { m_reachability.heard(target, m_clock.now()); }
    /// Records that a call could not connect to the target.
    void failed(const Registration&, TargetFailure);
    void forget(const TargetId& target) { m_reachability.forget(target); }

private:
    void check();
    void probe(const Registration&);
    void noteChanges();
    bool isCurrent(const Registration&) const;

    HttpClient& m_client;
    const TargetDirectory& m_directory;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    TargetReachability m_reachability;
    std::function<void(bool)> m_onCutOff;
    std::set<ServiceId> m_cutOffServices;
    bool m_isCutOff = false;
};

} // namespace basilpoint
