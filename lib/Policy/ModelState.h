#pragma once

#include "SuspectQueue.h"

#include "basilpoint/Policy/Admission.h"
#include "basilpoint/Policy/AttainedService.h"
#include "basilpoint/Policy/CallQueue.h"
#include "basilpoint/Policy/FairShares.h"
#include "basilpoint/Policy/RefusalBackoff.h"

namespace basilpoint {

/// Moving average that starts at its first sample.
class MovingAverage {
public:
    explicit MovingAverage(double initial)
        : m_value(initial)
    {
    }

    void add(double sample)
    {
        m_value += (sample - m_value) * (m_started ? weight : 1);
        m_started = true;
    }

    double value() const { return m_value; }

private:
    static constexpr double weight = 0.05;

    double m_value;
    bool m_started = false;
};

/// Everything that the scheduler keeps for one model.
struct ModelLane {
    explicit ModelLane(const SchedulerSettings& settings)
        : queue(settings.agingBound, settings.urgentSlack)
        , admission({ settings.maxWaiting, settings.targetWait })
    {
    }

    std::size_t waiting() const { return queue.size() + suspects.size(); }

    CallQueue queue;
    SuspectLane suspects;
    Admission admission;
    RefusalBackoff backoff;
    AttainedService service;
    FairShares shares;
    /// Output tokens of a call.
    MovingAverage meanOutput { 128 };
};

/// One call from its submission to its end.
struct CallRecord {
    CallRecord(const ModelCall& submitted, TimePoint now)
        : call(submitted)
        , submittedAt(now)
    {
    }

    ModelCall call;
    TimePoint submittedAt;
    unsigned level = 0;
    double startTag = 0;
    /// Replica whose cache the call waits for.
    std::optional<ReplicaIndex> parkedAt;
    TimePoint parkedUntil;
    /// Replica where the call runs.
    std::optional<ReplicaIndex> replica;
    TargetId target;
    TimePoint dispatchedAt;
    TokenCount uncached = 0;
    /// The call runs alone at its replica.
    bool alone = false;
};

} // namespace basilpoint
