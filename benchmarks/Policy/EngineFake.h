#pragma once

#include "basilpoint/Policy/ModelScheduler.h"

#include <list>
#include <unordered_map>

namespace basilpoint::bench {

/// Size and speed of a fake engine.
struct EngineSettings {
    TokenCount cacheTokens = 300'000;
    unsigned maxBatch = 32;
    /// Prompt tokens computed in one step.
    TokenCount prefillChunk = 1'024;
    double prefillTokensPerSecond = 20'000;
    double stepSeconds = 0.010;
    double stepSecondsPerCall = 0.000'15;
};

/// One call as an engine sees it.
struct EngineCall {
    CallId id;
    ProgramId program;
    TokenCount promptTokens = 0;
    TokenCount outputTokens = 0;
    /// Tokens of the prompt that some engine computed before.
    TokenCount computedBefore = 0;
    std::int32_t priority = 0;
};

/// What happened in one step of an engine.
struct StepResult {
    std::vector<CallId> firstTokens;
    std::vector<CallId> finished;
    std::vector<ProgramId> evicted;
};

/// Engine with continuous batching, chunked prefill and a prefix cache of limited memory.
///
/// A step computes one token of each call in the batch, and a chunk of prompts that are not cached.
/// A program's cache is evicted whole, the least recently used first.
class EngineFake {
public:
    explicit EngineFake(EngineSettings);

    void enqueue(const EngineCall&);
    void cancel(CallId);
    void release(const ProgramId&);
    /// Takes the program's idle cache out; 0 if there is none.
    TokenCount exportCache(const ProgramId&);
    void importCache(const ProgramId&, TokenCount);

    /// Fills the batch and returns how long the next step takes; 0 if there is nothing to do.
    double beginStep();
    StepResult finishStep();

    std::size_t running() const { return m_batch.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    double cacheUse() const { return static_cast<double>(m_used) / static_cast<double>(m_settings.cacheTokens); }
    TokenCount recomputedTokens() const { return m_recomputed; }
    TokenCount prefilledTokens() const { return m_prefilled; }

    /// Calls \p visitor with each program that has an idle cache and its tokens.
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
    bool makeRoom(TokenCount);
    void hold(const ProgramId&, TokenCount);
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
