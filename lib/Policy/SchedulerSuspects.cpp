// Suspects and quarantine: the part of the scheduler that keeps a request from killing replica after replica.

#include "SchedulerState.h"

#include <algorithm>

namespace basilpoint {

void SchedulerState::serveSuspects(ModelLane& lane, const std::string& model, TimePoint now)
{
    std::size_t left = 0;
    for (CallId id : lane.suspects.waiting())
        left += serveSuspect(m_calls.at(id), lane, now) ? 0 : 1;
    lane.suspects.reserve(m_replicas, model, left);
}

bool SchedulerState::serveSuspect(CallRecord& record, ModelLane& lane, TimePoint now)
{
    const ModelCall& call = record.call;
    if (m_quarantine.verdict(call.content) == Quarantine::Verdict::Clear) {
        lane.suspects.erase(call.id);
        enqueue(record, lane);
        return true;
    }
    if (!m_quarantine.mayDispatch(call.content) || !m_limits.admits(call.environment, call.owner))
        return false;
    auto replica = lane.suspects.emptyReplica(m_replicas);
    if (!replica)
        return false;
    lane.suspects.erase(call.id);
    lane.suspects.suspectStarted(*replica);
    record.alone = true;
    dispatch(record, lane, *replica, now);
    return true;
}

void SchedulerState::settleEjection(const CallRecord& record, CallEnd end, TimePoint now)
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
    if (m_ejection.failed(record.target, ejected, m_replicas.staying(record.call.model), now))
        m_replicas.update(*record.replica, [](Replica& replica) { replica.ejected = true; });
}

void SchedulerState::settleQuarantine(const CallRecord& record, CallEnd end, TimePoint now)
{
    const Digest& content = record.call.content;
    if (content == Digest())
        return;
    if (end != CallEnd::TargetCrashed) {
        m_quarantine.ended(content, end == CallEnd::Finished, now);
        return;
    }
    switch (m_quarantine.died(content, *record.replica, record.dispatchedAt, now)) {
    case Quarantine::Verdict::Clear:
        return;
    case Quarantine::Verdict::Suspect:
        m_actions.emplace_back(SuspectAction { content });
        return;
    case Quarantine::Verdict::Quarantined:
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
        refuse(record, lane(record.call.model), RefusalReason::Quarantined, now);
    }
}

void SchedulerState::suspected(const Digest& content, TimePoint now)
{
    m_quarantine.suspect(content, now);
}

void SchedulerState::quarantined(const Digest& content, TimePoint now)
{
    m_quarantine.quarantine(content, now);
    refuseQuarantined(content, now);
}

} // namespace basilpoint
