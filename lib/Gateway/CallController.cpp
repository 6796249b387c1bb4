#include "CallController.h"

#include "OrganisationScope.h"
#include "RequestDigest.h"

#include "basilpoint/Net/Errors.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace basilpoint {

// Retry-After of a refused call as a share of the caller's remaining time, so that several retries fit in before its
// deadline.
static constexpr double retryAfterShare = 0.15;
static constexpr Milliseconds minRetryAfter { 50 };
static constexpr Milliseconds maxRetryAfter { 1'300 };
// Guarantees that the call has not run.
static constexpr int statusNotRun = 503;
// As above, for a call beyond an allowance.
static constexpr int statusOverAllowance = 429;
static constexpr int statusDelivered = 200;
// Callers do not repeat a request after this status.
static constexpr int statusQuarantined = 400;
static constexpr int statusUnknownKey = 401;

namespace {

    /// Lists a call as active until it is answered.
    class ActiveCall {
    public:
        using Calls = std::set<std::shared_ptr<ForwardedCall>>;

        ActiveCall(Calls& calls, std::shared_ptr<ForwardedCall> call)
            : m_calls(calls)
            , m_call(std::move(call))
        {
            m_calls.insert(m_call);
        }
        ActiveCall(const ActiveCall&) = delete;
        ActiveCall& operator=(const ActiveCall&) = delete;
        ~ActiveCall() { m_calls.erase(m_call); }

    private:
        Calls& m_calls;
        std::shared_ptr<ForwardedCall> m_call;
    };

} // namespace

CallController::CallController(const ConfigurationHolder& configuration, Forwarder& forwarder, TurnController& turns, AllowanceController& allowances, LedgerWriter& writer, const WireFormat& format, DataCentreId dataCentre, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_configuration(configuration)
    , m_forwarder(forwarder)
    , m_turns(turns)
    , m_allowances(allowances)
    , m_writer(writer)
    , m_format(format)
    , m_dataCentre(std::move(dataCentre))
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_organisationMetrics(metrics)
{
}

void CallController::handle(const HttpRequest& request, ResponseWriter& writer)
{
    // The caller's time runs while its body trickles in.
    TimePoint arrivedAt = m_clock.now() - request.readFor;
    CallAttributes attributes = m_format.readCall(request);
    std::shared_ptr<const RouteTable> table = m_configuration.current();
    Milliseconds timeLeft = attributes.timeLeft.value_or(maxRetryAfter);
    if (!table)
        return refuse(attributes, nullptr, { 503, "no-configuration", "no configuration yet" }, timeLeft, arrivedAt, writer);
    if (attributes.call.empty())
        return refuse(attributes, nullptr, { 400, "no-request-id", "no request id" }, timeLeft, arrivedAt, writer);
    const ForwardingRoute* route = table->match(canonicalHost(request.header("host")), request.path());
    if (!route)
        return refuse(attributes, nullptr, { 404, "no-route", "no route" }, timeLeft, arrivedAt, writer);
    std::shared_ptr<const Organisation> organisation = identify(table, attributes);
    // Nothing after this may pass the key on or log it.
    attributes.key.clear();
    if (table->identifiesCallers() && !organisation && !route->isPublic)
        return refuse(attributes, nullptr, { statusUnknownKey, "unknown-key", "missing or unknown key" }, timeLeft, arrivedAt, writer);
    if (organisation)
        m_organisationMetrics.countRequest(organisation->name);
    serve(*route, table, std::move(organisation), request, std::move(attributes), arrivedAt, writer);
}

std::shared_ptr<const Organisation> CallController::identify(const std::shared_ptr<const RouteTable>& table, const CallAttributes& attributes)
{
    return { table, table->organisationWith(attributes.key) };
}

void CallController::serve(const ForwardingRoute& route, const std::shared_ptr<const RouteTable>& table, std::shared_ptr<const Organisation> organisation, const HttpRequest& request, CallAttributes attributes, TimePoint arrivedAt, ResponseWriter& writer)
{
    Milliseconds limit = std::min(attributes.timeLeft.value_or(route.timeout), route.timeout);
    // Shared, since the server may call the disconnect handler after this function has returned.
    auto call = std::make_shared<ForwardedCall>(ForwardedCall { request, std::move(attributes), table, route, arrivedAt, arrivedAt + limit });
    if (m_stop && call->deadline > m_stop->lastEnd) {
        if (m_clock.now() >= m_stop->lateFrom)
            return refuse(call->attributes, organisation.get(), { statusNotRun, "stopping", "not run: this instance shuts down before the request's deadline" }, limit, arrivedAt, writer);
        call->deadline = m_stop->lastEnd;
    }
    ActiveCall active(m_activeCalls, call);
    call->query.dataCentre = m_dataCentre;
    call->organisation = std::move(organisation);
    call->content = contentOf(request, call->attributes, route, call->organisation.get());
    if (m_forwarder.isQuarantined(call->content))
        return refuse(call->attributes, call->organisation.get(), { statusQuarantined, "request-quarantined", "not run: this request has repeatedly crashed the targets that ran it" }, limit, arrivedAt, writer);
    call->repetition = repetitionOf(request, call->attributes, route, call->organisation.get());
    if (m_forwarder.isRepeatedTooOften(*call))
        return refuse(call->attributes, call->organisation.get(), { statusNotRun, "request-unanswered", "not run: targets have been sent this request too often without an answer" }, limit, arrivedAt, writer);
    writer.notifyOnDisconnect([this, call] {
        call->callerLeft();
        m_writer.wakeWaiters();
    });
    AllowanceCharge charge(m_allowances);
    auto refusal = chargeAllowance(*call, charge);
    if (!refusal)
        refusal = answer(*call, writer);
    charge.ended(refusal ? refusal->status : statusDelivered);
    m_metrics.observe("request_seconds", m_clock.now() - arrivedAt);
    if (!refusal) {
        m_metrics.count("requests_total{status=\"delivered\"}");
        return;
    }
    if (refusal->isBrokenOff || writer.started()) {
        m_metrics.count("requests_total{status=\"broken-off\"}");
        m_metrics.count(fmt::format("broken_off_total{{cause=\"{}\"}}", refusal->code));
        m_log.write(LogLine("broken-off").field("request", call->attributes.call.text()).field("callerGone", call->isCallerGone).field("reason", refusal->reason).field("cause", refusal->code));
        throw ConnectionLostError(refusal->reason);
    }
    refuse(call->attributes, call->organisation.get(), *refusal, std::chrono::duration_cast<Milliseconds>(call->deadline - m_clock.now()), arrivedAt, writer);
}

std::optional<TurnController::Refusal> CallController::chargeAllowance(const ForwardedCall& call, AllowanceCharge& charge)
{
    if (!call.organisation)
        return std::nullopt;
    const Admission& admission = charge.charge(*call.organisation, call.deadline);
    switch (admission.outcome) {
    case Admission::Outcome::Admitted:
        return std::nullopt;
    case Admission::Outcome::Refused:
        m_organisationMetrics.countRefusedByAllowance(call.organisation->name);
        return TurnController::Refusal { statusOverAllowance, "allowance-exceeded", "not run: the organisation is over its allowance", false, admission.retryAfter };
    case Admission::Outcome::Unknown:
        return TurnController::Refusal { statusNotRun, "allowance-unknown", "not run: the organisation's allowance is not known now", false, admission.retryAfter };
    }
    assert(false && "unhandled enumerator");
    return std::nullopt;
}

std::optional<TurnController::Refusal> CallController::answer(ForwardedCall& call, ResponseWriter& writer)
{
    bool hasBudget = call.attributes.budget && !call.attributes.program.empty();
    bool isTurn = call.route.kind == CallKind::Stream && (call.route.keepsTurns() || hasBudget);
    if (isTurn)
        return m_turns.serve(call, writer);
    return call.route.kind == CallKind::NonIdempotent ? forwardOnce(call, writer) : forward(call, writer);
}

std::optional<TurnController::Refusal> CallController::forward(ForwardedCall& call, ResponseWriter& writer)
{
    switch (m_forwarder.forward(call, writer, {})) {
    case ForwardEnd::Delivered:
        return std::nullopt;
    case ForwardEnd::NotRun:
        return TurnController::Refusal::ofCallNotRun(call);
    case ForwardEnd::MayHaveRun:
        return TurnController::Refusal { m_clock.now() >= call.deadline ? 504 : 502, "no-answer", "no answer" };
    case ForwardEnd::BrokenOff:
        return TurnController::Refusal { 502, causeOfBrokenStream(call, m_clock.now()), "stream broke off", true };
    }
    assert(false && "unhandled enumerator");
    return std::nullopt;
}

// A caller whose answer was lost may repeat the call with the same id.
std::optional<TurnController::Refusal> CallController::forwardOnce(ForwardedCall& call, ResponseWriter& writer)
{
    std::string id = OrganisationScope(call.organisation.get(), call.identifiesCallers()).scoped(call.attributes.call.text());
    if (!m_submitted.begin(id, m_clock.now()))
        return TurnController::Refusal { 502, "already-submitted", "a call with this id may have run" };
    auto refusal = forward(call, writer);
    m_submitted.end(id, !refusal || refusal->status != statusNotRun);
    return refusal;
}

void CallController::stopBefore(TimePoint lateFrom, TimePoint lastEnd)
{
    m_stop = Stop { lateFrom, lastEnd };
}

// Their callers get an answer that promises nothing, where the end of the process would close their connections.
void CallController::endCalls()
{
    for (const std::shared_ptr<ForwardedCall>& it : std::set(m_activeCalls)) {
        m_log.write(LogLine("call-ended-by-stop").field("request", it->attributes.call.text()));
        it->isStopped = true;
        it->cancellation.cancel();
    }
    m_writer.wakeWaiters();
}

HttpResponse CallController::refuseForMemory(const HttpRequest& head)
{
    TimePoint now = m_clock.now();
    CallAttributes attributes = m_format.readCall(head);
    Milliseconds timeLeft = attributes.timeLeft.value_or(maxRetryAfter);
    return responseOf(attributes, nullptr, { statusNotRun, "memory-short", "not run: requests in progress take all memory" }, timeLeft, now);
}

void CallController::refuse(const CallAttributes& attributes, const Organisation* organisation, const TurnController::Refusal& refusal, Milliseconds timeLeft, TimePoint arrivedAt, ResponseWriter& writer)
{
    writer.send(responseOf(attributes, organisation, refusal, timeLeft, arrivedAt));
}

HttpResponse CallController::responseOf(const CallAttributes& attributes, const Organisation* organisation, const TurnController::Refusal& refusal, Milliseconds timeLeft, TimePoint arrivedAt)
{
    m_metrics.count(fmt::format("requests_total{{status=\"{}\"}}", refusal.status));
    m_metrics.count(fmt::format("refusals_total{{code=\"{}\"}}", refusal.code));
    HttpResponse response { refusal.status, { { "content-type", "text/plain" } }, refusal.reason };
    LogLine line("refused");
    line.field("request", attributes.call.text()).field("program", attributes.program.text()).field("previous", attributes.previousTurn.text()).field("status", refusal.status).field("reason", refusal.reason).field("code", refusal.code);
    if (organisation)
        line.field("organisation", organisation->name);
    line.field("configuration", m_configuration.current() ? m_configuration.current()->configuration().version : 0);
    line.field("afterMs", std::chrono::duration_cast<Milliseconds>(m_clock.now() - arrivedAt));
    if (refusal.status == statusNotRun || refusal.status == statusOverAllowance) {
        Milliseconds wait(static_cast<std::int64_t>(retryAfterShare * static_cast<double>(timeLeft.count())));
        wait = refusal.retryAfter.value_or(std::clamp(wait, minRetryAfter, maxRetryAfter));
        response.headers["retry-after"] = fmt::format("{:.3f}", std::chrono::duration<double>(wait).count());
        line.field("retryAfterMs", wait);
    }
    m_log.write(line);
    return response;
}

} // namespace basilpoint
