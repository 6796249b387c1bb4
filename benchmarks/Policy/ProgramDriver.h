#pragma once

#include "BenchRun.h"

#include <deque>

namespace basilpoint::bench {

/// Plays the programs of a workload against a policy and the fake engines.
class ProgramDriver {
public:
    ProgramDriver(EventQueue&, Policy&, RandomEngine::result_type seed);

    void setEngines(EnginePool& engines) { m_engines = &engines; }

    /// Begins a root program now.
    void begin(const ProgramShape&);

    // Events of the engines.
    void firstToken(CallId);
    void finished(CallId);
    void targetDied(const std::vector<CallId>&);

    /// Carries out what the policy decided.
    void apply(const SchedulerActions&);

    bool isGone(const ProgramId& program) const { return !m_byId.contains(program); }

    /// A root program that is over.
    struct Outcome {
        const ProgramShape* shape = nullptr;
        double arrivedAt = 0;
        double latency = 0;
        bool finished = false;
    };
    const std::vector<Outcome>& outcomes() const { return m_outcomes; }
    std::uint64_t refusals() const { return m_refusals; }

    /// Called when a request that kills its replica was sent there.
    std::function<void(const TargetId&)> onCrashSent;

private:
    struct Run {
        const ProgramShape* shape = nullptr;
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
        bool over = false;
        unsigned crashes = 0;
    };

    Run& create(const ProgramShape&, Run* parent);
    void submit(Run&);
    void submitAfter(Run&, double seconds);
    void answered(Run&);
    void pause(Run&);
    void subAgentEnded(Run& parent);
    void turnDone(Run&);
    void end(Run&, bool finished);
    void expire(Run&);
    Run* runOf(CallId);

    void carryOut(const DispatchAction&);
    void carryOut(const RefuseAction&);
    void carryOut(const ReleaseCacheAction&);
    void carryOut(const MoveCacheAction&);
    void carryOut(const QuarantineAction&) { }
    void carryOut(const SuspectAction&) { }

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
