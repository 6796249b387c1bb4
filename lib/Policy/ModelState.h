#pragma once

#include "SuspectQueue.h"

#include "basilpoint/Policy/Admission.h"
#include "basilpoint/Policy/AttainedService.h"
#include "basilpoint/Policy/CallQueue.h"
#include "basilpoint/Policy/FairShares.h"
#include "basilpoint/Policy/RefusalBackoff.h"

namespace basilpoint {

/// Exponential moving average whose first sample replaces the initial value.
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

/// Scheduler state of one model.
struct ModelState {
    explicit ModelState(const SchedulerSettings& settings)
        : queue(settings.agingBound, settings.urgentSlack)
        , admission({ settings.maxWaiting, settings.maxMeanWait })
    {
    }

    std::size_t waiting() const { return queue.size() + suspects.size(); }

    CallQueue queue;
    SuspectQueue suspects;
    Admission admission;
    RefusalBackoff backoff;
    AttainedService service;
    FairShares shares;
    /// Mean output tokens per call.
    MovingAverage meanOutput { 128 };
};

/// State of one call from its submission to its end.
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
    /// Busy replica for which the call waits because it caches the prefix.
    std::optional<ReplicaIndex> awaitedReplica;
    /// End of the wait for that replica; set once per call.
    TimePoint cacheWaitEndsAt;
    /// Replica to which the call was dispatched; empty while it waits.
    std::optional<ReplicaIndex> replica;
    TargetId target;
    TimePoint dispatchedAt;
    /// Prompt tokens that were not expected to be cached at the replica.
    TokenCount uncached = 0;
    /// Whether the call is a suspect that runs alone at its replica.
    bool alone = false;
};

} // namespace basilpoint
