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
    ModelCallController(const Clock&, HttpClient&, EnvironmentController&, ShardController&, ProgramGate&, ModelDispatcher&, DecisionLog&);

    /// Answers the request. A repeat of a running call reads along with it.
    void handle(RequestContext&, const ProgramId&);

    /// Ends the program's running call, if any, and waits until it has ended.
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
        /// The journalled beginning; an answer that comes late ends this call and no other.
        std::optional<TurnStarted> started;
        HttpCancellation cancellation;
        bool cancelled = false;
    };

    void pump(const std::shared_ptr<RunningTurn>&);
    static CallEnd endOf(const RunningTurn&, const TargetError&);
    std::string runTurn(RunningTurn&);
    std::string runOnReplicas(RunningTurn&);
    void runOnce(RunningTurn&, const DispatchGrant&, ChatStream&);
    ModelCall describe(const RunningTurn&);
    HttpRequest engineRequest(const RunningTurn&, const DispatchGrant&);
    void commitFailure(const RunningTurn&);

    const Clock& m_clock;
    HttpClient& m_client;
    EnvironmentController& m_environments;
    ShardController& m_shards;
    ProgramGate& m_gate;
    ModelDispatcher& m_dispatcher;
    DecisionLog& m_log;
    std::map<ProgramId, std::shared_ptr<RunningTurn>> m_running;
};

} // namespace basilpoint
