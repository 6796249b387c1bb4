#include "SchedulerDriver.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <cassert>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr Milliseconds tickInterval { 50 };
static constexpr Milliseconds loadPollInterval { 500 };
static constexpr Milliseconds loadTimeout { 1'000 };

static std::string_view codeOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::DeadlineUnreachable:
        return "deadline-unreachable";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::NoReplica:
        return "no-replica";
    }
    assert(false && "unhandled enumerator");
    return {};
}

static int statusOf(RefusalReason reason)
{
    static constexpr int statusUnavailable = 503;
    static constexpr int statusUnprocessable = 422;
    return reason == RefusalReason::Quarantined ? statusUnprocessable : statusUnavailable;
}

CallRefusedError::CallRefusedError(const ProgramId& program, RefusalReason reason, std::optional<Milliseconds> retryAfter)
    : Error({ codeOf(reason), statusOf(reason), Executed::No }, { { "program", program.text() } })
{
    if (retryAfter)
        setRetryAfter(*retryAfter);
}

std::string poolName(const ModelPool& model)
{
    std::string members;
    for (const Endpoint& replica : model.replicas)
        members += replica.text() + ",";
    return fmt::format("{}@{:016x}", model.name, hash64(members));
}

SchedulerDriver::SchedulerDriver(const Clock& clock, HttpClient& client, LeavingTargetTracker& leaving, SchedulerSettings settings, RandomEngine::result_type seed)
    : m_clock(clock)
    , m_client(client)
    , m_scheduler(settings, seed)
    , m_leaving(leaving)
{
}

void SchedulerDriver::start()
{
    spawnFiber([this] { tickLoop(); });
    spawnFiber([this] { pollLoop(); });
}

void SchedulerDriver::updateTargets(const EnvironmentController& environments)
{
    std::map<TargetId, std::string> wanted;
    for (const auto& environment : environments.all()) {
        m_scheduler.setEnvironmentLimit(environment->id, environment->rules.maxConcurrentCalls);
        for (const auto& [name, model] : environment->models) {
            for (const Endpoint& replica : model.replicas)
                wanted.emplace(TargetId(replica.text()), poolName(model));
        }
    }
    for (const auto& [target, pool] : m_targets) {
        auto it = wanted.find(target);
        if (it != wanted.end() && it->second == pool)
            continue;
        m_down.erase(target);
        perform(m_scheduler.removeTarget(target, m_clock.now()));
    }
    for (const auto& [target, pool] : wanted) {
        auto it = m_targets.find(target);
        if (it == m_targets.end() || it->second != pool)
            perform(m_scheduler.addTarget(target, pool, m_clock.now()));
        if (!m_leaving.admitsWork(target))
            perform(m_scheduler.targetLeaving(target, m_clock.now()));
    }
    m_targets = std::move(wanted);
}

void SchedulerDriver::targetLeaving(const TargetId& target, LeavingSource source)
{
    if (!m_leaving.markLeaving(target, source, m_clock.now()))
        return;
    spdlog::info("target {} is leaving", target.text());
    if (m_targets.contains(target))
        perform(m_scheduler.targetLeaving(target, m_clock.now()));
    if (source != LeavingSource::Peer)
        raiseNotice(NoticeKind::LeavingTarget, target.text());
}

DispatchGrant SchedulerDriver::acquire(ModelCall call)
{
    call.id = CallId(++m_nextCall);
    auto pending = std::make_shared<PendingCall>();
    m_pending[call.id] = pending;
    perform(m_scheduler.submit(call, m_clock.now()));
    while (!pending->dispatch && !pending->refusal)
        pending->decided.wait();
    m_pending.erase(call.id);
    if (pending->refusal)
        throw CallRefusedError(call.program, pending->refusal->reason, pending->refusal->retryAfter);
    m_granted[call.id] = { pending->dispatch->target, call.model, {} };
    if (pending->dispatch->alone && !acquireLease(call))
        return acquire(std::move(call));
    return { call.id, parseEndpoint("target", pending->dispatch->target.text()), pending->dispatch->priority };
}

// Returns false if the replica went down meanwhile, for instance because of another daemon's suspected request. The
// call must then be submitted again.
bool SchedulerDriver::acquireLease(const ModelCall& call)
{
    if (!m_leaseHooks.acquire)
        return true;
    std::string lease = m_leaseHooks.acquire(call.model);
    m_granted[call.id].lease = std::move(lease);
    if (!m_down.contains(m_granted[call.id].target))
        return true;
    ended(call.id, CallEnd::Cancelled, 0);
    return false;
}

void SchedulerDriver::firstToken(CallId call)
{
    perform(m_scheduler.firstToken(call, m_clock.now()));
}

void SchedulerDriver::unreachable(CallId call)
{
    auto it = m_granted.find(call);
    assert(it != m_granted.end() && "only a granted call has a replica");
    markTargetDown(it->second.target);
}

void SchedulerDriver::ended(CallId call, CallEnd end, TokenCount outputTokens)
{
    auto granted = m_granted.extract(call);
    assert(!granted.empty() && "only a granted call can end");
    if (end == CallEnd::TargetCrashed)
        markTargetDown(granted.mapped().target);
    perform(m_scheduler.callEnded(call, end, outputTokens, m_clock.now()));
    if (!granted.mapped().lease.empty())
        spawnFiber([this, it = granted.mapped()] { m_leaseHooks.release(it.pool, it.lease); });
}

void SchedulerDriver::markTargetDown(const TargetId& target)
{
    if (!m_targets.contains(target) || !m_down.insert(target).second)
        return;
    spdlog::warn("target {} is down", target.text());
    perform(m_scheduler.removeTarget(target, m_clock.now()));
}

void SchedulerDriver::markTargetUp(const TargetId& target)
{
    auto it = m_targets.find(target);
    if (m_down.erase(target) == 0 || it == m_targets.end())
        return;
    perform(m_scheduler.addTarget(target, it->second, m_clock.now()));
    if (!m_leaving.admitsWork(target))
        perform(m_scheduler.targetLeaving(target, m_clock.now()));
}

void SchedulerDriver::toolStarted(const ProgramId& program, const std::string& tool)
{
    perform(m_scheduler.toolStarted(program, tool, m_clock.now()));
}

void SchedulerDriver::toolEnded(const ProgramId& program)
{
    perform(m_scheduler.toolEnded(program, m_clock.now()));
}

void SchedulerDriver::programEnded(const ProgramId& program)
{
    perform(m_scheduler.programEnded(program, m_clock.now()));
}

void SchedulerDriver::apply(const NoticeSubject& subject, bool inForce)
{
    switch (subject.kind) {
    case NoticeKind::QuarantinedRequest:
        if (inForce)
            perform(m_scheduler.quarantined(parseDigest(subject.text), m_clock.now()));
        return;
    case NoticeKind::SuspectedRequest:
        if (inForce)
            perform(m_scheduler.suspected(parseDigest(subject.text), m_clock.now()));
        return;
    case NoticeKind::LeavingTarget:
        if (inForce)
            targetLeaving(TargetId(subject.text), LeavingSource::Peer);
        else
            readmit(TargetId(subject.text));
        return;
    case NoticeKind::LimitedTarget:
    case NoticeKind::CutOffDaemon:
    case NoticeKind::UnansweredRun:
        // Only gateways send these.
        return;
    }
}

// Removes and re-adds the target, since another process may serve at its address by now.
void SchedulerDriver::readmit(const TargetId& target)
{
    if (m_leaving.admitsWork(target))
        return;
    m_leaving.readmit(target);
    auto it = m_targets.find(target);
    if (it == m_targets.end())
        return;
    perform(m_scheduler.removeTarget(target, m_clock.now()));
    perform(m_scheduler.addTarget(target, it->second, m_clock.now()));
}

void SchedulerDriver::perform(const SchedulerActions& actions)
{
    for (const SchedulerAction& action : actions)
        std::visit([this](const auto& it) { perform(it); }, action);
}

void SchedulerDriver::perform(const DispatchAction& action)
{
    auto it = m_pending.find(action.call);
    assert(it != m_pending.end() && "only waiting calls are dispatched");
    it->second->dispatch = action;
    it->second->decided.notifyAll();
}

void SchedulerDriver::perform(const RefuseAction& action)
{
    auto it = m_pending.find(action.call);
    assert(it != m_pending.end() && "only waiting calls are refused");
    it->second->refusal = action;
    it->second->decided.notifyAll();
}

void SchedulerDriver::perform(const ReleaseCacheAction& action)
{
    Endpoint replica = parseEndpoint("target", action.target.text());
    HttpRequest request { "POST", "/orders", { { "content-type", "application/json" } }, Json { { "order", "release" }, { "program", action.program.text() } }.dump() };
    spawnFiber([this, replica, request] {
        try {
            m_client.call(replica, request);
        } catch (const Error& error) {
            spdlog::warn("cannot release a program's cache: {}", error.what());
        }
    });
}

// Engines offer no transfer of caches between replicas: the cache is released, and the next call recomputes its prefix
// at the new replica.
void SchedulerDriver::perform(const MoveCacheAction& action)
{
    perform(ReleaseCacheAction { action.program, action.from });
}

void SchedulerDriver::perform(const QuarantineAction& action)
{
    spdlog::warn("request {} is quarantined", action.content.text());
    raiseNotice(NoticeKind::QuarantinedRequest, action.content.text());
}

void SchedulerDriver::perform(const SuspectAction& action)
{
    spdlog::warn("request {} is suspected of crashing its target", action.content.text());
    raiseNotice(NoticeKind::SuspectedRequest, action.content.text());
}

void SchedulerDriver::raiseNotice(NoticeKind kind, std::string text)
{
    if (m_onNotice)
        m_onNotice({ kind, std::move(text) });
}

void SchedulerDriver::tickLoop()
{
    for (;;) {
        sleepFiber(tickInterval);
        perform(m_scheduler.tick(m_clock.now()));
    }
}

void SchedulerDriver::pollLoop()
{
    for (;;) {
        sleepFiber(loadPollInterval);
        auto targets = m_targets;
        for (const auto& [target, pool] : targets)
            pollLoad(target);
    }
}

void SchedulerDriver::pollLoad(const TargetId& target)
{
    HttpCallOptions options;
    options.connectTimeout = loadTimeout;
    options.readTimeout = loadTimeout;
    try {
        TimePoint measuredAt = m_clock.now();
        HttpResponse response = m_client.call(parseEndpoint("target", target.text()), { "GET", "/load", {}, {} }, options);
        Json json = Json::parse(response.body, nullptr, false);
        if (!json.is_object())
            return;
        markTargetUp(target);
        if (json.value("leaving", false))
            targetLeaving(target, LeavingSource::TargetReport);
        perform(m_scheduler.loadReported({ target, json.value("running", std::uint64_t(0)), json.value("waiting", std::uint64_t(0)), json.value("cacheUse", 0.0), measuredAt }, m_clock.now()));
    } catch (const Error& error) {
        spdlog::debug("cannot read a target's load: {}", error.what());
    }
}

} // namespace basilpoint
