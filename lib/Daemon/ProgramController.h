#pragma once

#include "EnvironmentController.h"
#include "ShardController.h"

#include "basilpoint/Daemon/Filter.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Support/Clock.h"

#include <nlohmann/json_fwd.hpp>

namespace basilpoint {

/// Serves the operations of programs whose shard this daemon owns.
class ProgramController {
public:
    ProgramController(const Clock&, RandomEngine&, HttpClient&, EnvironmentController&, ShardController&);

    /// Answers the request. \throws typed errors of every kind.
    void handle(RequestContext&);

private:
    void run(RequestContext&, const OpenProgramOperation&);
    void run(RequestContext&, const ShowProgramOperation&);
    void run(RequestContext&, const CloseProgramOperation&);
    void run(RequestContext&, const ModelCallOperation&);
    void run(RequestContext&, const ToolCallOperation&);

    std::shared_ptr<const Environment> environmentOf(const ProgramId&);
    void runModelCall(RequestContext&, const ProgramId&, const ModelPool&, const nlohmann::json& body);
    void runTool(RequestContext&, const ProgramId&, const ToolService&, const RequestKey&);
    HttpResponse callTool(const RequestContext&, const ToolService&, const RequestKey&);

    const Clock& m_clock;
    RandomEngine& m_random;
    HttpClient& m_client;
    EnvironmentController& m_environments;
    ShardController& m_shards;
    std::uint64_t m_nextReplica = 0;
};

} // namespace basilpoint
