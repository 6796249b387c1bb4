#include "basilpoint/Shard/ShardOwner.h"

#include "HolderSets.h"

#include <utility>

namespace basilpoint {

static constexpr unsigned writeIdDigits = 32;
static constexpr unsigned maxBackoffDoublings = 4;
/// More epochs than owners can take without the service in one outage: none of theirs, which the
/// new owner cannot see once all holders are lost, may lie above the loss.
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
    // A dropped change of holders may still reach the record: only a new claim rules that out.
    if (m_phase == Phase::SwappingHolders)
        m_isClaimed = false;
    m_phase = Phase::Waiting;
    m_access.abandon();
    forgetRequests();
    m_change.reset();
    m_isUnregistered = false;
    unsigned doublings = std::min(m_failedAttempts++, maxBackoffDoublings);
    auto delay = m_settings.retryDelay * (1U << doublings);
    // Candidates that lost against each other must not meet again at once.
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count() * 3 / 2);
    m_retryAt = event.now + Milliseconds(jitter(event.random));
}

void ShardOwner::onRecordRead(Event event)
{
    if (m_isUnregistered)
        return enterRecord(event);
    bool isStillOurs = m_isClaimed && m_access.record() && m_access.record()->writeId == m_record.writeId;
    if (!isStillOurs || isLoss(m_record))
        return claimEpoch(event);
    // The claim of the last attempt stands; its steps go on counting, so that logs are not mixed up.
    seal(m_holders, event);
}

HolderSet ShardOwner::newHolders() const
{
    HolderSet holders;
    for (const HolderId& holder : m_candidates) {
        if (!m_lost.contains(holder) && !contains(holders, holder) && holders.size() < holdersPerShard)
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

bool ShardOwner::isLoss(const ShardRecord& record) const
{
    bool areAllGone = std::all_of(record.holders.begin(), record.holders.end(), [&](const HolderId& it) { return m_lost.contains(it); });
    return areAllGone && !newHolders().empty();
}

ShardRecord ShardOwner::nextRecord() const
{
    ShardRecord record = *m_access.record();
    record.epoch = std::max(record.epoch, m_highest).next();
    if (!isLoss(record))
        return record;
    record.lostThrough = Epoch(record.epoch.value() + lossEpochGap);
    record.epoch = record.lostThrough.next();
    record.holders = newHolders();
    return record;
}

ShardRecord ShardOwner::stamped(ShardRecord record, RandomEngine& random) const
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
    m_access.write(revision, stamped(std::move(record), event.random), m_actions);
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
        m_counting = m_holders;
        m_queue.retain(m_counting);
        return settle(event.now);
    }
    m_tag = { m_record.epoch, m_self };
    m_isClaimed = true;
    m_lastStep = 0;
    seal(m_holders, event);
}

void ShardOwner::onRecordConflict(Event event)
{
    if (m_state == State::TakingOver)
        return failAttempt(event);
    lose(ShardLossReason::Superseded);
}

void ShardOwner::onServiceUnavailable(Event event)
{
    if (m_phase == Phase::SwappingHolders)
        serveWhileSwapping(event);
    if (m_state != State::TakingOver) {
        m_retryAt = event.now + m_settings.retryDelay;
        pump(event.now);
        return settle(event.now);
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
    m_lastStep = 0;
    m_holders = m_record.holders;
    seal(m_holders, event);
}

void ShardOwner::enterRecord(Event event)
{
    const auto& current = m_access.record();
    bool isNewer = current && current->epoch < m_tag.epoch;
    // All holders that the record names must have this owner's log before they alone count.
    bool isCovered = current && std::all_of(current->holders.begin(), current->holders.end(), [&](const HolderId& it) { return contains(m_counting, it); });
    if (!isNewer || !isCovered)
        return lose(ShardLossReason::Superseded);
    ShardRecord record = *current;
    record.epoch = m_tag.epoch;
    m_access.write(m_access.revision(), stamped(std::move(record), event.random), m_actions);
}

void ShardOwner::seal(const HolderSet& holders, Event event)
{
    m_phase = Phase::Sealing;
    m_sealed.clear();
    m_counting = holders;
    for (const HolderId& holder : holders) {
        if (!m_lost.contains(holder))
            send(holder, SealRequest { m_tag }, event.now);
    }
    if (!isAnyOutstanding())
        failAttempt(event);
}

void ShardOwner::onSealed(const HolderId& holder, const HolderReply& reply, Event event)
{
    if (!reply.accepted)
        return failAttempt(event);
    // What was synchronized before a loss was entered in the record is lost as well.
    bool initialized = reply.initialized && reply.position.tag.epoch > m_record.lostThrough;
    m_sealed[holder] = { initialized, reply.position, reply.length };
    if (m_isUnregistered) {
        if (!initialized)
            return failAttempt(event);
        followPairs(reply.pairs, event);
    }
    if (!isAnyOutstanding())
        finishSealing(event);
}

void ShardOwner::followPairs(const std::set<HolderSet>& pairs, Event event)
{
    for (const HolderSet& pair : pairs) {
        for (const HolderId& holder : pair) {
            if (contains(m_counting, holder))
                continue;
            m_counting.push_back(holder);
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
        if (!best || std::pair(best->second.position, best->second.length) < std::pair(it.second.position, it.second.length))
            best = &it;
    }
    m_log.clear();
    m_source = best ? best->first : HolderId();
    if (best && best->second.length > 0)
        return readLog(m_source, event);
    // Every owner synchronizes all holders of the record before it acts, so that one that never was
    // proves an empty log. One that may still show a log is waited for all the same.
    bool isDecided = std::all_of(m_counting.begin(), m_counting.end(), [&](const HolderId& it) { return m_sealed.contains(it) || m_lost.contains(it); });
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
    // A source that lost what it acknowledged, or took what was not sent to it, can't be copied from.
    if (m_log.size() < m_queue.first() || m_log.size() > m_queue.end())
        return lose(ShardLossReason::HoldersUnreachable);
    copyToAdded(event);
}

void ShardOwner::syncHolders(Event event)
{
    if (m_sealed.size() < m_counting.size())
        return replaceUnreachable(event);
    LogPosition best;
    for (const auto& [holder, log] : m_sealed)
        best = std::max(best, log.initialized ? log.position : LogPosition {});
    std::map<HolderId, std::uint64_t> keep;
    for (const auto& [holder, log] : m_sealed) {
        // Logs at one position are prefixes of each other.
        bool isPrefix = log.initialized && log.position == best;
        keep[holder] = isPrefix ? std::min<std::uint64_t>(log.length, m_log.size()) : 0;
    }
    startSync(Phase::SyncingHolders, keep, event.now);
}

void ShardOwner::replaceUnreachable(Event event)
{
    auto replacement = std::find_if(m_candidates.begin(), m_candidates.end(), [&](const HolderId& it) { return !contains(m_holders, it) && !m_lost.contains(it); });
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
    m_position = m_syncPosition;
    m_failedAttempts = 0;
    if (m_isUnregistered)
        m_retryAt = event.now + m_settings.retryDelay;
    m_queue.reset(m_log.size(), m_counting);
    m_actions.emplace_back(BecameOwnerAction { m_tag.epoch, m_record.lostThrough, std::exchange(m_log, {}) });
}

} // namespace basilpoint
