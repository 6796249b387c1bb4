#pragma once

#include "basilpoint/Fleet/NoticeController.h"
#include "basilpoint/Forwarding/RateLimits.h"
#include "basilpoint/Forwarding/TargetDirectory.h"
#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Support/Metrics.h"

namespace basilpoint {

/// Learns the rate limits of targets from their answers and from other gateways, and keeps to them.
class RateLimitTracker {
public:
    RateLimitTracker(std::string self, NoticeController&, const Clock&, JsonLog&, Metrics&);

    void setDaemons(std::vector<std::string> names) { m_limits.setDaemons(std::move(names)); }

    /// Removes the targets to which this gateway may not send a call now.
    /// \param isFirstTurn whether the call begins a program's line of turns. If all targets are limited, it waits for what
    /// later turns leave over, since these carry the work of the turns before.
    void removeExhausted(std::vector<const Registration*>&, bool isFirstTurn);

    void sent(const Registration&);
    /// Records what an answer of \p target says of its limit.
    void answered(const Registration& target, std::optional<double> perSecond, TimePoint sentAt);

    /// Handles a notice about a limited target, of this or another gateway.
    void apply(const NoticeSubject&, bool inForce);

    /// Forgets a target that is gone.
    void forget(const Registration&);
    /// Drops limits that have expired.
    void sweep();

private:
    NoticeController& m_notices;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    RateLimits m_limits;
};

} // namespace basilpoint
