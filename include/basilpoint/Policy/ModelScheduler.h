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

/// Names one model call from its submission to its end.
using CallId = Number<struct CallTag>;

/// One model call that waits for a replica.
struct ModelCall {
    CallId id;
    ProgramId program;
    /// Program at the root of the tree; sub-agents take its place in the queue.
    ProgramId root;
    OperatorId owner;
    EnvironmentId environment;
    std::string model;
    /// Tokens of the prompt, as far as known.
    TokenCount promptTokens = 0;
    TokenCount maxOutput = 0;
    /// Digest of the request; a request that kills replicas is known again by it.
    Digest content;
    std::optional<TimePoint> deadline;
    double latencyWeight = 0.7;
    double cacheWeight = 0.3;

    bool operator==(const ModelCall&) const = default;
};

/// Send the call to \p target now.
struct DispatchAction {
    CallId call;
    TargetId target;
    /// Passed to engines that honour priorities; lower goes first.
    std::int32_t priority = 0;
    /// Whether the call is suspected of killing replicas and must not run beside another suspect anywhere.
    bool alone = false;
};

/// Why a call is refused; it did not run.
enum class RefusalReason {
    Overloaded,
    DeadlineUnreachable,
    Quarantined,
    NoReplica,
};

/// Answer the caller "not run" at once.
struct RefuseAction {
    CallId call;
    RefusalReason reason = RefusalReason::Overloaded;
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

/// Tell all daemons that requests with this digest are refused.
struct QuarantineAction {
    Digest content;
};

/// Tell all daemons that requests with this digest may run only alone.
struct SuspectAction {
    Digest content;
};

using SchedulerAction = std::variant<DispatchAction, RefuseAction, ReleaseCacheAction, MoveCacheAction, QuarantineAction, SuspectAction>;
using SchedulerActions = std::vector<SchedulerAction>;

/// How a dispatched call ended.
enum class CallEnd {
    Finished,
    Failed,
    /// The replica died while the call ran there.
    TargetCrashed,
    Cancelled,
};

/// What a replica reports, possibly late.
struct LoadReport {
    TargetId target;
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    /// Share of the cache memory in use, from 0 to 1.
    double cacheUse = 0;
    TimePoint measuredAt;
};

/// Limits and costs of the scheduler.
struct SchedulerSettings {
    /// Calls that one replica may have under way.
    unsigned maxRunningPerTarget = 32;
    /// Prefill speed of a replica before anything was learned, in tokens a second.
    double prefillTokensPerSecond = 20'000;
    /// Calls that may wait before new ones are refused.
    std::size_t maxWaiting = 4'096;
    /// No call waits longer than this behind others that came later.
    Milliseconds agingBound { 10'000 };
    /// A call this close to its deadline goes before calls that have time.
    Milliseconds urgentSlack { 5'000 };
    /// Mean wait of a call above which no further programs are begun.
    Milliseconds targetWait { 1'000 };
    /// A program's cache is released after this time without a call.
    Milliseconds maxCacheIdle { 300'000 };
};

/// Decides which model call runs where and when: queue order, routing, cache retention,
/// admission, quarantine. Plain events and time in, actions out.
class ModelScheduler {
public:
    ModelScheduler(SchedulerSettings, RandomEngine::result_type seed);
    ~ModelScheduler();

    SchedulerActions addTarget(const TargetId&, const std::string& model, TimePoint now);
    /// The target gets nothing new from here on; calls under way go on.
    SchedulerActions targetLeaving(const TargetId&, TimePoint now);
    /// The target is gone; its calls end by callEnded(TargetCrashed) of each.
    SchedulerActions removeTarget(const TargetId&, TimePoint now);

    SchedulerActions submit(const ModelCall&, TimePoint now);
    SchedulerActions cancelWaiting(CallId, TimePoint now);
    SchedulerActions firstToken(CallId, TimePoint now);
    SchedulerActions callEnded(CallId, CallEnd, TokenCount outputTokens, TimePoint now);

    SchedulerActions loadReported(const LoadReport&, TimePoint now);
    /// The replica dropped the program's cache, or said so late.
    SchedulerActions cacheEvicted(const TargetId&, const ProgramId&, TimePoint now);
    /// Events of the replica were missed: what is believed of its cache is unsure.
    SchedulerActions cacheEventsMissed(const TargetId&, TimePoint now);

    /// The program waits for a tool; its cache may be kept, moved or released.
    SchedulerActions toolStarted(const ProgramId&, const std::string& tool, TimePoint now);
    SchedulerActions toolEnded(const ProgramId&, TimePoint now);
    /// Everything held for the program is released.
    SchedulerActions programEnded(const ProgramId&, TimePoint now);

    /// Calls that an environment or an operator may have under way at once; unlimited unless set.
    void setEnvironmentLimit(const EnvironmentId&, unsigned maxRunning);
    void setOperatorLimit(const OperatorId&, unsigned maxRunning);
    /// Weight of the operator's share of the replicas while calls wait; 1 unless set.
    void setOperatorWeight(const OperatorId&, double weight);

    /// Another daemon saw a replica die with the digest in flight.
    SchedulerActions suspected(const Digest&, TimePoint now);
    /// Another daemon quarantined the digest.
    SchedulerActions quarantined(const Digest&, TimePoint now);

    /// An operator lifts the quarantine of the digest.
    void liftQuarantine(const Digest&);
    std::vector<Digest> quarantinedDigests() const;

    /// Timers: aging, deadlines, retention. Call at least every 100 ms while calls wait or caches are held.
    SchedulerActions tick(TimePoint now);

    std::size_t waiting() const;
    /// Calls under way.
    std::size_t running() const;
    /// Caches that are believed held.
    std::size_t heldCaches() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint
