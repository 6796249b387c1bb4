#include "basilpoint/Shard/ShardOwner.h"

#include <algorithm>

namespace basilpoint {

static constexpr unsigned maxSyncAttempts = 3;

ShardActions ShardOwner::compact(std::vector<std::string> entries, TimePoint now)
{
    if (m_phase != Phase::Serving)
        return finish(now);
    cancelRequests();
    m_log = std::move(entries);
    m_compactedEnd = m_queue.end();
    std::map<HolderId, std::uint64_t> keep;
    for (const HolderId& holder : m_requiredHolders)
        keep[holder] = 0;
    startSync(Phase::Compacting, keep, now);
    return finish(now);
}

void ShardOwner::finishCompaction(TimePoint now)
{
    m_logVersion = m_syncVersion;
    m_queue.rebase(*m_compactedEnd, m_log.size(), m_requiredHolders);
    m_compactedEnd.reset();
    m_log.clear();
    m_phase = Phase::Serving;
    reportAcknowledged(now);
}

void ShardOwner::startSync(Phase phase, const std::map<HolderId, std::uint64_t>& keep, TimePoint now)
{
    m_phase = phase;
    // The new holder and the sources get the same version, since an append carries one version for all holders.
    if (phase != Phase::SyncingSources)
        m_syncVersion = { m_tag, m_nextSyncNumber++ };
    m_cursors.clear();
    for (const auto& [holder, length] : keep) {
        m_cursors[holder] = { length, length };
        sendSyncChunk(holder, now);
    }
}

void ShardOwner::sendSyncChunk(const HolderId& holder, TimePoint now)
{
    SyncCursor& cursor = m_cursors[holder];
    SyncRequest request { m_tag, m_syncVersion, cursor.keep, cursor.next, {}, {}, false, true };
    if (m_change)
        request.pairs = { m_change->target };
    else if (!m_isUnregistered) {
        // No earlier change of holders can still reach the record, so that the record's pair replaces the stored
        // ones: each further pair would make take-overs without the service depend on more holders.
        request.pairs = { m_holders };
        // After a loss the earlier pairs are kept: they make a candidate that knows only a record from before the
        // loss seal the lost holders, which fails, so that it cannot take over without knowing of the loss.
        request.replacesPairs = m_record.lostThrough == Epoch();
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
    if (++cursor.failures < maxSyncAttempts) {
        // A restart of the holder dropped the staged chunks: send all of them again.
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
        return isComplete ? finishCompaction(event.now) : endOwnership(ShardLossReason::HoldersUnreachable);
    case Phase::Idle:
    case Phase::Waiting:
    case Phase::ReadingRecord:
    case Phase::ClaimingEpoch:
    case Phase::Sealing:
    case Phase::ReadingLog:
    case Phase::Serving:
    case Phase::AddingPair:
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
