// The part of the scheduler that ejects failing targets and isolates or quarantines requests that crash replicas.

#include "SchedulerState.h"

#include <algorithm>

namespace basilpoint {

void SchedulerState::dispatchSuspects(ModelState& state, const std::string& model, TimePoint now)
{
    std::size_t blocked = 0;
    for (CallId id : state.suspects.waiting())
        blocked += tryDispatchSuspect(m_calls.at(id), state, now) ? 0 : 1;
    state.suspects.isolateReplicas(m_replicas, model, blocked);
}

bool SchedulerState::tryDispatchSuspect(CallRecord& record, ModelState& state, TimePoint now)
{
    const ModelCall& call = record.call;
    if (m_quarantine.statusOf(call.content) == Quarantine::Status::Clear) {
        state.suspects.erase(call.id);
        enqueue(record, state);
        return true;
    }
    if (!m_quarantine.mayDispatch(call.content) || !m_quotas.admits(call.environment, call.owner))
        return false;
    auto replica = state.suspects.idleReplica(m_replicas);
    if (!replica)
        return false;
    state.suspects.erase(call.id);
    state.suspects.suspectStarted(*replica);
    record.alone = true;
    dispatch(record, state, *replica, now);
    return true;
}

void SchedulerState::updateEjection(const CallRecord& record, CallEnd end, TimePoint now)
{
    if (!m_replicas.contains(*record.replica))
        return;
    switch (end) {
    case CallEnd::Finished:
        m_ejection.succeeded(record.target);
        return;
    case CallEnd::Cancelled:
        return;
    case CallEnd::Failed:
    case CallEnd::TargetCrashed:
        break;
    }
    const auto& members = m_replicas.members(record.call.model);
    auto ejected = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](ReplicaIndex index) { return m_replicas.at(index).ejected; }));
    if (m_ejection.failed(record.target, ejected, m_replicas.stayingCount(record.call.model), now))
        m_replicas.update(*record.replica, [](Replica& replica) { replica.ejected = true; });
}

void SchedulerState::updateQuarantine(const CallRecord& record, CallEnd end, TimePoint now)
{
    const Digest& content = record.call.content;
    if (content == Digest())
        return;
    if (end != CallEnd::TargetCrashed) {
        m_quarantine.ended(content, end == CallEnd::Finished, now);
        return;
    }
    switch (m_quarantine.crashed(content, *record.replica, record.dispatchedAt, now)) {
    case Quarantine::Status::Clear:
        return;
    case Quarantine::Status::Suspect:
        m_actions.emplace_back(SuspectAction { content });
        return;
    case Quarantine::Status::Quarantined:
        m_actions.emplace_back(QuarantineAction { content });
        refuseQuarantined(content, now);
        return;
    }
}

void SchedulerState::refuseQuarantined(const Digest& content, TimePoint now)
{
    std::vector<CallId> waiting;
    for (const auto& [id, record] : m_calls) {
        if (!record.replica && record.call.content == content)
            waiting.push_back(id);
    }
    for (CallId id : waiting) {
        CallRecord& record = m_calls.at(id);
        refuse(record, stateOf(record.call.model), RefusalReason::Quarantined, now);
    }
}

void SchedulerState::suspected(const Digest& content, TimePoint now)
{
    m_quarantine.suspect(content, std::nullopt, now);
}

void SchedulerState::quarantined(const Digest& content, TimePoint now)
{
    m_quarantine.quarantine(content, now);
    refuseQuarantined(content, now);
}

} // namespace basilpoint
