#pragma once

#include "ModelCallController.h"
#include "ToolCallController.h"

namespace basilpoint {

/// Serves the operations of programs whose shard this daemon owns.
class ProgramController {
public:
    ProgramController(const Clock&, RandomEngine&, EnvironmentController&, ShardController&, ProgramGate&, ModelDispatcher&, ModelCallController&, ToolCallController&, DecisionLog&);

    /// Answers the request. \throws typed errors of every kind.
    void handle(RequestContext&);

    /// Ends programs past their deadline and forgets closed ones whose retention is over.
    void sweep();

private:
    void run(RequestContext&, const OpenProgramOperation&);
    void run(RequestContext&, const ShowProgramOperation&);
    void run(RequestContext&, const CloseProgramOperation&);
    void run(RequestContext&, const ModelCallOperation&);
    void run(RequestContext&, const ToolCallOperation&);

    void throwIfLost(const Operation&) const;
    void end(const ProgramId&, CloseReason);
    void commitEnding(ShardId, const std::vector<ProgramRecord>&);
    ProgramOpened describeOpening(const RequestContext&, const OpenProgramOperation&);

    const Clock& m_clock;
    RandomEngine& m_random;
    EnvironmentController& m_environments;
    ShardController& m_shards;
    ProgramGate& m_gate;
    ModelDispatcher& m_dispatcher;
    ModelCallController& m_modelCalls;
    ToolCallController& m_toolCalls;
    DecisionLog& m_log;
};

} // namespace basilpoint
