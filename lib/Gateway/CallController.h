#pragma once

#include "AllowanceCharge.h"
#include "OrganisationMetrics.h"
#include "TurnController.h"

#include "basilpoint/Forwarding/SubmittedCalls.h"

#include <memory>
#include <optional>
#include <set>

namespace basilpoint {

/// Serves requests of callers: finds the route, then forwards the call or serves the turn.
class CallController {
public:
    CallController(const ConfigurationHolder&, Forwarder&, TurnController&, AllowanceController&, LedgerWriter&, const WireFormat&, DataCentreId, const Clock&, JsonLog&, Metrics&);

    void handle(const HttpRequest&, ResponseWriter&);

    /// Refuses a request whose body cannot be read for lack of memory. \p head has no body.
    HttpResponse refuseForMemory(const HttpRequest& head);

    /// Makes calls end before the process does, at \p lastEnd. Those that arrive after \p lateFrom and may take longer are refused.
    void stopBefore(TimePoint lateFrom, TimePoint lastEnd);
    /// Ends all active calls with an answer.
    void endCalls();

private:
    struct Stop {
        TimePoint lateFrom;
        TimePoint lastEnd;
    };

    /// The caller's organisation, which lives as long as the table; null if there is none.
    static std::shared_ptr<const Organisation> identify(const std::shared_ptr<const RouteTable>&, const CallAttributes&);
    void serve(const ForwardingRoute&, const std::shared_ptr<const RouteTable>&, std::shared_ptr<const Organisation>, const HttpRequest&, CallAttributes, TimePoint arrivedAt, ResponseWriter&);
    /// Charges the call to its organisation's allowance. \returns the refusal if it is not admitted.
    std::optional<TurnController::Refusal> chargeAllowance(const ForwardedCall&, AllowanceCharge&);
    /// Handles an admitted call. \returns the refusal to send to the caller; empty if the call was answered.
    std::optional<TurnController::Refusal> answer(ForwardedCall&, ResponseWriter&);
    std::optional<TurnController::Refusal> forward(ForwardedCall&, ResponseWriter&);
    /// As forward(), for a non-idempotent call.
    std::optional<TurnController::Refusal> forwardOnce(ForwardedCall&, ResponseWriter&);
    /// Counts and logs a refusal. \returns the response.
    HttpResponse responseOf(const CallAttributes&, const Organisation*, const TurnController::Refusal&, Milliseconds timeLeft, TimePoint arrivedAt);
    void refuse(const CallAttributes&, const Organisation*, const TurnController::Refusal&, Milliseconds timeLeft, TimePoint arrivedAt, ResponseWriter&);

    const ConfigurationHolder& m_configuration;
    Forwarder& m_forwarder;
    TurnController& m_turns;
    AllowanceController& m_allowances;
    LedgerWriter& m_writer;
    const WireFormat& m_format;
    DataCentreId m_dataCentre;
    SubmittedCalls m_submitted;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    OrganisationMetrics m_organisationMetrics;
    std::set<std::shared_ptr<ForwardedCall>> m_activeCalls;
    /// Set once the process shuts down.
    std::optional<Stop> m_stop;
};

} // namespace basilpoint
