#pragma once

#include "SharedReads.h"

#include "basilpoint/Fleet/NoticeController.h"
#include "basilpoint/Forwarding/LostCalls.h"
#include "basilpoint/Forwarding/TargetDirectory.h"
#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Policy/Quarantine.h"
#include "basilpoint/Support/Metrics.h"

namespace basilpoint {

/// Finds requests that crash the targets they run on, together with the other gateways.
///
/// When a target's process has ended, each request that it ran is reported to all gateways as a suspect. A request that
/// was running at the ends of several targets and has not been answered since is quarantined: no gateway runs it.
class CrashTracker {
public:
    CrashTracker(HttpClient& targets, const TargetDirectory&, NoticeController&, const Clock&, JsonLog&, Metrics&);

    Quarantine::Status statusOf(const Digest& content) const { return m_quarantine.statusOf(content); }
    /// Whether the request may be sent to a target now. A suspect runs once at a time on this gateway.
    bool mayDispatch(const Digest& content) const;

    void dispatched(const Digest& content) { m_quarantine.dispatched(content); }
    /// Records the end of an attempt at a request.
    void ended(const Digest& content, bool isAnswered);

    /// Called when a target has accepted a connection that was requested at \p since, after it has lost one.
    void onAccepted(std::function<void(const Registration&, TimePoint since)> hook) { m_onAccepted = std::move(hook); }

    /// Records that the connection to \p target was lost during an attempt at the request that has ended, and finds out
    /// whether the target's process has ended too.
    void connectionLost(const Registration& target, const Digest& content);
    /// Waits until the outcome of connectionLost() is known.
    void awaitOutcome(const Registration& target) { probe(target); }

    /// Records that a lifetime of a target has ended without a planned stop.
    void targetEnded(const Registration&);

    /// Handles a notice about a suspected or quarantined request, of this or another gateway.
    void apply(const NoticeSubject&, bool inForce);

    /// Drops what has expired.
    void sweep() { m_quarantine.sweep(m_clock.now()); }

private:
    void probe(const Registration&);
    bool reachesOthers(const Registration&);
    void note(Quarantine::Status before, const Digest&);

    HttpClient& m_targets;
    const TargetDirectory& m_directory;
    NoticeController& m_notices;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    Quarantine m_quarantine;
    LostCalls m_lost;
    std::function<void(const Registration&, TimePoint since)> m_onAccepted;
    /// Probes in progress, by lifetime.
    SharedReads<std::string> m_probes;
};

} // namespace basilpoint
