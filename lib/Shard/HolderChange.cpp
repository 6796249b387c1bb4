#include "basilpoint/Shard/ShardOwner.h"

#include "HolderSets.h"

namespace basilpoint {

static constexpr unsigned syncTries = 3;

ShardActions ShardOwner::replaceHolder(const HolderId& lost, const HolderId& replacement, RandomEngine& random, TimePoint now)
{
    bool isPossible = m_phase == Phase::Serving && !m_isUnregistered && prepareChange(lost, replacement);
    if (isPossible) {
        forgetRequests();
        startChange({ now, random });
    }
    return finish(now);
}

bool ShardOwner::prepareChange(const HolderId& lost, const HolderId& added)
{
    bool isMember = lost.empty() ? m_holders.size() < holdersPerShard : contains(m_holders, lost);
    if (!isMember || added.empty() || contains(m_holders, added))
        return false;
    Change change { m_holders, added, m_holders };
    std::erase(change.target, lost);
    change.target.push_back(added);
    change.target = normalized(change.target);
    // A single holder that is replaced is itself the only source.
    if (m_holders.size() > 1)
        std::erase(change.sources, lost);
    m_change = std::move(change);
    return true;
}

void ShardOwner::startChange(Event event)
{
    // The mark comes before anything moves: whoever takes over without the service on the old
    // holders learns of the new one, whether or not the record's change takes effect.
    m_phase = Phase::MarkingChange;
    for (const HolderId& holder : m_change->sources)
        send(holder, MarkRequest { m_tag, m_change->target }, event.now);
}

void ShardOwner::onMarked(Event event)
{
    if (isAnyOutstanding())
        return;
    if (m_state == State::TakingOver)
        return copyToAdded(event);
    m_log.clear();
    readLog(m_change->sources.front(), event);
}

void ShardOwner::copyToAdded(Event event)
{
    startSync(Phase::SyncingNew, { { m_change->added, 0 } }, event.now);
}

void ShardOwner::syncSources(Event event)
{
    std::map<HolderId, std::uint64_t> keep;
    for (const HolderId& holder : m_change->sources)
        keep[holder] = holder == m_source ? m_log.size() : 0;
    startSync(Phase::SyncingSources, keep, event.now);
}

void ShardOwner::swapHolders(Event event)
{
    m_phase = Phase::SwappingHolders;
    ShardRecord record = m_record;
    record.holders = m_change->target;
    m_access.write(m_revision, stamped(std::move(record), event.random), m_actions);
}

void ShardOwner::failChange(Event event)
{
    if (m_state == State::TakingOver)
        return failAttempt(event);
    // Once the new holder may be synchronized, its log ranks above the old ones: going on with those
    // would leave later entries out of what a take-over without the service prefers.
    if (m_phase != Phase::MarkingChange && m_phase != Phase::ReadingSource)
        return lose(ShardLossReason::HoldersUnreachable);
    forgetRequests();
    m_change.reset();
    m_log.clear();
    m_phase = Phase::Serving;
    settle(event.now);
}

void ShardOwner::useHolders(const HolderSet& counting, Event event)
{
    m_counting = counting;
    m_change->isServing = true;
    if (m_state == State::TakingOver)
        return serve(event);
    m_position = m_syncPosition;
    m_queue.resume(m_log.size(), m_counting);
    m_log.clear();
}

void ShardOwner::serveWhileSwapping(Event event)
{
    if (m_change->isServing)
        return;
    HolderSet counting = m_change->sources;
    counting.push_back(m_change->added);
    useHolders(normalized(counting), event);
    // If the write does not take effect, the old holders count alone: all of them must have an entry.
    bool hasAllOld = std::all_of(m_holders.begin(), m_holders.end(), [&](const HolderId& it) { return contains(m_counting, it); });
    m_state = hasAllOld ? State::Owning : State::Degraded;
    m_phase = Phase::SwappingHolders;
}

void ShardOwner::finishChange(Event event)
{
    if (!m_change->isServing)
        useHolders(m_holders, event);
    m_counting = m_holders;
    m_queue.retain(m_counting);
    m_change.reset();
    m_state = State::Owning;
    m_phase = Phase::Serving;
    settle(event.now);
}

ShardActions ShardOwner::compact(std::vector<std::string> entries, TimePoint now)
{
    if (m_phase != Phase::Serving)
        return finish(now);
    forgetRequests();
    m_log = std::move(entries);
    m_compactedEnd = m_queue.end();
    std::map<HolderId, std::uint64_t> keep;
    for (const HolderId& holder : m_counting)
        keep[holder] = 0;
    startSync(Phase::Compacting, keep, now);
    return finish(now);
}

void ShardOwner::finishCompaction(TimePoint now)
{
    m_position = m_syncPosition;
    m_queue.rebase(*m_compactedEnd, m_log.size(), m_counting);
    m_compactedEnd.reset();
    m_log.clear();
    m_phase = Phase::Serving;
    settle(now);
}

void ShardOwner::startSync(Phase phase, const std::map<HolderId, std::uint64_t>& keep, TimePoint now)
{
    m_phase = phase;
    // The new holder and the sources end at one position, as appends name it.
    if (phase != Phase::SyncingSources)
        m_syncPosition = { m_tag, m_lastStep++ };
    m_cursors.clear();
    for (const auto& [holder, length] : keep) {
        m_cursors[holder] = { length, length };
        sendSyncChunk(holder, now);
    }
}

void ShardOwner::sendSyncChunk(const HolderId& holder, TimePoint now)
{
    SyncCursor& cursor = m_cursors[holder];
    SyncRequest request { m_tag, m_syncPosition, cursor.keep, cursor.next, {}, {}, false, true };
    if (m_change)
        request.pairs = { m_change->target };
    else if (!m_isUnregistered) {
        // No other change of holders can reach the record any more: earlier pairs, pending ones
        // included, would only make take-overs without the service ask for more holders.
        request.pairs = { m_holders };
        request.replacesPairs = true;
    }
    std::size_t bytes = 0;
    for (std::uint64_t n = cursor.next; n < m_log.size() && bytes < m_settings.chunkBytes; ++n) {
        request.entries.push_back(m_log[n]);
        bytes += m_log[n].size();
    }
    cursor.sent = cursor.next + request.entries.size();
    request.last = cursor.sent == m_log.size();
    send(holder, std::move(request), now);
}

void ShardOwner::onSynced(const HolderId& holder, Event event)
{
    SyncCursor& cursor = m_cursors[holder];
    cursor.next = cursor.sent;
    if (cursor.next < m_log.size())
        return sendSyncChunk(holder, event.now);
    if (!isAnyOutstanding())
        finishSync(event);
}

void ShardOwner::onSyncFailed(const HolderId& holder, Event event)
{
    SyncCursor& cursor = m_cursors[holder];
    if (++cursor.failures < syncTries) {
        // A restarted holder has forgotten the chunks so far.
        cursor.next = cursor.keep;
        return sendSyncChunk(holder, event.now);
    }
    cursor.isLost = true;
    if (!isAnyOutstanding())
        finishSync(event);
}

void ShardOwner::finishSync(Event event)
{
    bool isComplete = std::none_of(m_cursors.begin(), m_cursors.end(), [](const auto& it) { return it.second.isLost; });
    switch (m_phase) {
    case Phase::SyncingHolders:
        return isComplete ? serve(event) : dropLostHolders(event);
    case Phase::SyncingNew:
        return isComplete ? syncSources(event) : failChange(event);
    case Phase::SyncingSources:
        return isComplete ? swapHolders(event) : failChange(event);
    case Phase::Compacting:
        return isComplete ? finishCompaction(event.now) : lose(ShardLossReason::HoldersUnreachable);
    case Phase::Idle:
    case Phase::Waiting:
    case Phase::ReadingRecord:
    case Phase::ClaimingEpoch:
    case Phase::Sealing:
    case Phase::ReadingLog:
    case Phase::Serving:
    case Phase::MarkingChange:
    case Phase::ReadingSource:
    case Phase::SwappingHolders:
        return;
    }
}

void ShardOwner::dropLostHolders(Event event)
{
    for (const auto& [holder, cursor] : m_cursors) {
        if (cursor.isLost)
            m_sealed.erase(holder);
    }
    replaceUnreachable(event);
}

} // namespace basilpoint
