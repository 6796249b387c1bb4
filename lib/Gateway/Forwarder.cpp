#include "Forwarder.h"

#include "CallUrgency.h"
#include "PeerCall.h"
#include "RelayedCall.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Support/Hash.h"
#include "basilpoint/Support/ParseNumber.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace basilpoint {

// Round trips to targets take milliseconds.
static constexpr Milliseconds connectTimeout { 250 };
// Targets report an exceeded deadline within this time after it.
static constexpr Milliseconds responseGrace { 50 };
// Attempts per call that targets refuse without running it; more would only delay the refusal to the caller.
static constexpr unsigned maxRefusals = 4;
// Gateways that are asked to take one call. Those that do not take it answer within a round trip.
static constexpr unsigned maxRelays = 4;
static constexpr Milliseconds relayConnectTimeout { 120 };
static constexpr int statusOk = 200;
static constexpr int statusBadRequest = 400;
static constexpr int statusNotFound = 404;
static constexpr int statusTooLarge = 413;
// Timeout of an attempt at an idempotent call, as a multiple of the route's latency target, if another target may be
// tried after it.
static constexpr int attemptTimeoutFactor = 4;
// Events after which a stream's timing is recorded: enough for two intervals.
static constexpr unsigned minEventsForTiming = 3;
static constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024;
// Engines send a few tokens an event. A longer event would be searched for its end with each part that arrives.
static constexpr std::size_t maxEventBytes = 256 * 1024;

using DoubleMilliseconds = std::chrono::duration<double, std::milli>;

struct Forwarder::Attempt {
    Attempt(ResponseWriter& responseWriter, const StreamHooks& streamHooks, MemoryBudget& budget)
        : writer(responseWriter)
        , hooks(streamHooks)
        , received(budget)
    {
    }

    ResponseWriter& writer;
    const StreamHooks& hooks;
    MemoryBudget::Share received;
    HttpResponse response;
    ResponseAttributes attributes;
    bool isStream = false;
    bool isUnreachable = false;
    std::optional<TargetFailure> failure;
    EventStreamSplitter splitter;
    std::string reason;
    TimePoint sentAt;
    TimePoint firstEventAt;
    TimePoint lastEventAt;
    unsigned events = 0;
    TargetId target;
    bool hasAnswer = false;
    /// How the call ended at the gateway that it was handed to, if that one has no answer of a target.
    std::string relayEnd;
    bool isRelayLeaving = false;
    /// Why the relay has refused the call, if the engines had no room for it.
    std::optional<NoRoom> noRoom;
    bool isRelayed = false;
    /// Identifier of the run, if its call counts them.
    std::optional<std::uint64_t> run;

    double millisecondsBetweenEvents() const { return DoubleMilliseconds(lastEventAt - firstEventAt).count() / (events - 1); }
};

namespace {

    // A hook aborted the call; the caller must see that the stream is incomplete.
    class StreamRejectedError final : public Error {
    public:
        StreamRejectedError()
            : Error({ "stream-rejected", 502, Executed::Yes }, {})
        {
        }
    };

} // namespace

Forwarder::Forwarder(HttpClient& client, TargetDirectory& directory, TargetSelector& selector, TargetMonitor& monitor, RelaySelector& relays, CrashTracker& crashes, RepetitionTracker& repetitions, RateLimitTracker& limits, RoomController& rooms, MemoryBudget& receiveBudget, const WireFormat& format, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_client(client)
    , m_directory(directory)
    , m_selector(selector)
    , m_monitor(monitor)
    , m_relays(relays)
    , m_crashes(crashes)
    , m_repetitions(repetitions)
    , m_limits(limits)
    , m_rooms(rooms)
    , m_receiveBudget(receiveBudget)
    , m_format(format)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
{
}

// Hashes the program, so that all of its calls go to the same service of a split.
ServiceId Forwarder::chooseService(const ForwardingRoute& route, const CallAttributes& attributes) const
{
    if (route.services.size() == 1)
        return route.services.front().service;
    unsigned total = 0;
    for (const auto& it : route.services)
        total += it.weight;
    if (total == 0)
        return route.services.front().service;
    const std::string& subject = attributes.program.empty() ? attributes.call.text() : attributes.program.text();
    auto draw = static_cast<unsigned>(hash64(subject) % total);
    for (const auto& it : route.services) {
        if (draw < it.weight)
            return it.service;
        draw -= it.weight;
    }
    return route.services.back().service;
}

static std::string affinityKeyOf(const ForwardedCall& call)
{
    return call.route.isSticky ? call.attributes.affinityKey : std::string();
}

const Registration* Forwarder::chooseTarget(ForwardedCall& call)
{
    // All gateways send a suspected request to the same target, which bounds the targets that its copies crash.
    if (m_crashes.statusOf(call.content) == Quarantine::Status::Suspect)
        call.query.placement = call.content.low;
    std::vector<const Registration*> targets = m_monitor.reachable(call.query.service);
    m_limits.removeExhausted(targets, call.route.keepsTurns() && call.attributes.previousTurn.empty());
    return m_selector.choose(targets, call.query, m_clock.now());
}

// Also if most targets are out of reach and the others have no free slot, so that a partial cut does not overload these. With
// few out of reach, the other gateways have no more to offer.
std::optional<RelayAddress> Forwarder::chooseRelay(const ForwardedCall& call, const Registration* target)
{
    bool isBusy = !target || m_selector.inFlight(target->id) >= target->slots;
    if (call.isRelayed || !isBusy || call.triedRelays.size() >= maxRelays || !m_monitor.isMostlyUnreachable(call.query.service))
        return std::nullopt;
    return m_relays.choose(call.triedRelays, m_clock.now());
}

bool Forwarder::hasPath(const ForwardedCall& call) const
{
    ServiceId service = chooseService(call.route, call.attributes);
    return !m_monitor.reachable(service).empty() || (!call.isRelayed && m_monitor.isMostlyUnreachable(service) && m_relays.hasUsable(m_clock.now()));
}

static bool isHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names { "connection", "keep-alive", "transfer-encoding", "content-length",
        "proxy-connection", "te", "trailer", "upgrade", "expect" };
    return std::find(names.begin(), names.end(), name) != names.end();
}

static void dropHopHeaders(HttpHeaders& headers)
{
    std::erase_if(headers, [](const auto& it) { return isHopHeader(it.first); });
}

// Keys stay with the gateway that has the caller, and targets learn organisations from gateways only.
void Forwarder::removeIdentity(const ForwardedCall& call, HttpRequest& request) const
{
    if (call.identifiesCallers() && m_format.removeCallerIdentity)
        m_format.removeCallerIdentity(request);
}

HttpRequest Forwarder::requestFor(const ForwardedCall& call, const Room& room) const
{
    // The body is not copied, since it may be large.
    HttpRequest request { call.request.method, call.request.target, call.request.headers, {} };
    dropHopHeaders(request.headers);
    auto timeLeft = std::chrono::duration_cast<Milliseconds>(call.deadline - m_clock.now());
    std::optional<unsigned> urgency;
    const ForwardingService* service = call.table->service(call.query.service);
    if (service && service->engine)
        urgency = urgencyOf(call.route, call.organisation.get(), call.identifiesCallers());
    removeIdentity(call, request);
    TargetCallAttributes attributes { room.target.id, std::max(timeLeft, Milliseconds(1)), urgency, call.organisation ? call.organisation->name : std::string(), room.reservation };
    m_format.writeTargetCall(request, attributes);
    return request;
}

HttpRequest Forwarder::relayRequestFor(const ForwardedCall& call) const
{
    HttpRequest request { call.request.method, call.request.target, call.request.headers, call.bodyForTarget() };
    RelayedCall message { std::move(request), call.route, call.query, std::chrono::duration_cast<Milliseconds>(call.deadline - m_clock.now()), call.content, call.repetition };
    // The other gateway may reach these.
    for (const TargetId& it : call.unreachable)
        message.query.tried.erase(it);
    dropHopHeaders(message.request.headers);
    removeIdentity(call, message.request);
    if (call.organisation)
        message.organisation = Organisation { call.organisation->name, {}, call.organisation->priority };
    return { "POST", peerpaths::forward, {}, encodeRelayedCall(message) };
}

std::string lifetimeOf(const Registration& target)
{
    return fmt::format("{}/{}", target.id.text(), target.startedAt);
}

HttpCallOptions Forwarder::optionsFor(const ForwardedCall& call, bool isLast) const
{
    HttpCallOptions options;
    options.connectTimeout = connectTimeout;
    options.maxBodyBytes = maxResponseBytes;
    options.resendOnStale = false;
    options.deadline = call.deadline + responseGrace;
    if (call.route.kind == CallKind::Idempotent && !isLast)
        options.deadline = std::min(*options.deadline, m_clock.now() + attemptTimeoutFactor * call.route.latencyTarget);
    options.matchesRequest = [this, &call](const HttpResponse& response) {
        CallId answered = m_format.readResponse(response).call;
        return answered.empty() || answered == call.attributes.call;
    };
    // A target may send an answer a second time, and nothing would show that one without an id belongs to an earlier call.
    options.keepsConnection = [this](const HttpResponse& response) { return !m_format.readResponse(response).call.empty(); };
    return options;
}

void Forwarder::passEvents(ForwardedCall& call, Attempt& attempt, std::string_view chunk)
{
    for (const StreamEvent& event : attempt.splitter.append(chunk)) {
        attempt.lastEventAt = m_clock.now();
        if (attempt.events++ == 0)
            attempt.firstEventAt = attempt.lastEventAt;
        // Recorded early, so that a slow target is detected before its streams end.
        if (attempt.events == minEventsForTiming && !attempt.isRelayed)
            m_selector.recordTiming(attempt.target, { call.route.name, attempt.millisecondsBetweenEvents() }, m_clock.now());
        if (!attempt.writer.started()) {
            if (attempt.hooks.beforeFirstEvent && !attempt.hooks.beforeFirstEvent())
                throw StreamRejectedError();
            if (!call.isRelayed)
                m_metrics.observe("first_event_seconds", m_clock.now() - call.arrivedAt);
            attempt.writer.begin(attempt.response.status, attempt.response.headers);
        }
        if (attempt.hooks.onEvent && !attempt.hooks.onEvent(event))
            throw StreamRejectedError();
        attempt.writer.write(event.bytes);
    }
}

void Forwarder::receive(ForwardedCall& call, Attempt& attempt, const Endpoint& endpoint, const HttpRequest& request, const HttpCallOptions& base, const std::function<void()>& onAnswer)
{
    HttpCallOptions options = base;
    options.onHeader = [&](const HttpResponse& response) {
        attempt.hasAnswer = true;
        attempt.response = response;
        call.endsWithConnection = response.endsWithConnection;
        call.targetConnectedAt = response.connectedAt;
        if (attempt.run)
            m_repetitions.heard(*attempt.run);
        dropHopHeaders(attempt.response.headers);
        attempt.attributes = m_format.readResponse(response);
        onAnswer();
        attempt.isStream = call.route.kind == CallKind::Stream && response.status == statusOk && attempt.attributes.isSigned && !attempt.attributes.call.empty();
    };
    HttpResponse response = m_client.stream(
        endpoint, request, [&](std::string_view chunk) {
            if (!attempt.isRelayed)
                m_monitor.heard(attempt.target);
            if (attempt.run)
                m_repetitions.heard(*attempt.run);
            if (!attempt.received.take(chunk.size()))
                throw TargetError(endpoint, Executed::Unknown, fmt::format("answers being received exceed {} bytes", m_receiveBudget.limit()));
            if (!attempt.isStream) {
                attempt.response.body.append(chunk);
                return;
            }
            passEvents(call, attempt, chunk);
            if (attempt.splitter.partialBytes() > maxEventBytes)
                throw TargetError(endpoint, Executed::Unknown, fmt::format("event exceeds {} bytes", maxEventBytes));
        },
        options, &call.cancellation);
    if (response.status != statusOk)
        attempt.response.body = std::move(response.body);
}

void Forwarder::noteAnswer(const Registration& target, const ForwardedCall& call, const Attempt& attempt)
{
    if (!attempt.isRelayed)
        m_monitor.heard(target.id);
    if (attempt.relayEnd.empty())
        m_repetitions.targetAnswered(target, call.targetConnectedAt, attempt.sentAt);
    if (attempt.attributes.isLeaving && m_directory.markLeaving(target.id, target.startedAt, m_clock.now()))
        m_log.write(LogLine("target-leaving").field("target", target.id.text()).field("startedAt", target.startedAt));
    if (attempt.attributes.describesTarget && !attempt.isRelayed)
        m_limits.answered(target, attempt.attributes.callsPerSecond, attempt.sentAt);
}

// Whether the other gateway cannot read the call: it has another version, or the call exceeds its limit.
static bool isRejectedByServer(int status)
{
    return status == statusBadRequest || status == statusNotFound || status == statusTooLarge;
}

void Forwarder::readRelayHeaders(ForwardedCall& call, Attempt& attempt)
{
    auto take = [&](const char* name) {
        auto node = attempt.response.headers.extract(name);
        return node ? std::move(node.mapped()) : std::string();
    };
    attempt.relayEnd = take(relayheaders::end);
    attempt.isRelayLeaving = !take(relayheaders::leaving).empty();
    call.endsWithConnection = !take(relayheaders::endsWithConnection).empty();
    auto connectedFor = parseNumber<Milliseconds::rep>(take(relayheaders::connectedFor));
    // A relay of a release before does not say it.
    call.targetConnectedAt = connectedFor ? m_clock.now() - Milliseconds(*connectedFor) : TimePoint::max();
    std::optional<RoomRefusal> refusal = roomRefusalFrom(take(relayheaders::noRoom));
    auto retryAfter = parseNumber<Milliseconds::rep>(take(relayheaders::retryAfter));
    if (refusal && retryAfter)
        attempt.noRoom = NoRoom { *refusal, Milliseconds(*retryAfter) };
    std::string lifetime = take(relayheaders::target);
    if (lifetime.empty() && attempt.relayEnd.empty())
        attempt.relayEnd = isRejectedByServer(attempt.response.status) ? relayends::notTaken : relayends::mayHaveRun;
    if (attempt.run)
        m_repetitions.located(*attempt.run, lifetime);
    attempt.target = TargetId(lifetime.substr(0, lifetime.rfind('/')));
    const Registration* target = m_directory.find(attempt.target);
    if (target && lifetimeOf(*target) == lifetime)
        noteAnswer(*target, call, attempt);
}

ForwardEnd Forwarder::endOfRefusal(Attempt& attempt)
{
    attempt.reason = fmt::format("relay: {}", attempt.relayEnd);
    return attempt.relayEnd == relayends::mayHaveRun ? ForwardEnd::MayHaveRun : ForwardEnd::NotRun;
}

ForwardEnd Forwarder::deliver(ForwardedCall& call, Attempt& attempt)
{
    if (!attempt.relayEnd.empty())
        return endOfRefusal(attempt);
    if (!attempt.isStream) {
        if (attempt.attributes.isNotRun) {
            attempt.reason = "refused by the target";
            return ForwardEnd::NotRun;
        }
        bool isOwn = attempt.attributes.isSigned && attempt.attributes.call == call.attributes.call;
        if (!isOwn) {
            attempt.reason = "answer without signature";
            return ForwardEnd::MayHaveRun;
        }
        attempt.writer.send(attempt.response);
        return ForwardEnd::Delivered;
    }
    if (attempt.splitter.hasPartialEvent() || !attempt.writer.started()) {
        attempt.reason = "stream without a whole event at its end";
        return attempt.writer.started() ? ForwardEnd::BrokenOff : ForwardEnd::MayHaveRun;
    }
    if (attempt.hooks.beforeEnd && !attempt.hooks.beforeEnd(attempt.target)) {
        attempt.reason = "end not recorded";
        return ForwardEnd::BrokenOff;
    }
    attempt.writer.end();
    return ForwardEnd::Delivered;
}

RepetitionLimit::Verdict Forwarder::verdictOn(const ForwardedCall& call) const
{
    return call.repetition ? m_repetitions.verdictOn(*call.repetition) : RepetitionLimit::Verdict::Unlimited;
}

bool Forwarder::mayDispatch(const ForwardedCall& call) const
{
    return m_crashes.mayDispatch(call.content) && !isRepeatedTooOften(call);
}

unsigned Forwarder::maxRuns(const ForwardedCall& call) const
{
    return call.route.kind == CallKind::Idempotent && verdictOn(call) == RepetitionLimit::Verdict::Unlimited ? call.route.maxAttempts : 1;
}

void Forwarder::startRun(const ForwardedCall& call, Attempt& attempt, const std::string& lifetime)
{
    if (call.repetition)
        attempt.run = m_repetitions.sent(*call.repetition, lifetime);
}

// Whether the end of the attempt leads to a connection that shows if the target's process still runs.
bool Forwarder::isProbed(const ForwardedCall& call, const Attempt& attempt)
{
    return attempt.failure == TargetFailure::ConnectionLost && !call.isCallerGone && !attempt.isRelayed;
}

void Forwarder::endRun(const ForwardedCall& call, const Attempt& attempt, ForwardEnd end)
{
    if (!attempt.run)
        return;
    switch (end) {
    case ForwardEnd::Delivered:
        m_repetitions.ended(*attempt.run, call.endsWithConnection ? RepetitionLimit::RunEnd::EndedWithConnection : RepetitionLimit::RunEnd::Answered);
        return;
    case ForwardEnd::NotRun:
        m_repetitions.ended(*attempt.run, RepetitionLimit::RunEnd::NotRun);
        return;
    case ForwardEnd::MayHaveRun:
    case ForwardEnd::BrokenOff:
        m_repetitions.ended(*attempt.run, isProbed(call, attempt) ? RepetitionLimit::RunEnd::ConnectionLost : RepetitionLimit::RunEnd::Unanswered);
        return;
    }
}

template <typename Call>
ForwardEnd Forwarder::attemptCall(ForwardedCall& call, Attempt& attempt, Call receiveAnswer)
{
    ForwardEnd end = ForwardEnd::MayHaveRun;
    attempt.sentAt = m_clock.now();
    try {
        receiveAnswer();
        end = deliver(call, attempt);
    } catch (const TargetError& error) {
        attempt.reason = error.what();
        attempt.failure = error.failure();
        attempt.isUnreachable = error.executed() == Executed::No;
        end = attempt.isUnreachable ? ForwardEnd::NotRun : ForwardEnd::MayHaveRun;
    } catch (const StreamRejectedError& error) {
        attempt.reason = error.what();
    } catch (const ConnectionLostError& error) {
        attempt.reason = error.what();
        call.isCallerGone = true;
    } catch (const std::exception& error) {
        // A defect; the attempt still has to be ended in all accounts.
        attempt.reason = error.what();
        m_metrics.count("attempts_failed_by_defects_total");
    }
    if (attempt.writer.started() && end == ForwardEnd::MayHaveRun)
        end = ForwardEnd::BrokenOff;
    return end;
}

void ForwardedCall::callerLeft()
{
    isCallerGone = true;
    // A non-idempotent call cannot be repeated, so it runs to its end.
    if (route.kind != CallKind::NonIdempotent)
        cancellation.cancel();
    if (onCallerGone)
        onCallerGone();
}

// Where room is managed, the engine that has some need not be the target that was chosen.
std::optional<Room> Forwarder::roomAt(ForwardedCall& call, const Registration& target)
{
    if (!m_rooms.manages(call))
        return Room { target, {} };
    auto result = m_rooms.acquire(call);
    if (auto* room = std::get_if<Room>(&result))
        return std::move(*room);
    if (auto* noRoom = std::get_if<NoRoom>(&result))
        call.noRoom = *noRoom;
    return std::nullopt;
}

ForwardEnd Forwarder::tryTarget(ForwardedCall& call, const Room& room, bool isLast, ResponseWriter& writer, const StreamHooks& hooks)
{
    Attempt attempt(writer, hooks, m_receiveBudget);
    const Registration& chosen = room.target;
    attempt.target = chosen.id;
    call.lastTarget = lifetimeOf(chosen);
    m_selector.sent(chosen.id);
    m_monitor.sent(chosen);
    m_crashes.dispatched(call.content);
    startRun(call, attempt, lifetimeOf(chosen));
    m_limits.sent(chosen);
    ForwardEnd end = attemptCall(call, attempt, [&] {
        HttpCallOptions options = optionsFor(call, isLast);
        options.group = lifetimeOf(chosen);
        options.body = call.bodyForTarget();
        receive(call, attempt, chosen.endpoint, requestFor(call, room), options, [&] { noteAnswer(chosen, call, attempt); });
    });
    call.isRefusedByTarget = call.isRefusedByTarget || (end == ForwardEnd::NotRun && !attempt.isUnreachable);
    m_crashes.ended(call.content, end == ForwardEnd::Delivered && !call.endsWithConnection);
    endRun(call, attempt, end);
    if (isProbed(call, attempt)) {
        m_crashes.connectionLost(chosen, call.content);
        // Another attempt, of this gateway or of the one that relays through it, depends on whether the request crashed the target.
        if ((!isLast || call.isRelayed) && call.route.kind == CallKind::Idempotent)
            m_crashes.awaitOutcome(chosen);
    }
    m_selector.ended(chosen.id, outcomeOf(call, attempt, end), m_clock.now());
    m_monitor.ended(chosen.id);
    // Where the caller's deadline has ended the attempt, the target had less time than it may take.
    if (attempt.isUnreachable && !call.cancellation.isCancelled() && m_clock.now() < call.deadline) {
        call.unreachable.insert(chosen.id);
        m_monitor.failed(chosen, *attempt.failure);
    }
    if (auto timing = timingOf(call, attempt, end))
        m_selector.recordTiming(chosen.id, *timing, m_clock.now());
    const Registration* current = m_directory.find(chosen.id);
    // The first event shows that the target has read the prompt. A later lifetime has not.
    if (call.query.isManaged && (attempt.events > 0 || end == ForwardEnd::Delivered) && current && current->startedAt == chosen.startedAt)
        m_selector.remember(chosen.id, call.attributes.promptParts, affinityKeyOf(call), m_clock.now());
    if (m_rooms.manages(call)) {
        if (attempt.isUnreachable)
            m_rooms.giveBack(room);
        bool isAnswered = end == ForwardEnd::Delivered && attempt.isStream;
        m_rooms.ended(call, isAnswered ? std::optional(std::chrono::duration_cast<Milliseconds>(m_clock.now() - attempt.sentAt)) : std::nullopt);
    }
    logAttempt(call, chosen, attempt, end);
    return end;
}

// The relay makes one attempt that may run the call, so that this gateway counts the attempts.
ForwardEnd Forwarder::tryRelay(ForwardedCall& call, const RelayAddress& relay, bool isLast, ResponseWriter& writer, const StreamHooks& hooks)
{
    Attempt attempt(writer, hooks, m_receiveBudget);
    attempt.isRelayed = true;
    call.triedRelays.insert(TargetId(relay.instance));
    m_relays.sent(relay);
    startRun(call, attempt, {});
    ForwardEnd end = attemptCall(call, attempt, [&] {
        HttpCallOptions options = optionsFor(call, isLast);
        options.connectTimeout = relayConnectTimeout;
        receive(call, attempt, relay.endpoint, relayRequestFor(call), options, [&] { readRelayHeaders(call, attempt); });
    });
    endRun(call, attempt, end);
    call.isRefusedByTarget = attempt.relayEnd == relayends::notRun;
    if (call.isRefusedByTarget)
        call.noRoom = attempt.noRoom;
    if (!attempt.target.empty())
        call.query.tried.insert(attempt.target);
    if (attempt.isRelayLeaving)
        m_relays.setLeaving(relay.instance, m_clock.now());
    m_relays.ended(relay, relayOutcomeOf(call, attempt), m_clock.now());
    logRelay(call, relay, attempt, end);
    return end;
}

// For streams the time between events is compared, since it hardly varies while lengths differ.
std::optional<CallTiming> Forwarder::timingOf(const ForwardedCall& call, const Attempt& attempt, ForwardEnd end) const
{
    double whole = DoubleMilliseconds(m_clock.now() - attempt.sentAt).count();
    if (attempt.isStream && attempt.events >= minEventsForTiming)
        return CallTiming { call.route.name, attempt.millisecondsBetweenEvents(), whole };
    if (call.route.kind == CallKind::Stream || end != ForwardEnd::Delivered || attempt.response.status != 200)
        return std::nullopt;
    return CallTiming { call.route.name, whole, whole };
}

TargetOutcome Forwarder::outcomeOf(const ForwardedCall& call, const Attempt& attempt, ForwardEnd end) const
{
    bool isOver = call.isCallerGone || m_clock.now() >= call.deadline;
    switch (end) {
    case ForwardEnd::Delivered:
        return TargetOutcome::Answered;
    case ForwardEnd::NotRun:
        if (!attempt.isUnreachable)
            return TargetOutcome::Refused;
        return call.isCallerGone || attempt.failure == TargetFailure::OutOfResources ? TargetOutcome::Abandoned : TargetOutcome::Failed;
    case ForwardEnd::MayHaveRun:
    case ForwardEnd::BrokenOff:
        return isOver ? TargetOutcome::Abandoned : TargetOutcome::Failed;
    }
    assert(false && "unhandled enumerator");
    return TargetOutcome::Abandoned;
}

// A relay is not to blame for what its target does: an answer that breaks off, or none in time.
TargetOutcome Forwarder::relayOutcomeOf(const ForwardedCall& call, const Attempt& attempt)
{
    if (attempt.relayEnd == relayends::notTaken)
        return TargetOutcome::Failed;
    if (attempt.hasAnswer)
        return TargetOutcome::Answered;
    bool isLost = attempt.isUnreachable || attempt.failure == TargetFailure::ConnectionLost;
    bool isOwnFault = call.isCallerGone || attempt.failure == TargetFailure::OutOfResources;
    return isLost && !isOwnFault ? TargetOutcome::Failed : TargetOutcome::Abandoned;
}

std::string_view causeOfBrokenStream(const ForwardedCall& call, TimePoint now)
{
    if (call.isCallerGone)
        return "caller-gone";
    return now >= call.deadline ? "no-time-left" : "target-broke-off";
}

static const char* toString(ForwardEnd end)
{
    switch (end) {
    case ForwardEnd::Delivered:
        return "delivered";
    case ForwardEnd::NotRun:
        return "not-run";
    case ForwardEnd::MayHaveRun:
        return "may-have-run";
    case ForwardEnd::BrokenOff:
        return "broken-off";
    }
    assert(false && "unhandled enumerator");
    return "";
}

void Forwarder::logRelay(const ForwardedCall& call, const RelayAddress& relay, const Attempt& attempt, ForwardEnd end) const
{
    m_metrics.count(fmt::format("relays_total{{end=\"{}\"}}", toString(end)));
    LogLine line("relay");
    line.field("request", call.attributes.call.text()).field("relay", relay.instance).field("target", attempt.target.text());
    line.field("end", toString(end)).field("status", attempt.response.status).field("afterMs", std::chrono::duration_cast<Milliseconds>(m_clock.now() - call.arrivedAt));
    if (end != ForwardEnd::Delivered && call.repetition)
        line.field("repetition", call.repetition->text());
    if (attempt.failure)
        line.field("failure", toString(*attempt.failure));
    if (!attempt.reason.empty())
        line.field("reason", attempt.reason);
    m_log.write(line);
}

void Forwarder::logAttempt(const ForwardedCall& call, const Registration& target, const Attempt& attempt, ForwardEnd end) const
{
    m_metrics.count(fmt::format("attempts_total{{end=\"{}\"}}", toString(end)));
    LogLine line("attempt");
    line.field("request", call.attributes.call.text()).field("route", call.route.name).field("configuration", call.table->configuration().version);
    line.field("target", target.id.text()).field("startedAt", target.startedAt).field("inFlight", m_selector.inFlight(target.id));
    line.field("end", toString(end)).field("status", attempt.response.status).field("afterMs", std::chrono::duration_cast<Milliseconds>(m_clock.now() - call.arrivedAt));
    line.field("timeLeftMs", std::chrono::duration_cast<Milliseconds>(call.deadline - m_clock.now()));
    if (end != ForwardEnd::Delivered)
        line.field("content", call.content.text());
    if (end != ForwardEnd::Delivered && call.repetition)
        line.field("repetition", call.repetition->text());
    if (attempt.failure)
        line.field("failure", toString(*attempt.failure));
    if (!attempt.reason.empty())
        line.field("reason", attempt.reason);
    m_log.write(line);
}

ForwardEnd Forwarder::forward(ForwardedCall& call, ResponseWriter& writer, const StreamHooks& hooks)
{
    call.query.service = chooseService(call.route, call.attributes);
    call.query.kind = call.route.name;
    call.query.promptTokens = call.attributes.promptTokens;
    call.query.isManaged = call.table->managesRoom(call.query.service);
    if (call.query.isManaged)
        m_selector.recall(call.query, call.attributes.promptParts, affinityKeyOf(call), m_clock.now());
    unsigned runs = 0;
    unsigned refusals = 0;
    ForwardEnd end = ForwardEnd::NotRun;
    while (!call.isOver() && m_clock.now() < call.deadline && mayDispatch(call)) {
        bool isLast = runs + 1 >= maxRuns(call);
        const Registration* target = chooseTarget(call);
        std::optional<RelayAddress> relay = chooseRelay(call, target);
        if (!relay && !target)
            break;
        // Copied, since the directory may drop the entry during the call.
        std::optional<Room> room = relay ? std::nullopt : roomAt(call, *target);
        if (!relay && !room)
            break;
        // The call may have waited for the room.
        if (room && !mayDispatch(call)) {
            m_rooms.giveBack(*room);
            break;
        }
        if (room)
            call.query.tried.insert(room->target.id);
        ForwardEnd last = relay ? tryRelay(call, *relay, isLast, writer, hooks) : tryTarget(call, *room, isLast, writer, hooks);
        if (last == ForwardEnd::Delivered || last == ForwardEnd::BrokenOff)
            return last;
        if (last == ForwardEnd::NotRun) {
            // The relay has tried as many targets as this gateway would.
            if ((relay && call.isRefusedByTarget) || (!relay && ++refusals >= maxRefusals))
                break;
            continue;
        }
        end = ForwardEnd::MayHaveRun;
        if (++runs >= maxRuns(call))
            break;
    }
    return end;
}

} // namespace basilpoint
