#pragma once

#include "DecisionLog.h"
#include "basilpoint/Support/Metrics.h"

#include "basilpoint/Net/HttpServer.h"
#include "basilpoint/Support/Error.h"

#include <functional>
#include <nlohmann/json_fwd.hpp>

namespace basilpoint {

/// The operator's token is missing or wrong.
class UnauthorizedError final : public Error {
public:
    UnauthorizedError();
};

/// What the operators' listener needs from the daemon.
struct OperatorHooks {
    std::function<bool()> ready;
    std::function<nlohmann::json()> state;
    std::function<void(Metrics&)> refreshMetrics;
    /// Begins the planned stop.
    std::function<void()> drain;
    /// The target at this address gets nothing new.
    std::function<void(const Endpoint&)> targetLeaving;
    /// The target at this address gets work again.
    std::function<void(const Endpoint&)> targetReturned;
};

/// Operators' listener: health, metrics, state, explanations, drain.
class OperatorApi {
public:
    /// \param token empty: no token is asked for.
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
