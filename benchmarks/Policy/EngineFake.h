#pragma once

#include "basilpoint/Policy/ModelScheduler.h"

#include <list>
#include <unordered_map>

namespace basilpoint::bench {

/// Capacity and speed of a fake engine.
struct EngineSettings {
    TokenCount cacheTokens = 300'000;
    unsigned maxBatch = 32;
    /// Prompt tokens computed in one step, at most.
    TokenCount prefillChunk = 1'024;
    double prefillTokensPerSecond = 20'000;
    double stepSeconds = 0.010;
    double stepSecondsPerCall = 0.000'15;
};

/// Call sent to an engine.
struct EngineCall {
    CallId id;
    ProgramId program;
    TokenCount promptTokens = 0;
    TokenCount outputTokens = 0;
    /// Tokens of the prompt that any engine has computed before.
    TokenCount computedBefore = 0;
    std::int32_t priority = 0;
};

/// Events of one engine step.
struct StepResult {
    std::vector<CallId> firstTokens;
    std::vector<CallId> finished;
    std::vector<ProgramId> evicted;
};

/// Simulated engine with continuous batching, chunked prefill and a bounded prefix cache.
///
/// Each step computes one output token per call in the batch and a chunk of uncached prompt tokens.
/// The cache evicts whole programs, the least recently used one first.
class EngineFake {
public:
    explicit EngineFake(EngineSettings);

    void enqueue(const EngineCall&);
    void cancel(CallId);
    void release(const ProgramId&);
    /// Removes the program's idle cache and returns its tokens; 0 if there is none.
    TokenCount exportCache(const ProgramId&);
    /// Adds an idle cache if there is memory for it.
    void importCache(const ProgramId&, TokenCount);

    /// Fills the batch and returns the duration of the next step in seconds; 0 if there is nothing to do.
    double beginStep();
    StepResult finishStep();

    std::size_t running() const { return m_batch.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    double cacheUse() const { return static_cast<double>(m_used) / static_cast<double>(m_settings.cacheTokens); }
    TokenCount recomputedTokens() const { return m_recomputed; }
    TokenCount prefilledTokens() const { return m_prefilled; }

    /// Calls \p visitor with the program and the tokens of each idle cache.
    template <typename Visitor>
    void eachIdle(Visitor&& visitor) const
    {
        for (const Idle& idle : m_idle)
            visitor(idle.program, idle.tokens);
    }

private:
    struct Idle {
        ProgramId program;
        TokenCount tokens = 0;
    };
    struct Running {
        EngineCall call;
        TokenCount prefillLeft = 0;
        TokenCount generated = 0;
    };

    bool admit(const EngineCall&);
    /// Evicts idle caches until the tokens fit; returns whether they do.
    bool makeRoom(TokenCount);
    void storeIdle(const ProgramId&, TokenCount);
    void fillBatch();
    static TokenCount reservation(const EngineCall& call) { return call.promptTokens + call.outputTokens; }

    EngineSettings m_settings;
    std::list<EngineCall> m_waiting;
    std::vector<Running> m_batch;
    /// Least recently used first.
    std::list<Idle> m_idle;
    std::unordered_map<ProgramId, std::list<Idle>::iterator> m_idleOf;
    TokenCount m_used = 0;
    TokenCount m_recomputed = 0;
    TokenCount m_prefilled = 0;
    std::vector<ProgramId> m_evicted;
};

} // namespace basilpoint::bench
