#include "basilpoint/Shard/ShardOwner.h"

#include <algorithm>
#include <utility>

namespace basilpoint {

static constexpr unsigned failuresPerReport = 3;

ShardOwner::ShardOwner(ShardId shard, InstanceId self, ShardOwnerSettings settings)
    : m_shard(shard)
    , m_self(std::move(self))
    , m_settings(settings)
{
}

ShardActions ShardOwner::append(std::uint64_t ticket, std::vector<std::string> entries, TimePoint now)
{
    if (m_state != State::Owning && m_state != State::Degraded) {
        m_actions.emplace_back(LostShardAction { ShardLossReason::Superseded });
        return finish(now);
    }
    m_queue.push(ticket, std::move(entries), now);
    sendAppends(now);
    reportAcknowledged(now);
    return finish(now);
}

ShardActions ShardOwner::release(TimePoint now)
{
    if (m_state == State::TakingOver) {
        endOwnership(ShardLossReason::Released);
        return finish(now);
    }
    m_isReleasing = m_state != State::Idle;
    reportAcknowledged(now);
    return finish(now);
}

void ShardOwner::rememberRecord(const ShardRecord& record)
{
    if (m_state != State::Idle || (m_isRecordKnown && record.epoch < m_record.epoch))
        return;
    m_record = record;
    m_isRecordKnown = true;
    m_highest = std::max(m_highest, record.epoch);
}

ShardActions ShardOwner::recordRead(const std::optional<ShardRecord>& record, std::int64_t revision, RandomEngine& random, TimePoint now)
{
    onOutcome(m_access.recordRead(record, revision, m_actions), { now, random });
    return finish(now);
}

ShardActions ShardOwner::recordWritten(bool succeeded, std::int64_t revision, RandomEngine& random, TimePoint now)
{
    onOutcome(m_access.recordWritten(succeeded, revision, m_actions), { now, random });
    return finish(now);
}

ShardActions ShardOwner::serviceFailed(RandomEngine& random, TimePoint now)
{
    onOutcome(m_access.serviceFailed(m_actions), { now, random });
    return finish(now);
}

void ShardOwner::onOutcome(RecordAccess::Outcome outcome, Event event)
{
    switch (outcome) {
    case RecordAccess::Outcome::None:
        return;
    case RecordAccess::Outcome::Read:
        return onRecordRead(event);
    case RecordAccess::Outcome::Written:
        return onRecordWritten(event);
    case RecordAccess::Outcome::Conflict:
        return onRecordConflict(event);
    case RecordAccess::Outcome::Unavailable:
        return onServiceUnavailable(event);
    }
}

std::optional<HolderId> ShardOwner::holderOfRequest(std::uint64_t requestId) const
{
    auto it = std::find_if(m_links.begin(), m_links.end(), [&](const auto& link) { return link.second.deadline && link.second.requestId == requestId; });
    if (it == m_links.end())
        return {};
    return it->first;
}

ShardActions ShardOwner::holderAnswered(std::uint64_t requestId, const HolderReply& reply, RandomEngine& random, TimePoint now)
{
    if (auto holder = holderOfRequest(requestId)) {
        Link& link = m_links[*holder];
        link.deadline.reset();
        if (reply.accepted)
            link.failures = 0;
        onAnswer(*holder, reply, { now, random });
    }
    return finish(now);
}

ShardActions ShardOwner::holderFailed(std::uint64_t requestId, RandomEngine& random, TimePoint now)
{
    if (auto holder = holderOfRequest(requestId))
        onFailure(*holder, { now, random });
    return finish(now);
}

ShardActions ShardOwner::tick(RandomEngine& random, TimePoint now)
{
    Event event { now, random };
    if (m_wakeAt && *m_wakeAt <= now)
        m_wakeAt.reset();
    expireRequests(event);
    retryStep(event);
    sendAppends(now);
    reportAcknowledged(now);
    auto since = m_queue.waitingSince();
    if (m_state != State::Idle && since && now - *since >= m_settings.appendTimeout)
        endOwnership(ShardLossReason::HoldersUnreachable);
    return finish(now);
}

void ShardOwner::expireRequests(Event event)
{
    std::vector<HolderId> expired;
    for (const auto& [holder, link] : m_links) {
        if (link.deadline && *link.deadline <= event.now)
            expired.push_back(holder);
    }
    for (const HolderId& holder : expired) {
        // Handling one failure can cancel the other requests.
        const Link& link = m_links[holder];
        if (link.deadline && *link.deadline <= event.now)
            onFailure(holder, event);
    }
}

void ShardOwner::retryStep(Event event)
{
    if (!m_retryAt || *m_retryAt > event.now)
        return;
    m_retryAt.reset();
    if (m_phase == Phase::Waiting)
        beginAttempt();
    else if (m_isUnregistered && m_access.isIdle())
        m_access.read(m_actions);
    else
        m_access.retry(m_actions);
}

void ShardOwner::send(const HolderId& holder, HolderRequest request, TimePoint now)
{
    Link& link = m_links[holder];
    link.requestId = ++m_lastRequestId;
    link.deadline = now + m_settings.holderTimeout;
    m_actions.emplace_back(SendToHolderAction { holder, link.requestId, std::move(request) });
}

bool ShardOwner::isAnyOutstanding() const
{
    return std::any_of(m_links.begin(), m_links.end(), [](const auto& it) { return it.second.deadline.has_value(); });
}

void ShardOwner::cancelRequests()
{
    for (auto& [holder, link] : m_links)
        link.deadline.reset();
}

void ShardOwner::onAnswer(const HolderId& holder, const HolderReply& reply, Event event)
{
    if (!reply.accepted && reply.highest > m_tag)
        return onSuperseded(reply.highest, event);
    switch (m_phase) {
    case Phase::Sealing:
        return onSealed(holder, reply, event);
    case Phase::ReadingLog:
    case Phase::ReadingSource:
        return onLogRead(holder, reply, event);
    case Phase::SyncingHolders:
    case Phase::SyncingNew:
    case Phase::SyncingSources:
    case Phase::Compacting:
        return reply.accepted ? onSynced(holder, event) : onSyncFailed(holder, event);
    case Phase::AddingPair:
        return reply.accepted ? onPairAdded(event) : failChange(event);
    case Phase::Serving:
    case Phase::SwappingHolders:
        return onAppended(holder, reply, event);
    case Phase::Idle:
    case Phase::Waiting:
    case Phase::ReadingRecord:
    case Phase::ClaimingEpoch:
        return;
    }
}

void ShardOwner::onFailure(const HolderId& holder, Event event)
{
    Link& link = m_links[holder];
    link.deadline.reset();
    link.retryAt = event.now + m_settings.retryDelay;
    ++link.failures;
    if (link.failures % failuresPerReport == 0)
        m_actions.emplace_back(HolderUnreachableAction { holder });
    switch (m_phase) {
    case Phase::Sealing:
        if (m_isUnregistered)
            return failAttempt(event);
        return isAnyOutstanding() ? void() : finishSealing(event);
    case Phase::ReadingLog:
        return failAttempt(event);
    case Phase::SyncingHolders:
    case Phase::SyncingNew:
    case Phase::SyncingSources:
    case Phase::Compacting:
        return onSyncFailed(holder, event);
    case Phase::AddingPair:
    case Phase::ReadingSource:
        return failChange(event);
    case Phase::Serving:
    case Phase::SwappingHolders:
    case Phase::Idle:
    case Phase::Waiting:
    case Phase::ReadingRecord:
    case Phase::ClaimingEpoch:
        return;
    }
}

void ShardOwner::onSuperseded(const OwnerTag& by, Event event)
{
    m_highest = std::max(m_highest, by.epoch);
    m_isClaimed = false;
    if (m_state == State::TakingOver)
        return failAttempt(event);
    endOwnership(ShardLossReason::Superseded);
}

bool ShardOwner::canAppend() const
{
    if (m_phase == Phase::SwappingHolders)
        return m_change->isServing;
    return m_phase == Phase::Serving;
}

void ShardOwner::sendAppends(TimePoint now)
{
    if (!canAppend())
        return;
    for (const HolderId& holder : m_requiredHolders) {
        const Link& link = m_links[holder];
        if (link.deadline || (link.failures > 0 && now < link.retryAt))
            continue;
        if (auto request = m_queue.next(holder, m_logVersion, m_settings.chunkBytes))
            send(holder, std::move(*request), now);
    }
}

void ShardOwner::onAppended(const HolderId& holder, const HolderReply& reply, Event event)
{
    // A holder that lost acknowledged entries or has a log of another version is treated as failed.
    bool fits = reply.accepted && reply.version == m_logVersion && m_queue.recordProgress(holder, reply.length);
    if (!fits)
        return onFailure(holder, event);
    sendAppends(event.now);
    reportAcknowledged(event.now);
}

void ShardOwner::reportAcknowledged(TimePoint now)
{
    if (!canAppend())
        return;
    for (std::uint64_t ticket : m_queue.takeAcknowledged())
        m_actions.emplace_back(AcknowledgedAction { ticket, m_state == State::Owning });
    if (m_isReleasing && !m_queue.waitingSince())
        return endOwnership(ShardLossReason::Released);
    sendAppends(now);
}

void ShardOwner::endOwnership(ShardLossReason reason)
{
    m_state = State::Idle;
    m_phase = Phase::Idle;
    m_isClaimed = false;
    m_isUnregistered = false;
    m_isReleasing = false;
    m_access.abandon();
    cancelRequests();
    m_queue.reset(0, {});
    m_log.clear();
    m_change.reset();
    m_compactedEnd.reset();
    m_retryAt.reset();
    m_actions.emplace_back(LostShardAction { reason });
}

ShardActions ShardOwner::finish(TimePoint now)
{
    scheduleWake(now);
    return std::exchange(m_actions, {});
}

void ShardOwner::scheduleWake(TimePoint now)
{
    std::optional<TimePoint> earliest = m_retryAt;
    auto consider = [&](TimePoint time) { earliest = earliest ? std::min(*earliest, time) : time; };
    for (const auto& [holder, link] : m_links) {
        if (link.deadline)
            consider(*link.deadline);
        else if (canAppend() && link.retryAt > now)
            consider(link.retryAt);
    }
    if (auto since = m_queue.waitingSince())
        consider(*since + m_settings.appendTimeout);
    // A wake-up that is already scheduled before this time computes the next one when it runs.
    if (!earliest || (m_wakeAt && *m_wakeAt <= *earliest))
        return;
    m_wakeAt = earliest;
    m_actions.emplace_back(WakeAtAction { *earliest });
}

} // namespace basilpoint
