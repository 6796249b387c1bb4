#include "basilpoint/Shard/ShardOwner.h"

#include "HolderSets.h"

#include <utility>

namespace basilpoint {

static constexpr unsigned writeIdDigits = 32;
static constexpr unsigned maxBackoffDoublings = 4;
/// Added to the epoch when all holders are lost. Owners without the service may have taken higher epochs, which
/// the new owner cannot see; the gap exceeds the number taken in one outage, so that lostThrough covers them all.
static constexpr std::uint64_t lossEpochGap = 1'000'000;

ShardActions ShardOwner::takeOver(const HolderSet& holders, RandomEngine&, TimePoint now)
{
    m_candidates = holders;
    if (m_state == State::Idle) {
        m_state = State::TakingOver;
        m_failedAttempts = 0;
        beginAttempt();
    }
    return finish(now);
}

void ShardOwner::beginAttempt()
{
    m_phase = Phase::ReadingRecord;
    m_access.read(m_actions);
}

void ShardOwner::failAttempt(Event event)
{
    // The abandoned write of the new holders may still take effect; only claiming a new epoch rules that out.
    if (m_phase == Phase::SwappingHolders)
        m_isClaimed = false;
    m_phase = Phase::Waiting;
    m_access.abandon();
    cancelRequests();
    m_change.reset();
    m_isUnregistered = false;
    unsigned doublings = std::min(m_failedAttempts++, maxBackoffDoublings);
    auto delay = m_settings.retryDelay * (1U << doublings);
    // Jitter keeps conflicting candidates from retrying at the same time.
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count() * 3 / 2);
    m_retryAt = event.now + Milliseconds(jitter(event.random));
}

void ShardOwner::onRecordRead(Event event)
{
    if (m_isUnregistered)
        return registerEpoch(event);
    bool isStillOurs = m_isClaimed && m_access.record() && m_access.record()->writeId == m_record.writeId;
    if (!isStillOurs || canRecordLoss(m_record))
        return claimEpoch(event);
    // The epoch claimed by an earlier attempt is still valid. The numbering of synchronizations continues, so that
    // no two different logs get the same version.
    seal(m_holders, event);
}

HolderSet ShardOwner::newHolders() const
{
    HolderSet holders;
    for (const HolderId& holder : m_candidates) {
        if (!m_lostHolders.contains(holder) && !contains(holders, holder) && holders.size() < holdersPerShard)
            holders.push_back(holder);
    }
    return normalized(std::move(holders));
}

ShardRecord ShardOwner::firstRecord() const
{
    ShardRecord record;
    record.epoch = m_highest.next();
    record.holders = newHolders();
    return record;
}

bool ShardOwner::canRecordLoss(const ShardRecord& record) const
{
    bool areAllLost = std::all_of(record.holders.begin(), record.holders.end(), [&](const HolderId& it) { return m_lostHolders.contains(it); });
    return areAllLost && !newHolders().empty();
}

ShardRecord ShardOwner::nextRecord() const
{
    ShardRecord record = *m_access.record();
    record.epoch = std::max(record.epoch, m_highest).next();
    if (!canRecordLoss(record))
        return record;
    record.lostThrough = Epoch(record.epoch.value() + lossEpochGap);
    record.epoch = record.lostThrough.next();
    record.holders = newHolders();
    return record;
}

ShardRecord ShardOwner::withWriteId(ShardRecord record, RandomEngine& random) const
{
    record.owner = m_self;
    record.writeId = randomHex(random, writeIdDigits);
    return record;
}

void ShardOwner::claimEpoch(Event event)
{
    if (!m_access.record() && newHolders().empty())
        return failAttempt(event);
    ShardRecord record = m_access.record() ? nextRecord() : firstRecord();
    m_highest = record.epoch;
    m_phase = Phase::ClaimingEpoch;
    std::int64_t revision = m_access.record() ? m_access.revision() : 0;
    m_access.write(revision, withWriteId(std::move(record), event.random), m_actions);
}

void ShardOwner::onRecordWritten(Event event)
{
    m_record = *m_access.record();
    m_revision = m_access.revision();
    m_isRecordKnown = true;
    m_holders = m_record.holders;
    if (m_phase == Phase::SwappingHolders)
        return finishChange(event);
    if (m_isUnregistered) {
        m_isUnregistered = false;
        m_requiredHolders = m_holders;
        m_queue.retain(m_requiredHolders);
        return reportAcknowledged(event.now);
    }
    m_tag = { m_record.epoch, m_self };
    m_isClaimed = true;
    m_nextSyncNumber = 0;
    seal(m_holders, event);
}

void ShardOwner::onRecordConflict(Event event)
{
    if (m_state == State::TakingOver)
        return failAttempt(event);
    endOwnership(ShardLossReason::Superseded);
}

void ShardOwner::onServiceUnavailable(Event event)
{
    if (m_phase == Phase::SwappingHolders)
        serveWhileSwapping(event);
    if (m_state != State::TakingOver) {
        m_retryAt = event.now + m_settings.retryDelay;
        sendAppends(event.now);
        return reportAcknowledged(event.now);
    }
    if (m_settings.allowWithoutService && m_isRecordKnown)
        return beginWithoutService(event);
    failAttempt(event);
}

void ShardOwner::beginWithoutService(Event event)
{
    m_access.abandon();
    m_highest = std::max(m_highest, m_record.epoch).next();
    m_tag = { m_highest, m_self };
    m_isClaimed = false;
    m_isUnregistered = true;
    m_nextSyncNumber = 0;
    m_holders = m_record.holders;
    seal(m_holders, event);
}

void ShardOwner::registerEpoch(Event event)
{
    const auto& current = m_access.record();
    bool isNewer = current && current->epoch < m_tag.epoch;
    // Once registered, only the holders in the record are required: all of them must have this owner's log.
    bool isCovered = current && std::all_of(current->holders.begin(), current->holders.end(), [&](const HolderId& it) { return contains(m_requiredHolders, it); });
    if (!isNewer || !isCovered)
        return endOwnership(ShardLossReason::Superseded);
    ShardRecord record = *current;
    record.epoch = m_tag.epoch;
    m_access.write(m_access.revision(), withWriteId(std::move(record), event.random), m_actions);
}

void ShardOwner::seal(const HolderSet& holders, Event event)
{
    m_phase = Phase::Sealing;
    m_sealed.clear();
    m_requiredHolders = holders;
    for (const HolderId& holder : holders) {
        if (!m_lostHolders.contains(holder))
            send(holder, SealRequest { m_tag }, event.now);
    }
    if (!isAnyOutstanding())
        failAttempt(event);
}

void ShardOwner::onSealed(const HolderId& holder, const HolderReply& reply, Event event)
{
    if (!reply.accepted)
        return failAttempt(event);
    // A log that was last synchronized in an epoch up to lostThrough belongs to the recorded loss.
    bool initialized = reply.initialized && reply.version.tag.epoch > m_record.lostThrough;
    m_sealed[holder] = { initialized, reply.version, reply.length };
    if (m_isUnregistered) {
        if (!initialized)
            return failAttempt(event);
        sealPairs(reply.pairs, event);
    }
    if (!isAnyOutstanding())
        finishSealing(event);
}

void ShardOwner::sealPairs(const std::set<HolderSet>& pairs, Event event)
{
    for (const HolderSet& pair : pairs) {
        for (const HolderId& holder : pair) {
            if (contains(m_requiredHolders, holder))
                continue;
            m_requiredHolders.push_back(holder);
            send(holder, SealRequest { m_tag }, event.now);
        }
    }
}

void ShardOwner::finishSealing(Event event)
{
    const std::pair<const HolderId, SealedLog>* best = nullptr;
    for (const auto& it : m_sealed) {
        if (!it.second.initialized)
            continue;
        if (!best || std::pair(best->second.version, best->second.length) < std::pair(it.second.version, it.second.length))
            best = &it;
    }
    m_log.clear();
    m_source = best ? best->first : HolderId();
    if (best && best->second.length > 0)
        return readLog(m_source, event);
    // Every owner synchronizes all holders of the record before it serves, so that a holder that was never
    // synchronized shows that the log is empty. All others that may have a log must still reply.
    bool isDecided = std::all_of(m_requiredHolders.begin(), m_requiredHolders.end(), [&](const HolderId& it) { return m_sealed.contains(it) || m_lostHolders.contains(it); });
    if (!best && (!isDecided || m_sealed.empty()))
        return failAttempt(event);
    syncHolders(event);
}

void ShardOwner::readLog(const HolderId& holder, Event event)
{
    m_phase = m_state == State::TakingOver ? Phase::ReadingLog : Phase::ReadingSource;
    m_source = holder;
    send(holder, ReadRequest { m_tag, m_log.size() }, event.now);
}

void ShardOwner::onLogRead(const HolderId& holder, const HolderReply& reply, Event event)
{
    bool isProgress = reply.accepted && (!reply.entries.empty() || m_log.size() == reply.length);
    if (!isProgress)
        return m_phase == Phase::ReadingLog ? failAttempt(event) : failChange(event);
    m_log.insert(m_log.end(), reply.entries.begin(), reply.entries.end());
    if (m_log.size() < reply.length)
        return readLog(holder, event);
    if (m_phase == Phase::ReadingLog)
        return syncHolders(event);
    // A source that lacks acknowledged entries, or has entries that this owner did not send, must not be copied.
    if (m_log.size() < m_queue.first() || m_log.size() > m_queue.end())
        return endOwnership(ShardLossReason::HoldersUnreachable);
    copyToAdded(event);
}

void ShardOwner::syncHolders(Event event)
{
    if (m_sealed.size() < m_requiredHolders.size())
        return replaceUnreachable(event);
    LogVersion best;
    for (const auto& [holder, log] : m_sealed)
        best = std::max(best, log.initialized ? log.version : LogVersion {});
    std::map<HolderId, std::uint64_t> keep;
    for (const auto& [holder, log] : m_sealed) {
        // Logs of the same version are prefixes of each other.
        bool isPrefix = log.initialized && log.version == best;
        keep[holder] = isPrefix ? std::min<std::uint64_t>(log.length, m_log.size()) : 0;
    }
    startSync(Phase::SyncingHolders, keep, event.now);
}

void ShardOwner::replaceUnreachable(Event event)
{
    auto replacement = std::find_if(m_candidates.begin(), m_candidates.end(), [&](const HolderId& it) { return !contains(m_holders, it) && !m_lostHolders.contains(it); });
    auto lost = std::find_if(m_holders.begin(), m_holders.end(), [&](const HolderId& it) { return !m_sealed.contains(it); });
    if (m_isUnregistered || replacement == m_candidates.end() || lost == m_holders.end())
        return failAttempt(event);
    if (!prepareChange(*lost, *replacement))
        return failAttempt(event);
    startChange(event);
}

void ShardOwner::serve(Event event)
{
    m_state = State::Owning;
    m_phase = Phase::Serving;
    m_logVersion = m_syncVersion;
    m_failedAttempts = 0;
    if (m_isUnregistered)
        m_retryAt = event.now + m_settings.retryDelay;
    m_queue.reset(m_log.size(), m_requiredHolders);
    m_actions.emplace_back(BecameOwnerAction { m_tag.epoch, m_record.lostThrough, std::exchange(m_log, {}) });
}

} // namespace basilpoint
