#pragma once

#include "DecisionLog.h"
#include "EnvironmentController.h"
#include "ModelDispatcher.h"
#include "ProgramLocks.h"
#include "ShardController.h"

#include "basilpoint/Daemon/Filter.h"
#include "basilpoint/Fleet/LeavingTargetTracker.h"
#include "basilpoint/Net/HttpClient.h"

namespace basilpoint {

/// Serves the tool calls of programs whose shard this daemon owns.
class ToolCallController {
public:
    ToolCallController(const Clock&, HttpClient&, EnvironmentController&, ShardController&, ProgramLocks&, ModelDispatcher&, const LeavingTargetTracker&, DecisionLog&);

    /// Answers the request. A repeat of a running non-idempotent call waits for that call and gets its outcome.
    void handle(RequestContext&, const ToolCallOperation&);

private:
    using CallKey = std::pair<ProgramId, RequestKey>;

    /// A call in progress. References are valid as long as the request.
    struct ToolCall {
        const ProgramId& program;
        const ToolService& tool;
        /// "SERVICE" or "SERVICE/CALL".
        const std::string& path;
        const RequestKey& key;
        bool idempotent = false;
    };

    void runNonIdempotent(RequestContext&, const ToolCall&);
    void runIdempotent(RequestContext&, const ToolCall&);
    const Endpoint& pickAddress(const ToolService&);
    HttpResponse send(const RequestContext&, const ToolCall&);
    std::optional<HttpResponse> queryByKey(const ToolService&, const RequestKey&);
    HttpResponse resolveOutcome(const ToolCall&, const std::exception_ptr& failure);

    const Clock& m_clock;
    HttpClient& m_client;
    EnvironmentController& m_environments;
    ShardController& m_shards;
    ProgramLocks& m_locks;
    ModelDispatcher& m_dispatcher;
    const LeavingTargetTracker& m_leaving;
    DecisionLog& m_log;
    std::map<CallKey, std::shared_ptr<FiberSignal>> m_running;
    std::uint64_t m_nextAddress = 0;
};

} // namespace basilpoint
