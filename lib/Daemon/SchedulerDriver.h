#pragma once

#include "EnvironmentController.h"
#include "ModelDispatcher.h"

#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Net/HttpClient.h"

#include <map>
#include <memory>
#include <set>

namespace basilpoint {

/// Feeds the model scheduler with what happens and carries out what it decides.
class SchedulerDriver final : public ModelDispatcher {
public:
    SchedulerDriver(const Clock&, HttpClient&, SchedulerSettings, RandomEngine::result_type seed);

    /// Starts the fibers that tick the scheduler and poll the replicas' load.
    void start();

    /// Takes over the replicas of the environments in force.
    void updateTargets(const EnvironmentController&);

    /// \p target gets nothing new from here on.
    void targetLeaving(const Endpoint& target);

    DispatchGrant acquire(ModelCall call) override;
    void firstToken(CallId) override;
    void ended(CallId, CallEnd, TokenCount outputTokens) override;
    void toolStarted(const ProgramId&, const std::string& tool) override;
    void toolEnded(const ProgramId&) override;
    void programEnded(const ProgramId&) override;

    /// What another daemon has said by a message that onVerdict() was called with there.
    /// \throws InvalidInputError if it is not such a message.
    void received(const std::string& verdict);
    /// Called with each message about a suspect or quarantined request that all daemons must hear.
    void onVerdict(std::function<void(const std::string&)> hook) { m_onVerdict = std::move(hook); }

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
    void announce(std::string_view prefix, const Digest&);

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
    std::set<TargetId> m_leaving;
    std::function<void(const std::string&)> m_onVerdict;
};

/// Name of the pool that \p model stands for: equal lists of replicas share one.
std::string poolName(const ModelPool& model);

} // namespace basilpoint
