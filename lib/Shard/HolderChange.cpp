#include "basilpoint/Shard/ShardOwner.h"

#include "HolderSets.h"

namespace basilpoint {

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

} // namespace basilpoint
