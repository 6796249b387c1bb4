#pragma once

#include "DecisionLog.h"
#include "basilpoint/Support/Metrics.h"

#include "basilpoint/Net/HttpServer.h"
#include "basilpoint/Support/Error.h"

#include <functional>
#include <nlohmann/json_fwd.hpp>

namespace basilpoint {

/// The request has no valid operator token.
class UnauthorizedError final : public Error {
public:
    UnauthorizedError();
};

/// Functions of the daemon that the operator API calls.
struct OperatorHooks {
    std::function<bool()> ready;
    std::function<nlohmann::json()> state;
    std::function<void(Metrics&)> refreshMetrics;
    /// Starts the planned stop.
    std::function<void()> drain;
    /// Stops new work for the target at this address.
    std::function<void(const Endpoint&)> targetLeaving;
    /// Allows new work for the target at this address again.
    std::function<void(const Endpoint&)> targetReturned;
};

/// HTTP interface for operators: health, metrics, state, decisions about a program, planned stop, leaving targets.
class OperatorApi {
public:
    /// \param token bearer token that requests must have; if empty, none is required.
    OperatorApi(std::string token, const DecisionLog&, Metrics&, OperatorHooks);

    void handle(const HttpRequest&, ResponseWriter&) const;

private:
    void authenticate(const HttpRequest&) const;
    nlohmann::json explain(const ProgramId&) const;
    void handlePost(const HttpRequest&, ResponseWriter&) const;

    std::string m_token;
    const DecisionLog& m_log;
    Metrics& m_metrics;
    OperatorHooks m_hooks;
};

} // namespace basilpoint
