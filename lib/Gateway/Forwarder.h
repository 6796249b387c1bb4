#pragma once

#include "CrashTracker.h"
#include "RateLimitTracker.h"
#include "RelaySelector.h"
#include "RepetitionTracker.h"
#include "RoomController.h"
#include "TargetMonitor.h"

#include "basilpoint/Forwarding/RouteTable.h"
#include "basilpoint/Forwarding/TargetSelector.h"
#include "basilpoint/Gateway/EventStream.h"
#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Gateway/WireFormat.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/HttpServer.h"
#include "basilpoint/Net/MemoryBudget.h"
#include "basilpoint/Support/Hash.h"
#include "basilpoint/Support/Metrics.h"

#include <memory>

namespace basilpoint {

/// A call that is being forwarded from its caller to a target.
struct ForwardedCall {
    const HttpRequest& request;
    CallAttributes attributes;
    /// Route table at the start of the call; owns the route.
    std::shared_ptr<const RouteTable> table;
    const ForwardingRoute& route;
    TimePoint arrivedAt;
    /// When the caller stops waiting for an answer.
    TimePoint deadline;
    /// Request body for the target, if it differs from the caller's.
    std::optional<std::string> body {};

    const std::string& bodyForTarget() const { return body ? *body : request.body; }

    TargetQuery query {};
    /// Identifies the request across its caller's attempts, each of which has a call id of its own.
    Digest content {};
    /// Likewise, whatever program and host the attempts name; unset if another gateway counts the call's runs.
    std::optional<Digest> repetition {};
    /// Whether another gateway has handed the call to this one, which must not hand it on.
    bool isRelayed = false;
    bool isCallerGone = false;
    /// Whether this gateway ends the call, since it shuts down.
    bool isStopped = false;
    HttpCancellation cancellation {};
    /// Gateways that have been asked to take the call.
    std::set<TargetId> triedRelays {};
    /// Targets to which this gateway could not connect.
    std::set<TargetId> unreachable {};
    /// Lifetime of the target that was tried last; empty if none was.
    std::string lastTarget {};
    /// Organisation of the caller; null if it has none. A relayed call has only its name and priority.
    std::shared_ptr<const Organisation> organisation {};
    /// Whether the end of the target's answer was that of its connection.
    bool endsWithConnection = false;
    /// When the connection was established on which a target has begun to answer the call last.
    TimePoint targetConnectedAt = TimePoint::max();
    /// Whether a target has refused the call.
    bool isRefusedByTarget = false;

    /// Whether the caller's statements about its identity are replaced, here or by the gateway that handed the call over.
    bool identifiesCallers() const { return organisation || (table && table->identifiesCallers()); }

    /// Called when the caller disconnects, if set.
    std::function<void()> onCallerGone {};
    /// Set if the call was not sent, since the engines have no room for it in time.
    std::optional<NoRoom> noRoom {};

    /// Whether nobody waits for the call any more, or it must not wait.
    bool isOver() const { return isCallerGone || isStopped; }

    /// Ends what the call waits for, after its caller has disconnected.
    void callerLeft();
};

/// Hooks into a stream on its way from the target to the caller.
struct StreamHooks {
    /// Called before the first event is sent to the caller; false aborts the call.
    std::function<bool()> beforeFirstEvent;
    /// Called before each event is sent; false aborts the stream.
    std::function<bool(const StreamEvent&)> onEvent;
    /// Called after the last event, before the stream ends for the caller; false aborts the stream.
    std::function<bool(const TargetId&)> beforeEnd;
};

/// Outcome of forwarding a call.
enum class ForwardEnd {
    /// The caller has received a target's complete answer.
    Delivered,
    /// No target has run the call or will run it.
    NotRun,
    /// A target may have run the call, but there is no answer.
    MayHaveRun,
    /// The answer was aborted after its first part had been sent to the caller.
    BrokenOff,
};

/// Identifies one lifetime of a target; connections are pooled per lifetime.
std::string lifetimeOf(const Registration&);

/// Cause of a broken stream that no hook stopped, as a stable identifier.
std::string_view causeOfBrokenStream(const ForwardedCall&, TimePoint now);

/// Forwards calls to targets, and the answers to the callers.
class Forwarder {
public:
    Forwarder(HttpClient&, TargetDirectory&, TargetSelector&, TargetMonitor&, RelaySelector&, CrashTracker&, RepetitionTracker&, RateLimitTracker&, RoomController&, MemoryBudget&, const WireFormat&, const Clock&, JsonLog&, Metrics&);

    /// Whether the request is refused, since it has crashed several targets.
    bool isQuarantined(const Digest& content) const { return m_crashes.statusOf(content) == Quarantine::Status::Quarantined; }

    /// Whether the request is refused, since targets have been sent it too often without an answer.
    bool isRepeatedTooOften(const ForwardedCall& call) const { return verdictOn(call) == RepetitionLimit::Verdict::Refused; }

    /// Whether this gateway reaches a target that may serve the call, itself or through another gateway.
    bool hasPath(const ForwardedCall&) const;

    /// Sends the call to one target after another, as far as its kind allows. A call whose targets this gateway does not
    /// reach goes through another gateway, which chooses the target.
    ForwardEnd forward(ForwardedCall&, ResponseWriter&, const StreamHooks&);

private:
    struct Attempt;

    RepetitionLimit::Verdict verdictOn(const ForwardedCall&) const;
    bool mayDispatch(const ForwardedCall&) const;
    unsigned maxRuns(const ForwardedCall&) const;
    void startRun(const ForwardedCall&, Attempt&, const std::string& lifetime);
    static bool isProbed(const ForwardedCall&, const Attempt&);
    void endRun(const ForwardedCall&, const Attempt&, ForwardEnd);
    ServiceId chooseService(const ForwardingRoute&, const CallAttributes&) const;
    const Registration* chooseTarget(ForwardedCall&);
    std::optional<RelayAddress> chooseRelay(const ForwardedCall&, const Registration* target);
    void removeIdentity(const ForwardedCall&, HttpRequest&) const;
    HttpRequest requestFor(const ForwardedCall&, const Room&) const;
    HttpRequest relayRequestFor(const ForwardedCall&) const;
    HttpCallOptions optionsFor(const ForwardedCall&, bool isLast) const;
    std::optional<Room> roomAt(ForwardedCall&, const Registration&);
    ForwardEnd tryTarget(ForwardedCall&, const Room&, bool isLast, ResponseWriter&, const StreamHooks&);
    ForwardEnd tryRelay(ForwardedCall&, const RelayAddress&, bool isLast, ResponseWriter&, const StreamHooks&);
    template <typename Call>
    ForwardEnd attemptCall(ForwardedCall&, Attempt&, Call);
    void receive(ForwardedCall&, Attempt&, const Endpoint&, const HttpRequest&, const HttpCallOptions&, const std::function<void()>& onAnswer);
    void noteAnswer(const Registration&, const ForwardedCall&, const Attempt&);
    void readRelayHeaders(ForwardedCall&, Attempt&);
    static ForwardEnd endOfRefusal(Attempt&);
    void passEvents(ForwardedCall&, Attempt&, std::string_view chunk);
    ForwardEnd deliver(ForwardedCall&, Attempt&);
    std::optional<CallTiming> timingOf(const ForwardedCall&, const Attempt&, ForwardEnd) const;
    TargetOutcome outcomeOf(const ForwardedCall&, const Attempt&, ForwardEnd) const;
    static TargetOutcome relayOutcomeOf(const ForwardedCall&, const Attempt&);
    void logAttempt(const ForwardedCall&, const Registration&, const Attempt&, ForwardEnd) const;
    void logRelay(const ForwardedCall&, const RelayAddress&, const Attempt&, ForwardEnd) const;

    HttpClient& m_client;
    TargetDirectory& m_directory;
    TargetSelector& m_selector;
    TargetMonitor& m_monitor;
    RelaySelector& m_relays;
    CrashTracker& m_crashes;
    RepetitionTracker& m_repetitions;
    RateLimitTracker& m_limits;
    RoomController& m_rooms;
    /// Memory of the answers being received.
    MemoryBudget& m_receiveBudget;
    const WireFormat& m_format;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
};

} // namespace basilpoint
