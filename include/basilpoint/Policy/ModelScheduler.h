#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Error.h"
#include "basilpoint/Support/Hash.h"
#include "basilpoint/Support/Ids.h"
#include "basilpoint/Support/Random.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace basilpoint {

/// Identifies one model call from its submission to its end.
using CallId = Number<struct CallTag>;

/// Model call submitted to the scheduler.
struct ModelCall {
    CallId id;
    ProgramId program;
    /// Program at the root of the tree; calls of sub-agents are queued by the service of the root.
    ProgramId root;
    OperatorId owner;
    EnvironmentId environment;
    std::string model;
    /// Estimated tokens of the prompt.
    TokenCount promptTokens = 0;
    TokenCount maxOutput = 0;
    /// Digest of the request, by which a request that crashes replicas is recognized; a zero digest means unknown.
    Digest content;
    std::optional<TimePoint> deadline;
    /// Weight of latency in the cost of retaining a cache; a higher one retains the program's caches longer.
    double latencyWeight = 0.7;
    /// Weight of cache memory in that cost, and of recomputed tokens in routing.
    double cacheWeight = 0.3;

    bool operator==(const ModelCall&) const = default;
};

/// Send the call to the target.
struct DispatchAction {
    CallId call;
    TargetId target;
    /// Priority for engines that support it; lower values are served first.
    std::int32_t priority = 0;
    /// Whether the call is suspected of crashing replicas and must not run concurrently with another suspect on any daemon.
    bool alone = false;
};

/// Reason of a refusal. A refused call has not been run.
enum class RefusalReason {
    Overloaded,
    DeadlineUnreachable,
    Quarantined,
    NoReplica,
};

/// Report to the caller that the call was not run.
struct RefuseAction {
    CallId call;
    RefusalReason reason = RefusalReason::Overloaded;
    /// Empty for Quarantined, since a retry would be refused as well.
    std::optional<Milliseconds> retryAfter;
};

/// Release the program's cache at \p target.
struct ReleaseCacheAction {
    ProgramId program;
    TargetId target;
};

/// Move the program's cache from one replica to another before its next call.
struct MoveCacheAction {
    ProgramId program;
    TargetId from;
    TargetId to;
};

/// Tell all daemons to refuse requests with this digest.
struct QuarantineAction {
    Digest content;
};

/// Tell all daemons to run requests with this digest only on an isolated replica.
struct SuspectAction {
    Digest content;
};

using SchedulerAction = std::variant<DispatchAction, RefuseAction, ReleaseCacheAction, MoveCacheAction, QuarantineAction, SuspectAction>;
using SchedulerActions = std::vector<SchedulerAction>;

/// How a dispatched call ended.
enum class CallEnd {
    Finished,
    Failed,
    /// The replica crashed while the call was in flight there.
    TargetCrashed,
    Cancelled,
};

/// Load report of a replica; it may arrive late.
struct LoadReport {
    TargetId target;
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    /// Share of the cache memory in use, from 0 to 1.
    double cacheUse = 0;
    TimePoint measuredAt;
};

/// Limits of the scheduler and its cost estimates.
struct SchedulerSettings {
    /// Concurrent calls per replica.
    unsigned maxRunningPerTarget = 32;
    /// Assumed prefill speed of a replica.
    double prefillTokensPerSecond = 20'000;
    /// Calls that may wait before new ones are refused.
    std::size_t maxWaiting = 4'096;
    /// Wait after which a call precedes all calls that arrived later.
    Milliseconds agingBound { 10'000 };
    /// Remaining time to the deadline within which a call precedes less urgent ones.
    Milliseconds urgentSlack { 5'000 };
    /// Mean wait of a call above which the number of running programs is limited.
    Milliseconds maxMeanWait { 1'000 };
    /// Time without a call after which a program's cache is released.
    Milliseconds maxCacheIdle { 300'000 };
};

/// Decides which model call runs where and when: queue order, routing, cache retention, admission
/// and quarantine.
///
/// Performs no I/O and reads no clock: each event is passed in with the current time, and the
/// returned actions are to be carried out by the caller.
class ModelScheduler {
public:
    ModelScheduler(SchedulerSettings, RandomEngine::result_type seed);
    ~ModelScheduler();

    SchedulerActions addTarget(const TargetId&, const std::string& model, TimePoint now);
    /// The target is about to leave: it gets no new calls, and running calls continue. addTarget() reverts this.
    SchedulerActions targetLeaving(const TargetId&, TimePoint now);
    /// The target is gone; callEnded(TargetCrashed) must follow for each of its calls.
    SchedulerActions removeTarget(const TargetId&, TimePoint now);

    SchedulerActions submit(const ModelCall&, TimePoint now);
    SchedulerActions cancelWaiting(CallId, TimePoint now);
    SchedulerActions firstToken(CallId, TimePoint now);
    SchedulerActions callEnded(CallId, CallEnd, TokenCount outputTokens, TimePoint now);

    SchedulerActions loadReported(const LoadReport&, TimePoint now);
    /// The replica evicted the program's cache; the event may be late.
    SchedulerActions cacheEvicted(const TargetId&, const ProgramId&, TimePoint now);
    /// Cache events of the replica were missed, so its cache entries become uncertain.
    SchedulerActions cacheEventsMissed(const TargetId&, TimePoint now);

    /// The program waits for a tool; its cache is retained for a limited time or released.
    SchedulerActions toolStarted(const ProgramId&, const std::string& tool, TimePoint now);
    SchedulerActions toolEnded(const ProgramId&, TimePoint now);
    /// Releases the program's caches and forgets the program.
    SchedulerActions programEnded(const ProgramId&, TimePoint now);

    /// Limits the concurrent calls of an environment or operator; the default is unlimited.
    void setEnvironmentLimit(const EnvironmentId&, unsigned maxRunning);
    void setOperatorLimit(const OperatorId&, unsigned maxRunning);
    /// Sets the weight of the operator's share while calls wait; the default is 1.
    void setOperatorWeight(const OperatorId&, double weight);

    /// Another daemon reported a replica crash with the digest in flight.
    SchedulerActions suspected(const Digest&, TimePoint now);
    /// Another daemon quarantined the digest.
    SchedulerActions quarantined(const Digest&, TimePoint now);

    /// Ends the quarantine of the digest by an operator's request.
    void liftQuarantine(const Digest&);
    std::vector<Digest> quarantinedDigests() const;

    /// Handles aging, deadlines and cache expiry. Call at least every 100 ms while calls wait or cache entries exist.
    SchedulerActions tick(TimePoint now);

    std::size_t waiting() const;
    /// Calls in flight at replicas.
    std::size_t running() const;
    /// Cache entries that are expected to exist at replicas.
    std::size_t cacheEntryCount() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint
