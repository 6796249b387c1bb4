#include "SchedulerState.h"

namespace basilpoint {

// Engine work per output token in prefill-token equivalents; decoding reads all model weights for a few tokens.
static constexpr double workPerOutputToken = 16;
// Calls that one pass over a part of the queue may skip; the rest waits for the next event.
static constexpr std::size_t scanLimit = 64;
// A call closer to its deadline can't produce its first token in time.
static constexpr Milliseconds minTimeToFirstToken { 50 };
static constexpr std::chrono::seconds sweepInterval { 1 };
// An older load report no longer reflects the other daemons' calls.
static constexpr Milliseconds maxReportAge { 5'000 };
// A root program without service for this time has ended unreported.
static constexpr std::chrono::hours maxRootIdle { 1 };
static constexpr Milliseconds noReplicaRetryAfter { 1'000 };
// A call may evict other caches after waiting for this multiple of the time to recompute a cache of mean size.
static constexpr double evictionWaitFactor = 16;
// Digest of calls whose content is not known; these are never suspected.
static const Digest unknownContent;

SchedulerState::SchedulerState(const SchedulerSettings& settings, RandomEngine::result_type seed)
    : m_settings(settings)
    , m_router({ settings.prefillTokensPerSecond }, m_replicas, m_caches, seed)
    , m_retention(settings.maxCacheIdle)
{
}

ModelState& SchedulerState::stateOf(const std::string& model)
{
    auto it = m_models.find(model);
    if (it != m_models.end())
        return it->second;
    ModelState& created = m_models.try_emplace(model, m_settings).first->second;
    for (const auto& [owner, weight] : m_operatorWeights)
        created.shares.setWeight(owner, weight);
    return created;
}

void SchedulerState::setOperatorWeight(const OperatorId& owner, double weight)
{
    m_operatorWeights[owner] = weight;
    for (auto& [model, state] : m_models)
        state.shares.setWeight(owner, weight);
}

void SchedulerState::addTarget(const TargetId& target, const std::string& model)
{
    auto known = m_replicas.find(target);
    if (known && m_replicas.at(*known).model == model) {
        // The target no longer leaves. A restarted replica would have been removed first.
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
    dispatchWaiting(model, now);
}

std::optional<RefuseAction> SchedulerState::refusalOf(const ModelCall& call, ModelState& state, TimePoint now)
{
    Milliseconds retryAfter = state.admission.retryAfter();
    if (m_quarantine.statusOf(call.content) == Quarantine::Status::Quarantined)
        return RefuseAction { call.id, RefusalReason::Quarantined, std::nullopt };
    // Checking for an open replica first avoids counting all of them in the common case.
    if (m_replicas.open(call.model).empty() && m_replicas.stayingCount(call.model) == 0)
        return RefuseAction { call.id, RefusalReason::NoReplica, noReplicaRetryAfter };
    if (call.deadline && *call.deadline <= now + minTimeToFirstToken)
        return RefuseAction { call.id, RefusalReason::DeadlineUnreachable, retryAfter };
    if (!state.admission.admitsCall(state.waiting()))
        return RefuseAction { call.id, RefusalReason::Overloaded, retryAfter };
    if (state.service.contains(call.root))
        return std::nullopt;
    bool full = !state.admission.admitsProgram(state.service.size());
    if (full || (state.admission.programLimit() && state.backoff.isEarly(call.root, now)))
        return RefuseAction { call.id, RefusalReason::Overloaded, state.backoff.refused(call.root, retryAfter, now) };
    return std::nullopt;
}

void SchedulerState::submit(const ModelCall& call, TimePoint now)
{
    ModelState& state = stateOf(call.model);
    if (auto refusal = refusalOf(call, state, now)) {
        m_actions.emplace_back(*refusal);
        return;
    }
    auto [it, isNew] = m_calls.try_emplace(call.id, call, now);
    if (!isNew)
        return;
    state.service.add(call.root, 0, now);
    state.backoff.forget(call.root);
    m_retention.pauseEnded(call.program, now);
    m_costWeights[call.program] = { call.latencyWeight, call.cacheWeight };
    enqueue(it->second, state);
    dispatchWaiting(call.model, now);
}

void SchedulerState::enqueue(CallRecord& record, ModelState& state)
{
    const ModelCall& call = record.call;
    if (m_quarantine.statusOf(call.content) == Quarantine::Status::Suspect) {
        state.suspects.push(call.id, m_quarantine.rank(call.content));
        return;
    }
    TokenCount cached = 0;
    for (const CacheEntry& entry : m_caches.entriesOf(call.program))
        cached = std::max(cached, std::min(call.promptTokens, entry.tokens));
    double work = static_cast<double>(call.promptTokens - cached) + workPerOutputToken * state.meanOutput.value();
    FairShares::QueuePosition position = state.shares.addCall(call.owner, work);
    record.level = state.service.levelOf(call.root) + position.penalty;
    record.startTag = position.startTag;
    state.queue.push({ call.id, cached > 0, record.level, record.startTag, record.submittedAt, call.deadline });
}

void SchedulerState::removeWaiting(CallRecord& record, ModelState& state)
{
    CallId id = record.call.id;
    endCacheWait(record);
    if (!state.queue.erase(id))
        state.suspects.erase(id);
    m_calls.erase(id);
}

void SchedulerState::refuse(CallRecord& record, ModelState& state, RefusalReason reason, TimePoint now)
{
    std::optional<Milliseconds> retryAfter;
    if (reason != RefusalReason::Quarantined)
        retryAfter = state.admission.retryAfter();
    state.admission.recordWait(std::chrono::duration_cast<Milliseconds>(now - record.submittedAt));
    m_actions.emplace_back(RefuseAction { record.call.id, reason, retryAfter });
    removeWaiting(record, state);
}

void SchedulerState::cancelWaiting(CallId id, TimePoint now)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.replica)
        return;
    std::string model = it->second.call.model;
    removeWaiting(it->second, stateOf(model));
    dispatchWaiting(model, now);
}

RouteRequest SchedulerState::routeRequest(const CallRecord& record, bool mayWait) const
{
    const ModelCall& call = record.call;
    return { call.program, call.model, call.promptTokens, call.cacheWeight, mayWait };
}

bool SchedulerState::isWaitingForCache(const CallRecord& record, TimePoint now) const
{
    return record.awaitedReplica && now < record.cacheWaitEndsAt && m_replicas.contains(*record.awaitedReplica) && !m_replicas.at(*record.awaitedReplica).accepts() && !m_replicas.at(*record.awaitedReplica).leaving;
}

void SchedulerState::waitForCache(CallRecord& record, const Route& route, TimePoint now)
{
    endCacheWait(record);
    record.awaitedReplica = route.replica;
    // Only the first attempt sets the end of the wait; later attempts must not extend it.
    if (record.cacheWaitEndsAt == TimePoint())
        record.cacheWaitEndsAt = now + route.maxWait;
    m_replicas.update(route.replica, [](Replica& replica) { ++replica.cacheWaiters; });
}

void SchedulerState::endCacheWait(CallRecord& record)
{
    if (record.awaitedReplica && m_replicas.contains(*record.awaitedReplica))
        m_replicas.update(*record.awaitedReplica, [](Replica& replica) { --replica.cacheWaiters; });
    record.awaitedReplica.reset();
}

Visit SchedulerState::tryDispatch(CallRecord& record, ModelState& state, TimePoint now)
{
    const ModelCall& call = record.call;
    if (m_quarantine.statusOf(call.content) == Quarantine::Status::Suspect) {
        endCacheWait(record);
        state.suspects.push(call.id, m_quarantine.rank(call.content));
        return Visit::Take;
    }
    bool aged = state.queue.isAged(call.id, now);
    if (!aged && isWaitingForCache(record, now))
        return Visit::Skip;
    if (!m_quotas.admits(call.environment, call.owner) || !m_quarantine.mayDispatch(call.content))
        return Visit::Skip;
    bool mayWait = !aged && (record.cacheWaitEndsAt == TimePoint() || now < record.cacheWaitEndsAt);
    RouteRequest request = routeRequest(record, mayWait);
    std::chrono::duration<double> evictionDelay(evictionWaitFactor * m_caches.meanTokens() / m_settings.prefillTokensPerSecond);
    request.mayEvict = aged || now - record.submittedAt >= evictionDelay;
    Route route = m_router.route(request);
    switch (route.kind) {
    case Route::Kind::Dispatch:
        dispatch(record, state, route.replica, now);
        return Visit::Take;
    case Route::Kind::WaitForCache:
        waitForCache(record, route, now);
        return Visit::Skip;
    case Route::Kind::NoMemory:
        return Visit::Skip;
    case Route::Kind::NoOpenReplica:
        return Visit::Stop;
    }
    return Visit::Stop;
}

void SchedulerState::dispatch(CallRecord& record, ModelState& state, ReplicaIndex index, TimePoint now)
{
    endCacheWait(record);
    const ModelCall& call = record.call;
    const Replica& replica = m_replicas.at(index);
    record.replica = index;
    record.target = replica.id;
    record.dispatchedAt = now;
    record.uncached = m_router.uncachedTokens(routeRequest(record, false), index);
    m_replicas.update(index, [&](Replica& changed) { changed.load.ownStarted(now); });
    ++m_running;
    m_quotas.started(call.environment, call.owner);
    if (call.content != unknownContent)
        m_quarantine.dispatched(call.content);
    state.shares.dispatched(record.startTag);
    m_caches.put(call.program, index, call.promptTokens, now + m_settings.maxCacheIdle);
    m_actions.emplace_back(DispatchAction { call.id, record.target, static_cast<std::int32_t>(record.level), record.alone });
}

void SchedulerState::dispatchWaiting(const std::string& model, TimePoint now)
{
    ModelState& state = stateOf(model);
    dispatchSuspects(state, model, now);
    if (!state.queue.empty() && !m_replicas.open(model).empty())
        state.queue.visit(now, scanLimit, [&](CallId id) { return tryDispatch(m_calls.at(id), state, now); });
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
    ModelState& state = stateOf(call.model);
    m_quotas.ended(call.environment, call.owner);
    bool present = m_replicas.contains(*record.replica);
    if (present) {
        double seconds = std::chrono::duration<double>(now - record.dispatchedAt).count();
        m_replicas.update(*record.replica, [&](Replica& replica) {
            replica.load.ownEnded(now);
            replica.meanSeconds += (seconds - replica.meanSeconds) * 0.05;
        });
    }
    if (record.alone)
        state.suspects.suspectEnded(*record.replica);
    state.service.add(call.root, static_cast<double>(record.uncached) + workPerOutputToken * static_cast<double>(outputTokens), now);
    updateEjection(record, end, now);
    updateQuarantine(record, end, now);
    if (present && end == CallEnd::Finished) {
        state.meanOutput.add(static_cast<double>(outputTokens));
        m_caches.put(call.program, *record.replica, call.promptTokens + outputTokens, now + m_settings.maxCacheIdle);
        m_retention.pauseStarted(call.program, {}, now);
    }
    dispatchWaiting(call.model, now);
}

void SchedulerState::firstToken(CallId id, TimePoint now)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end() || !it->second.replica)
        return;
    const CallRecord& record = it->second;
    // Prefill time of the call's own prompt is not counted as wait.
    std::chrono::duration<double> prefill(static_cast<double>(record.uncached) / m_settings.prefillTokensPerSecond);
    auto wait = std::chrono::duration_cast<Milliseconds>(now - record.submittedAt - prefill);
    stateOf(record.call.model).admission.recordWait(std::max(wait, Milliseconds(0)));
}

void SchedulerState::loadReported(const LoadReport& report, TimePoint now)
{
    auto index = m_replicas.find(report.target);
    if (!index)
        return;
    m_replicas.update(*index, [&](Replica& replica) {
        replica.limit.reported(report.running, report.waiting);
        replica.cacheCapacity.reported(report.cacheUse, m_caches.tokensAt(*index));
        replica.load.reported(report.running + report.waiting, report.measuredAt);
        replica.cacheUse = report.cacheUse;
    });
    dispatchWaiting(m_replicas.at(*index).model, now);
}

void SchedulerState::cacheEvicted(const TargetId& target, const ProgramId& program)
{
    if (auto replica = m_replicas.find(target))
        m_caches.erase(program, *replica);
}

void SchedulerState::cacheEventsMissed(const TargetId& target)
{
    if (auto replica = m_replicas.find(target))
        m_caches.markUncertain(*replica);
}

void SchedulerState::refuseExpired(ModelState& state, TimePoint now)
{
    for (CallId id : state.queue.takeExpired(now + minTimeToFirstToken))
        refuse(m_calls.at(id), state, RefusalReason::DeadlineUnreachable, now);
    for (CallId id : state.suspects.waiting()) {
        CallRecord& record = m_calls.at(id);
        if (record.call.deadline && *record.call.deadline <= now + minTimeToFirstToken)
            refuse(record, state, RefusalReason::DeadlineUnreachable, now);
    }
}

void SchedulerState::refuseWithoutReplica(ModelState& state, const std::string& model, TimePoint now)
{
    if (state.waiting() == 0 || m_replicas.stayingCount(model) > 0)
        return;
    // Calls wait during a short time without replicas, and are refused after the aging bound.
    std::vector<CallId> unservable;
    for (const auto& [id, record] : m_calls) {
        if (!record.replica && record.call.model == model && now - record.submittedAt >= m_settings.agingBound)
            unservable.push_back(id);
    }
    for (CallId id : unservable)
        refuse(m_calls.at(id), state, RefusalReason::NoReplica, now);
}

void SchedulerState::tick(TimePoint now)
{
    for (const TargetId& target : m_ejection.endExpiredEjections(now)) {
        if (auto replica = m_replicas.find(target))
            m_replicas.update(*replica, [](Replica& changed) { changed.ejected = false; });
    }
    for (auto& [model, state] : m_models) {
        refuseExpired(state, now);
        refuseWithoutReplica(state, model, now);
        auto oldest = state.queue.oldestArrival();
        Milliseconds oldestWait = oldest ? std::chrono::duration_cast<Milliseconds>(now - *oldest) : Milliseconds(0);
        state.admission.tick(state.service.size(), oldestWait, now);
        if (now >= m_sweepAt) {
            state.service.sweep(now, maxRootIdle);
            state.backoff.sweep(now);
        }
        dispatchWaiting(model, now);
    }
    for (const OwnedCache& cache : m_caches.takeExpired(now)) {
        release(cache.program, cache.entry);
        if (m_caches.entriesOf(cache.program).empty())
            m_costWeights.erase(cache.program);
    }
    if (now < m_sweepAt)
        return;
    m_quarantine.sweep(now);
    m_retention.sweep(now);
    m_replicas.expireReports(now, maxReportAge);
    m_sweepAt = now + sweepInterval;
}

} // namespace basilpoint
