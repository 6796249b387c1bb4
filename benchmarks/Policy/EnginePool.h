#pragma once

#include "EngineFake.h"
#include "EventQueue.h"

#include <map>
#include <set>

namespace basilpoint::bench {

/// How well the engines' reports tell what happens.
struct ReportSettings {
    double interval = 0.5;
    double lag = 0.3;
    double lostShare = 0.02;
    double cacheEventLag = 1;
};

/// The fake engines of one run, stepped on the event queue.
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
    /// The engine dies with its cache; returns the calls it had.
    std::vector<CallId> kill(const TargetId&);
    bool isAlive(const TargetId& target) const { return m_engines.contains(target); }
    std::vector<TargetId> targets() const;

    void send(const TargetId&, const EngineCall&);
    void cancel(const TargetId&, CallId);
    void release(const TargetId&, const ProgramId&);
    void move(const ProgramId&, const TargetId& from, const TargetId& to);

    TokenCount recomputedTokens() const;
    TokenCount prefilledTokens() const;

    /// Mean share of cache memory in idle entries, and in those of programs that \p isGone.
    struct IdleUse {
        double idle = 0;
        double gone = 0;
    };
    IdleUse idleUse(const std::function<bool(const ProgramId&)>& isGone) const;

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
    void tellEvicted(const TargetId&, const ProgramId&);

    EventQueue& m_events;
    EngineSettings m_settings;
    ReportSettings m_reports;
    Hooks m_hooks;
    RandomEngine m_random;
    std::map<TargetId, Engine> m_engines;
    std::uint64_t m_nextIncarnation = 1;
    TokenCount m_recomputedByDead = 0;
    TokenCount m_prefilledByDead = 0;
};

} // namespace basilpoint::bench
