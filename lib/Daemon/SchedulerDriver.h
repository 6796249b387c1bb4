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

/// Feeds the model scheduler with what happens and carries out what it decides.
class SchedulerDriver final : public ModelDispatcher {
public:
    SchedulerDriver(const Clock&, HttpClient&, LeavingTargetTracker&, SchedulerSettings, RandomEngine::result_type seed);

    /// Starts the fibers that tick the scheduler and poll the replicas' load.
    void start();

    /// Takes over the replicas of the environments in force.
    void updateTargets(const EnvironmentController&);

    /// \p target gets nothing new from here on; all daemons hear of it.
    void targetLeaving(const TargetId& target, LeavingSource);

    DispatchGrant acquire(ModelCall call) override;
    void firstToken(CallId) override;
    void unreachable(CallId) override;
    void ended(CallId, CallEnd, TokenCount outputTokens) override;
    void toolStarted(const ProgramId&, const std::string& tool) override;
    void toolEnded(const ProgramId&) override;
    void programEnded(const ProgramId&) override;

    /// Takes over a notice, whoever raised it.
    /// \throws InvalidInputError if its text does not fit its kind.
    void apply(const NoticeSubject&, bool inForce);
    /// Called with each notice that all daemons must hear.
    void onNotice(std::function<void(const NoticeSubject&)> hook) { m_onNotice = std::move(hook); }

    /// How a call that must run alone gets its lease for a pool and gives it back.
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
    void announce(NoticeKind, std::string text);
    void readmit(const TargetId&);

    bool awaitLease(const ModelCall&);
    void targetDown(const TargetId&);
    void targetUp(const TargetId&);
    void tickLoop();
    void pollLoop();
    void pollLoad(const TargetId&);

    const Clock& m_clock;
    HttpClient& m_client;
    ModelScheduler m_scheduler;
    std::uint64_t m_nextCall = 0;
    std::map<CallId, std::shared_ptr<PendingCall>> m_pending;
    /// Model pool of each target.
    std::map<TargetId, std::string> m_targets;
    /// Targets of calls under way.
    struct Granted {
        TargetId target;
        std::string pool;
        /// Empty unless the call runs alone.
        std::string lease;
    };
    std::map<CallId, Granted> m_granted;
    /// Targets that did not answer; they come back with their next load report.
    std::set<TargetId> m_down;
    LeavingTargetTracker& m_leaving;
    std::function<void(const NoticeSubject&)> m_onNotice;
    LeaseHooks m_leaseHooks;
};

/// Name of the pool that \p model stands for: equal lists of replicas share one.
std::string poolName(const ModelPool& model);

} // namespace basilpoint
