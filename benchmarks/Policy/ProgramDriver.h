#pragma once

#include "BenchRun.h"

#include <deque>

namespace basilpoint::bench {

/// Runs the programs of a workload against a policy and the fake engines.
class ProgramDriver {
public:
    ProgramDriver(EventQueue&, Policy&, RandomEngine::result_type seed);

    void setEngines(EnginePool& engines) { m_engines = &engines; }

    /// Starts a root program now.
    void begin(const ProgramSpec&);

    // Events of the engines.
    void firstToken(CallId);
    void finished(CallId);
    void targetCrashed(const std::vector<CallId>&);

    /// Executes the actions of the policy.
    void apply(const SchedulerActions&);

    bool hasEnded(const ProgramId& program) const { return !m_byId.contains(program); }

    /// Outcome of an ended root program.
    struct Outcome {
        const ProgramSpec* spec = nullptr;
        double arrivedAt = 0;
        double latency = 0;
        bool finished = false;
    };
    const std::vector<Outcome>& outcomes() const { return m_outcomes; }
    std::uint64_t refusals() const { return m_refusals; }

    /// Called when a request that crashes its replica was sent to the target.
    std::function<void(const TargetId&)> onCrashRequestSent;

private:
    struct Run {
        const ProgramSpec* spec = nullptr;
        ProgramId id;
        Run* root = nullptr;
        Run* parent = nullptr;
        double arrivedAt = 0;
        std::size_t turn = 0;
        TokenCount contextTokens = 0;
        TokenCount computedTokens = 0;
        unsigned openSubAgents = 0;
        std::optional<CallId> call;
        std::optional<TargetId> target;
        bool ended = false;
        unsigned crashes = 0;
    };

    Run& create(const ProgramSpec&, Run* parent);
    void submit(Run&);
    void submitAfter(Run&, double seconds);
    void handleAnswer(Run&);
    void pause(Run&);
    void subAgentEnded(Run& parent);
    void finishTurn(Run&);
    void end(Run&, bool finished);
    void expire(Run&);
    Run* runOf(CallId);

    void execute(const DispatchAction&);
    void execute(const RefuseAction&);
    void execute(const ReleaseCacheAction&);
    void execute(const MoveCacheAction&);
    void execute(const QuarantineAction&) { }
    void execute(const SuspectAction&) { }

    EventQueue& m_events;
    Policy& m_policy;
    EnginePool* m_engines = nullptr;
    RandomEngine m_random;
    std::deque<Run> m_runs;
    std::unordered_map<ProgramId, Run*> m_byId;
    std::unordered_map<CallId, Run*> m_byCall;
    std::vector<Outcome> m_outcomes;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_refusals = 0;
};

} // namespace basilpoint::bench
