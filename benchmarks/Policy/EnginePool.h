#pragma once

#include "EngineFake.h"
#include "EventQueue.h"

#include <map>
#include <set>

namespace basilpoint::bench {

/// Delay and loss of the engines' reports. Times are in seconds.
struct ReportSettings {
    double interval = 0.5;
    double lag = 0.3;
    /// Share of load reports and cache events that are lost.
    double lostShare = 0.02;
    /// Mean delay of cache events.
    double cacheEventLag = 1;
};

/// The fake engines of one run, driven by the event queue.
class EnginePool {
public:
    struct Hooks {
        std::function<void(CallId)> firstToken;
        std::function<void(CallId)> finished;
        std::function<void(const LoadReport&)> report;
        std::function<void(const TargetId&, const ProgramId&)> evicted;
        std::function<void(const TargetId&)> eventsMissed;
    };

    EnginePool(EventQueue&, EngineSettings, ReportSettings, Hooks, RandomEngine::result_type seed);

    void start(const TargetId&);
    /// Stops the engine, discards its cache and returns its calls.
    std::vector<CallId> kill(const TargetId&);
    bool isRunning(const TargetId& target) const { return m_engines.contains(target); }
    std::vector<TargetId> targets() const;

    void send(const TargetId&, const EngineCall&);
    void cancel(const TargetId&, CallId);
    void release(const TargetId&, const ProgramId&);
    void move(const ProgramId&, const TargetId& from, const TargetId& to);

    TokenCount recomputedTokens() const;
    TokenCount prefilledTokens() const;

    /// Share of all cache memory in idle entries, and in those of ended programs.
    struct IdleUse {
        double idle = 0;
        double ended = 0;
    };
    IdleUse idleUse(const std::function<bool(const ProgramId&)>& hasEnded) const;

private:
    struct Engine {
        EngineFake fake;
        std::set<CallId> calls;
        std::uint64_t incarnation = 0;
        bool stepping = false;
    };

    void step(const TargetId&);
    void finishStep(const TargetId&, std::uint64_t incarnation);
    void reportLater(const TargetId&, std::uint64_t incarnation);
    void reportEviction(const TargetId&, const ProgramId&);

    EventQueue& m_events;
    EngineSettings m_settings;
    ReportSettings m_reports;
    Hooks m_hooks;
    RandomEngine m_random;
    std::map<TargetId, Engine> m_engines;
    std::uint64_t m_nextIncarnation = 1;
    TokenCount m_recomputedByStopped = 0;
    TokenCount m_prefilledByStopped = 0;
};

} // namespace basilpoint::bench
