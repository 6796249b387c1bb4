#include "basilpoint/Shard/ShardOwner.h"

#include "HolderSets.h"

namespace basilpoint {

ShardActions ShardOwner::replaceHolder(const HolderId& lost, const HolderId& replacement, RandomEngine& random, TimePoint now)
{
    bool isPossible = m_phase == Phase::Serving && !m_isUnregistered && prepareChange(lost, replacement);
    if (isPossible) {
        cancelRequests();
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
    // A single holder that is being replaced is the only source of the log.
    if (m_holders.size() > 1)
        std::erase(change.sources, lost);
    m_change = std::move(change);
    return true;
}

void ShardOwner::startChange(Event event)
{
    // The old holders store the new pair before the log is copied: an owner that takes over from them without
    // the service then also seals the new holder, whether or not the change reaches the record.
    m_phase = Phase::AddingPair;
    for (const HolderId& holder : m_change->sources)
        send(holder, AddPairRequest { m_tag, m_change->target }, event.now);
}

void ShardOwner::onPairAdded(Event event)
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
    m_access.write(m_revision, withWriteId(std::move(record), event.random), m_actions);
}

void ShardOwner::failChange(Event event)
{
    if (m_state == State::TakingOver)
        return failAttempt(event);
    // The new holder may already have a log of a higher version, which a take-over without the service prefers.
    // Entries appended to the old holders alone would be missing from it.
    if (m_phase != Phase::AddingPair && m_phase != Phase::ReadingSource)
        return endOwnership(ShardLossReason::HoldersUnreachable);
    cancelRequests();
    m_change.reset();
    m_log.clear();
    m_phase = Phase::Serving;
    reportAcknowledged(event.now);
}

void ShardOwner::useHolders(const HolderSet& required, Event event)
{
    m_requiredHolders = required;
    m_change->isServing = true;
    if (m_state == State::TakingOver)
        return serve(event);
    m_logVersion = m_syncVersion;
    m_queue.resume(m_log.size(), m_requiredHolders);
    m_log.clear();
}

void ShardOwner::serveWhileSwapping(Event event)
{
    if (m_change->isServing)
        return;
    HolderSet required = m_change->sources;
    required.push_back(m_change->added);
    useHolders(normalized(required), event);
    // If the write does not take effect, the record still names the old holders: an entry is durable only if all
    // of them have it.
    bool hasAllOld = std::all_of(m_holders.begin(), m_holders.end(), [&](const HolderId& it) { return contains(m_requiredHolders, it); });
    m_state = hasAllOld ? State::Owning : State::Degraded;
    m_phase = Phase::SwappingHolders;
}

void ShardOwner::finishChange(Event event)
{
    if (!m_change->isServing)
        useHolders(m_holders, event);
    m_requiredHolders = m_holders;
    m_queue.retain(m_requiredHolders);
    m_change.reset();
    m_state = State::Owning;
    m_phase = Phase::Serving;
    reportAcknowledged(event.now);
}

} // namespace basilpoint
