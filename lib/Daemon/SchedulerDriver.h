#pragma once

#include "EnvironmentController.h"
#include "ModelDispatcher.h"

#include "basilpoint/Fleet/LeavingTargetTracker.h"
#include "basilpoint/Fleet/NoticeGossip.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Net/HttpClient.h"

#include <map>
#include <memory>
#include <set>

namespace basilpoint {

/// Passes events to the model scheduler and performs its actions.
class SchedulerDriver final : public ModelDispatcher {
public:
    SchedulerDriver(const Clock&, HttpClient&, LeavingTargetTracker&, SchedulerSettings, RandomEngine::result_type seed);

    /// Starts the fibers that tick the scheduler and poll the load of the replicas.
    void start();

    /// Updates targets and limits from the environments in force.
    void updateTargets(const EnvironmentController&);

    /// Stops new work for \p target, and raises a notice for all daemons unless the source is a peer.
    void targetLeaving(const TargetId& target, LeavingSource);

    DispatchGrant acquire(ModelCall call) override;
    void firstToken(CallId) override;
    void unreachable(CallId) override;
    void ended(CallId, CallEnd, TokenCount outputTokens) override;
    void toolStarted(const ProgramId&, const std::string& tool) override;
    void toolEnded(const ProgramId&) override;
    void programEnded(const ProgramId&) override;

    /// Applies a notice, whichever daemon raised it.
    /// \throws InvalidInputError if the notice's text is invalid for its kind.
    void apply(const NoticeSubject&, bool inForce);
    /// Called with each notice that must be sent to all daemons.
    void onNotice(std::function<void(const NoticeSubject&)> hook) { m_onNotice = std::move(hook); }

    /// Acquire and release the lease on a pool for a call that must run alone there.
    struct LeaseHooks {
        std::function<std::string(const std::string& pool)> acquire;
        std::function<void(const std::string& pool, const std::string& token)> release;
    };
    void setLeases(LeaseHooks hooks) { m_leaseHooks = std::move(hooks); }

    std::size_t waiting() const { return m_scheduler.waiting(); }
    const std::map<TargetId, std::string>& targets() const { return m_targets; }

private:
    struct PendingCall {
        std::optional<DispatchAction> dispatch;
        std::optional<RefuseAction> refusal;
        FiberSignal decided;
    };

    void perform(const SchedulerActions&);
    void perform(const DispatchAction&);
    void perform(const RefuseAction&);
    void perform(const ReleaseCacheAction&);
    void perform(const MoveCacheAction&);
    void perform(const QuarantineAction&);
    void perform(const SuspectAction&);
    void raiseNotice(NoticeKind, std::string text);
    void readmit(const TargetId&);

    bool acquireLease(const ModelCall&);
    void markTargetDown(const TargetId&);
    void markTargetUp(const TargetId&);
    void tickLoop();
    void pollLoop();
    void pollLoad(const TargetId&);

    const Clock& m_clock;
    HttpClient& m_client;
    ModelScheduler m_scheduler;
    std::uint64_t m_nextCall = 0;
    std::map<CallId, std::shared_ptr<PendingCall>> m_pending;
    /// Targets with their model pools.
    std::map<TargetId, std::string> m_targets;
    /// Call for which a target was granted and that has not ended.
    struct GrantedCall {
        TargetId target;
        std::string pool;
        /// Token of the lease; empty unless the call runs alone.
        std::string lease;
    };
    std::map<CallId, GrantedCall> m_granted;
    /// Targets that are down; they are used again after their next load report.
    std::set<TargetId> m_down;
    LeavingTargetTracker& m_leaving;
    std::function<void(const NoticeSubject&)> m_onNotice;
    LeaseHooks m_leaseHooks;
};

/// Name of the pool of \p model; models with the same name and the same replicas share a pool.
std::string poolName(const ModelPool& model);

} // namespace basilpoint
