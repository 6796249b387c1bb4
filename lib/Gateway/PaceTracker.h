#pragma once

#include "basilpoint/Fleet/NoticeController.h"
#include "basilpoint/Forwarding/TargetSelector.h"
#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Support/Metrics.h"

namespace basilpoint {

/// Shares the long-term paces of targets among gateways.
class PaceTracker {
public:
    PaceTracker(TargetSelector&, NoticeController&, const Clock&, JsonLog&, Metrics&);

    /// Records a stream that has ended.
    void ended(const Registration&, const StreamTiming&);

    /// Handles a notice about a target's pace, of this or another gateway.
    void apply(const NoticeSubject&, bool inForce);

    /// Forgets a target that is gone.
    void forget(const Registration&);
    /// Drops paces that have expired.
    void sweep();

private:
    NoticeController& m_notices;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    TargetSelector& m_selector;
    TargetPaces& m_paces;
};

} // namespace basilpoint
