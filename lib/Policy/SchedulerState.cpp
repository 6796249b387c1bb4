#include "SchedulerState.h"

namespace basilpoint {

// Engine work of one decoded token in prefill tokens: decoding reads all weights for a few tokens.
static constexpr double workPerOutputToken = 16;
// Waiting calls looked at per dispatch; the rest waits for the next event.
static constexpr std::size_t scanLimit = 64;
// A call this close to its deadline can't produce its first token in time.
static constexpr Milliseconds minServiceTime { 50 };
static constexpr std::chrono::seconds sweepInterval { 1 };
// An older report says nothing of the other daemons' load.
static constexpr Milliseconds maxReportAge { 5'000 };
// A root without service for so long ended without notice.
static constexpr std::chrono::hours maxRootIdle { 1 };
static constexpr Milliseconds noReplicaRetry { 1'000 };
// A call waits for room in a replica's memory by this multiple of the time that it takes to compute a cache that it evicts.
static constexpr double waitPerEviction = 16;
static const Digest unknownContent;

SchedulerState::SchedulerState(const SchedulerSettings& settings, RandomEngine::result_type seed)
    : m_settings(settings)
    , m_router({ settings.prefillTokensPerSecond }, m_replicas, m_caches, seed)
    , m_retention(settings.maxCacheIdle)
{
}

ModelLane& SchedulerState::lane(const std::string& model)
{
    auto it = m_lanes.find(model);
    if (it != m_lanes.end())
        return it->second;
    ModelLane& created = m_lanes.try_emplace(model, m_settings).first->second;
    for (const auto& [owner, weight] : m_weights)
        created.shares.setWeight(owner, weight);
    return created;
}

void SchedulerState::setOperatorWeight(const OperatorId& owner, double weight)
{
    m_weights[owner] = weight;
    for (auto& [model, lane] : m_lanes)
        lane.shares.setWeight(owner, weight);
}

void SchedulerState::addTarget(const TargetId& target, const std::string& model)
{
    auto known = m_replicas.find(target);
    if (known && m_replicas.at(*known).model == model) {
        // The notice was withdrawn. A replica that restarted was removed before.
        m_replicas.update(*known, [](Replica& replica) { replica.leaving = false; });
        return;
    }
    if (known) {
        m_caches.eraseReplica(*known);
        m_replicas.remove(*known);
    }
    m_replicas.add(target, model, m_settings.maxRunningPerTarget);
}

void SchedulerState::removeTarget(const TargetId& target, TimePoint now)
{
    auto replica = m_replicas.find(target);
    if (!replica)
        return;
    std::string model = m_replicas.at(*replica).model;
    m_caches.eraseReplica(*replica);
    m_replicas.remove(*replica);
    m_ejection.forget(target);
    serve(model, now);
}

std::optional<RefuseAction> SchedulerState::refusalOf(const ModelCall& call, ModelLane& lane, TimePoint now)
{
    Milliseconds later = lane.admission.retryAfter();
    if (m_quarantine.verdict(call.content) == Quarantine::Verdict::Quarantined)
        return RefuseAction { call.id, RefusalReason::Quarantined, std::nullopt };
    // An open replica answers the question without a look at all of them.
    if (m_replicas.open(call.model).empty() && m_replicas.staying(call.model) == 0)
        return RefuseAction { call.id, RefusalReason::NoReplica, noReplicaRetry };
    if (call.deadline && *call.deadline <= now + minServiceTime)
        return RefuseAction { call.id, RefusalReason::DeadlineUnreachable, later };
    if (!lane.admission.admitsCall(lane.waiting()))
        return RefuseAction { call.id, RefusalReason::Overloaded, later };
    if (lane.service.knows(call.root))
        return std::nullopt;
    bool full = !lane.admission.admitsProgram(lane.service.size());
    if (full || (lane.admission.programLimit() && lane.backoff.isEarly(call.root, now)))
        return RefuseAction { call.id, RefusalReason::Overloaded, lane.backoff.refused(call.root, later, now) };
    return std::nullopt;
}

void SchedulerState::submit(const ModelCall& call, TimePoint now)
{
    ModelLane& lane = this->lane(call.model);
    if (auto refusal = refusalOf(call, lane, now)) {
        m_actions.emplace_back(*refusal);
        return;
    }
    auto [it, isNew] = m_calls.try_emplace(call.id, call, now);
    if (!isNew)
        return;
    lane.service.add(call.root, 0, now);
    lane.backoff.forget(call.root);
    m_retention.pauseEnded(call.program, now);
    m_weightsOf[call.program] = { call.latencyWeight, call.cacheWeight };
    enqueue(it->second, lane);
    serve(call.model, now);
}

void SchedulerState::enqueue(CallRecord& record, ModelLane& lane)
{
    const ModelCall& call = record.call;
    if (m_quarantine.verdict(call.content) == Quarantine::Verdict::Suspect) {
        lane.suspects.push(call.id, m_quarantine.rank(call.content));
        return;
    }
    TokenCount cached = 0;
    for (const CacheEntry& entry : m_caches.of(call.program))
        cached = std::max(cached, std::min(call.promptTokens, entry.tokens));
    double work = static_cast<double>(call.promptTokens - cached) + workPerOutputToken * lane.meanOutput.value();
    FairShares::Place place = lane.shares.enter(call.owner, work);
    record.level = lane.service.levelOf(call.root) + place.penalty;
    record.startTag = place.startTag;
    lane.queue.push({ call.id, cached > 0, record.level, record.startTag, record.submittedAt, call.deadline });
}

void SchedulerState::forgetWaiting(CallRecord& record, ModelLane& lane)
{
    CallId id = record.call.id;
    unpark(record);
    if (!lane.queue.erase(id))
        lane.suspects.erase(id);
    m_calls.erase(id);
}

void SchedulerState::refuse(CallRecord& record, ModelLane& lane, RefusalReason reason, TimePoint now)
{
    std::optional<Milliseconds> later;
    if (reason != RefusalReason::Quarantined)
        later = lane.admission.retryAfter();
    lane.admission.waited(std::chrono::duration_cast<Milliseconds>(now - record.submittedAt));
    m_actions.emplace_back(RefuseAction { record.call.id, reason, later });
    forgetWaiting(record, lane);
}

void SchedulerState::cancelWaiting(CallId id, TimePoint now)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.replica)
        return;
    std::string model = it->second.call.model;
    forgetWaiting(it->second, lane(model));
    serve(model, now);
}

RouteRequest SchedulerState::routeRequest(const CallRecord& record, bool mayWait) const
{
    const ModelCall& call = record.call;
    return { call.program, call.model, call.promptTokens, call.cacheWeight, mayWait };
}

bool SchedulerState::isParked(const CallRecord& record, TimePoint now) const
{
    return record.parkedAt && now < record.parkedUntil && m_replicas.contains(*record.parkedAt) && !m_replicas.at(*record.parkedAt).accepts() && !m_replicas.at(*record.parkedAt).leaving;
}

void SchedulerState::park(CallRecord& record, const Route& route, TimePoint now)
{
    unpark(record);
    record.parkedAt = route.replica;
    // The first wait counts; a call doesn't get a new one with each look at it.
    if (record.parkedUntil == TimePoint())
        record.parkedUntil = now + route.patience;
    m_replicas.update(route.replica, [](Replica& replica) { ++replica.parked; });
}

void SchedulerState::unpark(CallRecord& record)
{
    if (record.parkedAt && m_replicas.contains(*record.parkedAt))
        m_replicas.update(*record.parkedAt, [](Replica& replica) { --replica.parked; });
    record.parkedAt.reset();
}

Visit SchedulerState::tryDispatch(CallRecord& record, ModelLane& lane, TimePoint now)
{
    const ModelCall& call = record.call;
    if (m_quarantine.verdict(call.content) == Quarantine::Verdict::Suspect) {
        unpark(record);
        lane.suspects.push(call.id, m_quarantine.rank(call.content));
        return Visit::Take;
    }
    bool aged = lane.queue.isAged(call.id, now);
    if (!aged && isParked(record, now))
        return Visit::Skip;
    if (!m_limits.admits(call.environment, call.owner) || !m_quarantine.mayDispatch(call.content))
        return Visit::Skip;
    bool mayWait = !aged && (record.parkedUntil == TimePoint() || now < record.parkedUntil);
    RouteRequest request = routeRequest(record, mayWait);
    std::chrono::duration<double> patience(waitPerEviction * m_caches.meanTokens() / m_settings.prefillTokensPerSecond);
    request.mayEvict = aged || now - record.submittedAt >= patience;
    Route route = m_router.route(request);
    switch (route.kind) {
    case Route::Kind::Dispatch:
        dispatch(record, lane, route.replica, now);
        return Visit::Take;
    case Route::Kind::WaitForCache:
        park(record, route, now);
        return Visit::Skip;
    case Route::Kind::NoMemory:
        return Visit::Skip;
    case Route::Kind::NoRoom:
        return Visit::Stop;
    }
    return Visit::Stop;
}

void SchedulerState::dispatch(CallRecord& record, ModelLane& lane, ReplicaIndex index, TimePoint now)
{
    unpark(record);
    const ModelCall& call = record.call;
    const Replica& replica = m_replicas.at(index);
    record.replica = index;
    record.target = replica.id;
    record.dispatchedAt = now;
    record.uncached = m_router.uncachedTokens(routeRequest(record, false), index);
    m_replicas.update(index, [&](Replica& changed) { changed.load.ownStarted(now); });
    ++m_running;
    m_limits.started(call.environment, call.owner);
    if (call.content != unknownContent)
        m_quarantine.dispatched(call.content);
    lane.shares.dispatched(record.startTag);
    m_caches.put(call.program, index, call.promptTokens, now + m_settings.maxCacheIdle);
    m_actions.emplace_back(DispatchAction { call.id, record.target, static_cast<std::int32_t>(record.level), record.alone });
}

void SchedulerState::serve(const std::string& model, TimePoint now)
{
    ModelLane& lane = this->lane(model);
    serveSuspects(lane, model, now);
    if (!lane.queue.empty() && !m_replicas.open(model).empty())
        lane.queue.visit(now, scanLimit, [&](CallId id) { return tryDispatch(m_calls.at(id), lane, now); });
}

void SchedulerState::callEnded(CallId id, CallEnd end, TokenCount outputTokens, TimePoint now)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || !it->second.replica)
        return;
    CallRecord record = std::move(it->second);
    m_calls.erase(it);
    --m_running;
    const ModelCall& call = record.call;
    ModelLane& lane = this->lane(call.model);
    m_limits.ended(call.environment, call.owner);
    bool present = m_replicas.contains(*record.replica);
    if (present) {
        double seconds = std::chrono::duration<double>(now - record.dispatchedAt).count();
        m_replicas.update(*record.replica, [&](Replica& replica) {
            replica.load.ownEnded(now);
            replica.meanSeconds += (seconds - replica.meanSeconds) * 0.05;
        });
    }
    if (record.alone)
        lane.suspects.suspectEnded(*record.replica);
    lane.service.add(call.root, static_cast<double>(record.uncached) + workPerOutputToken * static_cast<double>(outputTokens), now);
    settleEjection(record, end, now);
    settleQuarantine(record, end, now);
    if (present && end == CallEnd::Finished) {
        lane.meanOutput.add(static_cast<double>(outputTokens));
        m_caches.put(call.program, *record.replica, call.promptTokens + outputTokens, now + m_settings.maxCacheIdle);
        m_retention.pauseStarted(call.program, {}, now);
    }
    serve(call.model, now);
}

void SchedulerState::firstToken(CallId id, TimePoint now)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || !it->second.replica)
        return;
    const CallRecord& record = it->second;
    // The time for the call's own prompt is no wait.
    std::chrono::duration<double> prefill(static_cast<double>(record.uncached) / m_settings.prefillTokensPerSecond);
    auto wait = std::chrono::duration_cast<Milliseconds>(now - record.submittedAt - prefill);
    lane(record.call.model).admission.waited(std::max(wait, Milliseconds(0)));
}

void SchedulerState::loadReported(const LoadReport& report, TimePoint now)
{
    auto index = m_replicas.find(report.target);
    if (!index)
        return;
    m_replicas.update(*index, [&](Replica& replica) {
        replica.limit.reported(report.running, report.waiting);
        replica.room.reported(report.cacheUse, m_caches.heldAt(*index));
        replica.load.reported(report.running + report.waiting, report.measuredAt);
        replica.cacheUse = report.cacheUse;
    });
    serve(m_replicas.at(*index).model, now);
}

void SchedulerState::cacheEvicted(const TargetId& target, const ProgramId& program)
{
    if (auto replica = m_replicas.find(target))
        m_caches.erase(program, *replica);
}

void SchedulerState::cacheEventsMissed(const TargetId& target)
{
    if (auto replica = m_replicas.find(target))
        m_caches.doubt(*replica);
}

void SchedulerState::refuseExpired(ModelLane& lane, TimePoint now)
{
    for (CallId id : lane.queue.takeExpired(now + minServiceTime))
        refuse(m_calls.at(id), lane, RefusalReason::DeadlineUnreachable, now);
    for (CallId id : lane.suspects.waiting()) {
        CallRecord& record = m_calls.at(id);
        if (record.call.deadline && *record.call.deadline <= now + minServiceTime)
            refuse(record, lane, RefusalReason::DeadlineUnreachable, now);
    }
}

void SchedulerState::refuseWithoutReplica(ModelLane& lane, const std::string& model, TimePoint now)
{
    if (lane.waiting() == 0 || m_replicas.staying(model) > 0)
        return;
    // A short gap is bridged; after the aging bound the caller had better know.
    std::vector<CallId> stranded;
    for (const auto& [id, record] : m_calls) {
        if (!record.replica && record.call.model == model && now - record.submittedAt >= m_settings.agingBound)
            stranded.push_back(id);
    }
    for (CallId id : stranded)
        refuse(m_calls.at(id), lane, RefusalReason::NoReplica, now);
}

void SchedulerState::tick(TimePoint now)
{
    for (const TargetId& target : m_ejection.takeReturning(now)) {
        if (auto replica = m_replicas.find(target))
            m_replicas.update(*replica, [](Replica& changed) { changed.ejected = false; });
    }
    for (auto& [model, lane] : m_lanes) {
        refuseExpired(lane, now);
        refuseWithoutReplica(lane, model, now);
        auto oldest = lane.queue.oldestArrival();
        Milliseconds oldestWait = oldest ? std::chrono::duration_cast<Milliseconds>(now - *oldest) : Milliseconds(0);
        lane.admission.tick(lane.service.size(), oldestWait, now);
        if (now >= m_sweepAt) {
            lane.service.sweep(now, maxRootIdle);
            lane.backoff.sweep(now);
        }
        serve(model, now);
    }
    for (const OwnedCache& cache : m_caches.takeExpired(now)) {
        release(cache.program, cache.entry);
        if (m_caches.of(cache.program).empty())
            m_weightsOf.erase(cache.program);
    }
    if (now < m_sweepAt)
        return;
    m_quarantine.sweep(now);
    m_retention.sweep(now);
    m_replicas.expireReports(now, maxReportAge);
    m_sweepAt = now + sweepInterval;
}

} // namespace basilpoint
