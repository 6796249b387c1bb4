#pragma once

#include "ChatWriter.h"
#include "DecisionLog.h"
#include "EnvironmentController.h"
#include "ModelDispatcher.h"
#include "ProgramLocks.h"
#include "ShardController.h"

#include "basilpoint/Daemon/Filter.h"
#include "basilpoint/Net/HttpClient.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

class ChatStream;
class TargetError;

/// Serves the model calls of programs whose shard this daemon owns.
class ModelCallController {
public:
    ModelCallController(const Clock&, HttpClient&, EnvironmentController&, ShardController&, ProgramLocks&, ModelDispatcher&, DecisionLog&);

    /// Answers the request. A repeat of a running call gets the answer of that call.
    void handle(RequestContext&, const ProgramId&);

    /// Cancels the program's running call, if any; does not wait for its end.
    void cancel(const ProgramId&);

    std::size_t running() const { return m_running.size(); }

private:
    struct RunningTurn {
        explicit RunningTurn(std::string resumedContent)
            : stream(std::move(resumedContent))
        {
        }

        TurnRequest request;
        Digest digest;
        nlohmann::json body;
        std::string traceParent;
        std::shared_ptr<const Environment> environment;
        std::string model;
        TurnStream stream;
        /// Record of the turn's start, once committed. A late answer ends the turn of this record and no other.
        std::optional<TurnStarted> started;
        HttpCancellation cancellation;
        bool cancelled = false;
    };

    void executeTurn(const std::shared_ptr<RunningTurn>&);
    static CallEnd callEndFor(const RunningTurn&, const TargetError&);
    std::string runTurn(RunningTurn&);
    std::string runOnReplicas(RunningTurn&);
    void runAttempt(RunningTurn&, const DispatchGrant&, ChatStream&);
    ModelCall describeCall(const RunningTurn&);
    HttpRequest engineRequest(const RunningTurn&, const DispatchGrant&);
    void commitFailure(const RunningTurn&);

    const Clock& m_clock;
    HttpClient& m_client;
    EnvironmentController& m_environments;
    ShardController& m_shards;
    ProgramLocks& m_locks;
    ModelDispatcher& m_dispatcher;
    DecisionLog& m_log;
    std::map<ProgramId, std::shared_ptr<RunningTurn>> m_running;
};

} // namespace basilpoint
