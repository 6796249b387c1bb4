#pragma once

#include "ModelCallController.h"
#include "ToolCallController.h"

namespace basilpoint {

/// Serves the operations of programs whose shard this daemon owns.
class ProgramController {
public:
    ProgramController(const Clock&, RandomEngine&, EnvironmentController&, ShardController&, ProgramLocks&, ModelDispatcher&, ModelCallController&, ToolCallController&, DecisionLog&);

    /// Answers the request. \throws Error of any kind.
    void handle(RequestContext&);

    /// Closes programs past their deadline and removes closed ones whose retention time has passed.
    void sweep();

private:
    void run(RequestContext&, const OpenProgramOperation&);
    void run(RequestContext&, const ShowProgramOperation&);
    void run(RequestContext&, const CloseProgramOperation&);
    void run(RequestContext&, const ModelCallOperation&);
    void run(RequestContext&, const ToolCallOperation&);

    void throwIfHistoryLost(const Operation&) const;
    void closeTree(const ProgramId&, CloseReason);
    void commitClosing(ShardId, const std::vector<ProgramRecord>&);
    ProgramOpened makeOpenedRecord(const RequestContext&, const OpenProgramOperation&);

    const Clock& m_clock;
    RandomEngine& m_random;
    EnvironmentController& m_environments;
    ShardController& m_shards;
    ProgramLocks& m_locks;
    ModelDispatcher& m_dispatcher;
    ModelCallController& m_modelCalls;
    ToolCallController& m_toolCalls;
    DecisionLog& m_log;
};

} // namespace basilpoint
