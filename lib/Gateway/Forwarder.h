#pragma once

#include "basilpoint/Forwarding/RouteTable.h"
#include "basilpoint/Forwarding/TargetSelector.h"
#include "basilpoint/Gateway/EventStream.h"
#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Gateway/WireFormat.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/HttpServer.h"
#include "basilpoint/Support/Metrics.h"

#include <memory>

namespace basilpoint {

/// One call on its way from its caller to a target.
struct ForwardedCall {
    const HttpRequest& request;
    CallAttributes attributes;
    /// Table that the call began with; owns the route.
    std::shared_ptr<const RouteTable> table;
    const ForwardingRoute& route;
    TimePoint arrivedAt;
    /// When nobody waits for an answer any more.
    TimePoint deadline;
    /// Body for the target, if it differs from the caller's.
    std::optional<std::string> body {};
    TargetQuery query {};
    bool isCallerGone = false;
    HttpCancellation cancellation {};
};

/// What happens to a stream between the target and the caller.
struct StreamHooks {
    /// Called before the first event goes out; false ends the call.
    std::function<bool()> beforeFirstEvent;
    /// Called before each event goes out; false breaks the stream off.
    std::function<bool(const StreamEvent&)> onEvent;
    /// Called after the last event, before the caller sees the end; false breaks the stream off.
    std::function<bool(const TargetId&)> beforeEnd;
};

/// How forwarding ended.
enum class ForwardEnd {
    /// The caller has the whole answer of a target.
    Delivered,
    /// No target has run the call, nor will.
    NotRun,
    /// A target may have run the call, and there is no answer.
    MayHaveRun,
    /// The answer broke off after its beginning went out.
    BrokenOff,
};

/// Name of one life of a target; connections are shared within it only.
std::string lifetimeOf(const Registration&);

/// Sends calls to targets, and their answers to the callers.
class Forwarder {
public:
    Forwarder(HttpClient&, TargetDirectory&, TargetSelector&, const WireFormat&, const Clock&, JsonLog&, Metrics&);

    /// Sends the call to one target after the other as far as its kind allows.
    ForwardEnd forward(ForwardedCall&, ResponseWriter&, const StreamHooks&);

private:
    struct Attempt;

    ServiceId chooseService(const ForwardingRoute&, const CallAttributes&) const;
    const Registration* chooseTarget(ForwardedCall&);
    HttpRequest requestFor(const ForwardedCall&, const Registration&) const;
    HttpCallOptions optionsFor(const ForwardedCall&, const Registration&, bool isLast) const;
    ForwardEnd tryTarget(ForwardedCall&, const Registration&, bool isLast, ResponseWriter&, const StreamHooks&);
    void receive(ForwardedCall&, Attempt&, const Registration&, const HttpCallOptions&);
    void passEvents(ForwardedCall&, Attempt&, std::string_view chunk);
    ForwardEnd deliver(ForwardedCall&, Attempt&, const Registration&);
    std::optional<CallPace> paceOf(const ForwardedCall&, const Attempt&, ForwardEnd) const;
    TargetOutcome outcomeOf(const ForwardedCall&, ForwardEnd, bool isUnreachable) const;
    void logAttempt(const ForwardedCall&, const Registration&, const Attempt&, ForwardEnd) const;

    HttpClient& m_client;
    TargetDirectory& m_directory;
    TargetSelector& m_selector;
    const WireFormat& m_format;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
};

} // namespace basilpoint
