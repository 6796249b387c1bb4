#include "RoomController.h"

#include "Forwarder.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <fmt/format.h>

namespace basilpoint {

// Targets that are asked for one call before it waits; each costs a round trip.
static constexpr std::size_t targetsPerRound = 3;
// Engines answer within a round trip. A silent one must not delay the call noticeably: it is used without a reservation.
static constexpr Milliseconds answerTimeout { 100 };
// A full engine does not get free much faster.
static constexpr Milliseconds pauseAfterRefusal { 15 };
static constexpr Milliseconds askInterval { 10 };
// Keeps the gateways from asking at the same moments.
static constexpr Milliseconds askJitter { 5 };
// Bounds the log while an engine does not answer any request for a reservation.
static constexpr Milliseconds failureLogInterval { 1'000 };
// Answers are short.
static constexpr std::size_t maxAnswerBytes = 4 * 1024;
// Entries of targets that refused after which old ones are removed; more than the targets of a large site.
static constexpr std::size_t maxRefusedTargets = 1'024;
static constexpr int statusOk = 200;
static constexpr int statusNoRoom = 503;

/// What a call needs, independent of the call's lifetime.
struct RoomController::Need {
    TargetQuery query;
    WaitClass waitClass;
    TokenCount maxTokens = 0;
    Milliseconds maxReservation { 0 };
    bool startsProgram = false;
    TimePoint startedAt;
    TimePoint deadline;
    std::optional<TimePoint> programEnd;

    TokenCount tokensAt(const TargetId& target) const
    {
        TokenCount cached = std::min(query.cachedAt(target), query.promptTokens);
        return std::max<TokenCount>(query.promptTokens - cached + maxTokens, 1);
    }
    double work() const { return static_cast<double>(std::max<TokenCount>(query.promptTokens + maxTokens, 1)); }
};

struct RoomController::Waiter {
    Need need;
    std::optional<Room> room;
    bool isEnded = false;
    bool hasNoPlace = false;
    FiberSignal changed;
};

struct RoomController::Service {
    ServiceId name;
    RoomQueue queue;
    /// Shared with the fiber that asks, since a call may leave during a request for a reservation.
    std::map<WaitingCallId, std::shared_ptr<Waiter>> waiters;
    RefusalPolicy policy;
    FiberSignal mayHaveRoom;
    bool isServed = false;
};

enum class RoomController::Answer {
    Granted,
    Refused,
    /// The target does not answer such requests at present.
    None,
};

RoomController::RoomController(HttpClient& client, TargetSelector& selector, TargetMonitor& monitor, RateLimitTracker& limits, const WireFormat& format, const Clock& clock, JsonLog& log, Metrics& metrics, RandomEngine::result_type seed)
    : m_client(client)
    , m_selector(selector)
    , m_monitor(monitor)
    , m_limits(limits)
    , m_format(format)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_random(seed)
{
}

RoomController::~RoomController() = default;

RoomController::Service& RoomController::serviceOf(const ServiceId& name)
{
    auto& service = m_services[name];
    if (!service)
        service.reset(new Service { name, {}, {}, RefusalPolicy(m_random()), {}, false });
    return *service;
}

bool RoomController::manages(const ForwardedCall& call) const
{
    return m_isEnabled && call.route.kind == CallKind::Stream && m_format.reservations.make && call.table->managesRoom(call.query.service);
}

RoomController::Need RoomController::needOf(const ForwardedCall& call) const
{
    const CallAttributes& attributes = call.attributes;
    TimePoint now = m_clock.now();
    Need need;
    need.query = call.query;
    need.waitClass.routePriority = call.route.priority;
    // As for engines, the route's priority stands for both where the organisation has none.
    need.waitClass.organisationPriority = call.route.priority;
    if (call.organisation) {
        need.waitClass.organisation = call.organisation->name;
        need.waitClass.organisationPriority = call.organisation->priority.value_or(call.route.priority);
    }
    bool isKnown = !call.route.keepsTurns() && !attributes.program.empty() && m_programs.contains(need.waitClass.organisation, attributes.program.text(), now);
    need.waitClass.isLaterTurn = !attributes.previousTurn.empty() || isKnown;
    need.maxTokens = attributes.maxTokens;
    need.maxReservation = call.table->service(call.query.service)->engine->maxReservation;
    need.startsProgram = call.route.keepsTurns() && attributes.previousTurn.empty();
    need.startedAt = now;
    need.deadline = call.deadline;
    if (attributes.programTimeLeft)
        need.programEnd = call.arrivedAt + *attributes.programTimeLeft;
    return need;
}

std::vector<Registration> RoomController::targetsFor(const Need& need)
{
    TimePoint now = m_clock.now();
    std::vector<const Registration*> targets = m_monitor.reachable(need.query.service);
    m_limits.removeExhausted(targets, need.startsProgram);
    auto hasRefused = [&](const Registration* it) {
        auto refused = m_refusedUntil.find(lifetimeOf(*it));
        return refused != m_refusedUntil.end() && now < refused->second;
    };
    // A call with a placement goes to that target only, also if that has to be waited for.
    if (!need.query.placement)
        std::erase_if(targets, hasRefused);
    std::vector<Registration> chosen;
    for (const Registration* it : m_selector.chooseBest(targets, need.query, need.query.placement ? 1 : targetsPerRound, now))
        if (!hasRefused(it))
            chosen.push_back(*it);
    return chosen;
}

RoomController::Answer RoomController::ask(const Registration& target, const Need& need, std::string& reservation)
{
    TimePoint now = m_clock.now();
    auto timeLeft = std::chrono::duration_cast<Milliseconds>(need.deadline - now);
    HttpCallOptions options;
    options.connectTimeout = answerTimeout;
    options.deadline = now + answerTimeout;
    options.maxBodyBytes = maxAnswerBytes;
    options.group = lifetimeOf(target);
    // The connections are those of calls, whose late answers must not be taken for this one.
    options.matchesRequest = [this](const HttpResponse& response) { return m_format.readResponse(response).call.empty(); };
    HttpRequest request = m_format.reservations.make(need.tokensAt(target.id), std::clamp(timeLeft, Milliseconds(1), need.maxReservation));
    try {
        HttpResponse response = m_client.call(target.endpoint, request, options);
        if (response.status == statusOk)
            reservation = m_format.reservations.read(response);
        if (!reservation.empty())
            return Answer::Granted;
        if (response.status == statusNoRoom)
            return Answer::Refused;
        logFailure(target, fmt::format("status {}", response.status));
    } catch (const TargetError& error) {
        logFailure(target, error.what());
    }
    return Answer::None;
}

std::optional<Room> RoomController::askRound(const Need& need)
{
    auto count = [&](const char* result) { m_metrics.count(fmt::format("reservations_total{{service=\"{}\",result=\"{}\"}}", need.query.service.text(), result)); };
    for (const Registration& target : targetsFor(need)) {
        std::string reservation;
        switch (ask(target, need, reservation)) {
        case Answer::Granted:
            count("granted");
            return Room { target, std::move(reservation) };
        case Answer::Refused:
            count("refused");
            if (m_refusedUntil.size() >= maxRefusedTargets)
                std::erase_if(m_refusedUntil, [now = m_clock.now()](const auto& it) { return it.second <= now; });
            m_refusedUntil[lifetimeOf(target)] = m_clock.now() + pauseAfterRefusal;
            break;
        case Answer::None:
            count("failed");
            return Room { target, {} };
        }
    }
    return std::nullopt;
}

std::variant<std::monostate, Room, NoRoom> RoomController::acquire(ForwardedCall& call)
{
    Need need = needOf(call);
    Service& service = serviceOf(call.query.service);
    TimePoint now = m_clock.now();
    RoomArrival arrival { need.waitClass, call.route.name, std::chrono::duration_cast<Milliseconds>(need.deadline - now), {}, service.queue.longestWait(need.waitClass, now) };
    if (need.programEnd)
        arrival.programTimeLeft = std::chrono::duration_cast<Milliseconds>(*need.programEnd - now);
    RoomDecision decision = service.policy.arrived(arrival, now);
    if (decision.refusal)
        return refuse(call, need, *decision.refusal, decision);
    if (!service.queue.empty())
        return waitFor(call, need, decision);
    std::optional<Room> room = askRound(need);
    if (!room)
        return waitFor(call, need, decision);
    notePlaced(call, need, *room, decision);
    if (!call.isCallerGone)
        return *room;
    giveBack(*room);
    return std::monostate();
}

std::variant<std::monostate, Room, NoRoom> RoomController::waitFor(ForwardedCall& call, const Need& need, const RoomDecision& decision)
{
    Service& service = serviceOf(need.query.service);
    auto waiter = std::make_shared<Waiter>();
    waiter->need = need;
    WaitingCallId id = ++m_lastId;
    service.waiters[id] = waiter;
    auto displaced = service.queue.push({ id, need.waitClass, need.work(), need.startedAt, need.programEnd.value_or(need.deadline) }, m_clock.now());
    if (displaced) {
        Waiter& last = *service.waiters.at(*displaced);
        last.hasNoPlace = true;
        last.changed.notifyAll();
    }
    noteWaiting(service);
    m_log.write(LogLine("room-waiting").field("request", call.attributes.call.text()).field("service", service.name.text()).field("waiting", service.queue.size()).field("laterTurn", need.waitClass.isLaterTurn).field("expectedWaitMs", decision.expectedWait).field("estimateAgeMs", decision.estimateAge.value_or(Milliseconds(-1))).field("trial", decision.isTrial));
    if (!service.isServed) {
        service.isServed = true;
        spawnFiber([this, &service] { serveQueue(service); });
    }
    call.onCallerGone = [waiter = waiter.get()] { waiter->changed.notifyAll(); };
    TimePoint end = need.startedAt + decision.maxWait;
    while (!waiter->room && !waiter->hasNoPlace && !call.isCallerGone && m_clock.now() < end)
        waiter->changed.waitFor(std::chrono::ceil<Milliseconds>(end - m_clock.now()));
    call.onCallerGone = nullptr;
    waiter->isEnded = true;
    service.queue.erase(id);
    service.waiters.erase(id);
    noteWaiting(service);
    auto waited = std::chrono::duration_cast<Milliseconds>(m_clock.now() - need.startedAt);
    if (waiter->room && !call.isCallerGone) {
        notePlaced(call, need, *waiter->room, decision);
        return *waiter->room;
    }
    if (waiter->room)
        giveBack(*waiter->room);
    if (call.isCallerGone) {
        m_log.write(LogLine("room-left").field("request", call.attributes.call.text()).field("waitedMs", waited));
        return std::monostate();
    }
    service.policy.gaveUp(need.waitClass, waited, m_clock.now());
    return refuse(call, need, waiter->hasNoPlace ? RoomRefusal::QueueFull : RoomRefusal::TooLate, decision);
}

std::variant<std::monostate, Room, NoRoom> RoomController::refuse(const ForwardedCall& call, const Need& need, RoomRefusal refusal, const RoomDecision& decision)
{
    Service& service = serviceOf(need.query.service);
    TimePoint now = m_clock.now();
    auto waited = std::chrono::duration_cast<Milliseconds>(now - need.startedAt);
    Milliseconds retryAfter = service.policy.retryAfter(std::max(decision.expectedWait, waited));
    m_metrics.count(fmt::format("room_refusals_total{{reason=\"{}\"}}", toString(refusal)));
    LogLine line("room-refused");
    line.field("request", call.attributes.call.text()).field("service", service.name.text()).field("reason", toString(refusal)).field("organisation", need.waitClass.organisation);
    line.field("laterTurn", need.waitClass.isLaterTurn).field("waitedMs", waited).field("waiting", service.queue.size());
    line.field("expectedWaitMs", decision.expectedWait).field("estimateAgeMs", decision.estimateAge.value_or(Milliseconds(-1))).field("usualTimeMs", decision.usualTime);
    line.field("timeLeftMs", std::chrono::duration_cast<Milliseconds>(need.deadline - now)).field("retryAfterMs", retryAfter);
    if (need.programEnd)
        line.field("programTimeLeftMs", std::chrono::duration_cast<Milliseconds>(*need.programEnd - now));
    m_log.write(line);
    return NoRoom { refusal, retryAfter };
}

void RoomController::notePlaced(const ForwardedCall& call, const Need& need, const Room& room, const RoomDecision& decision)
{
    Service& service = serviceOf(need.query.service);
    TimePoint now = m_clock.now();
    auto waited = std::chrono::duration_cast<Milliseconds>(now - need.startedAt);
    service.policy.placed(need.waitClass, waited, now);
    service.queue.placed(need.waitClass.organisation, need.work());
    if (!call.attributes.program.empty())
        m_programs.sent(need.waitClass.organisation, call.attributes.program.text(), now);
    m_metrics.observe("room_wait_seconds", now - need.startedAt);
    m_log.write(LogLine("room").field("request", call.attributes.call.text()).field("service", service.name.text()).field("target", room.target.id.text()).field("reserved", !room.reservation.empty()).field("laterTurn", need.waitClass.isLaterTurn).field("waitedMs", waited).field("waiting", service.queue.size()).field("expectedWaitMs", decision.expectedWait).field("estimateAgeMs", decision.estimateAge.value_or(Milliseconds(-1))));
}

void RoomController::noteWaiting(const Service& service)
{
    m_metrics.gauge(fmt::format("room_waiting_calls{{service=\"{}\"}}", service.name.text()), static_cast<double>(service.queue.size()));
}

void RoomController::serveQueue(Service& service)
{
    while (auto id = service.queue.first(m_clock.now())) {
        std::shared_ptr<Waiter> waiter = service.waiters.at(*id);
        std::optional<Room> room = askRound(waiter->need);
        if (room && waiter->isEnded)
            giveBack(*room);
        else if (room) {
            service.queue.erase(*id);
            waiter->room = std::move(room);
            waiter->changed.notifyAll();
        } else
            service.mayHaveRoom.waitFor(askInterval + Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, askJitter.count())(m_random)));
    }
    service.isServed = false;
}

void RoomController::giveBack(const Room& room)
{
    if (room.reservation.empty())
        return;
    spawnFiber([this, room] {
        HttpCallOptions options;
        options.connectTimeout = answerTimeout;
        options.deadline = m_clock.now() + answerTimeout;
        options.maxBodyBytes = maxAnswerBytes;
        options.group = lifetimeOf(room.target);
        options.matchesRequest = [this](const HttpResponse& response) { return m_format.readResponse(response).call.empty(); };
        try {
            m_client.call(room.target.endpoint, m_format.reservations.drop(room.reservation), options);
        } catch (const TargetError& error) {
            // The reservation expires.
            logFailure(room.target, error.what());
        }
    });
}

void RoomController::ended(const ForwardedCall& call, std::optional<Milliseconds> time)
{
    Service& service = serviceOf(call.query.service);
    if (time)
        service.policy.ran(call.route.name, *time);
    service.mayHaveRoom.notifyAll();
}

void RoomController::logFailure(const Registration& target, std::string_view reason)
{
    ++m_unloggedFailures;
    TimePoint now = m_clock.now();
    if (m_failureLoggedAt != TimePoint::min() && now - m_failureLoggedAt < failureLogInterval)
        return;
    m_failureLoggedAt = now;
    m_log.write(LogLine("reservation-failed").field("target", target.id.text()).field("reason", reason).field("failures", m_unloggedFailures));
    m_unloggedFailures = 0;
}

} // namespace basilpoint
