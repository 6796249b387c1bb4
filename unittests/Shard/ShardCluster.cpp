#include "ShardCluster.h"

#include <algorithm>

namespace basilpoint::test {

static constexpr std::size_t holderCount = 5;
static constexpr std::size_t processCount = 3;
static constexpr ShardId shard { 7 };

ClusterCounts& ClusterCounts::operator+=(const ClusterCounts& other)
{
    takeOvers += other.takeOvers;
    withoutService += other.withoutService;
    changes += other.changes;
    losses += other.losses;
    degraded += other.degraded;
    compactions += other.compactions;
    acknowledged += other.acknowledged;
    effects += other.effects;
    writes += other.writes;
    reads += other.reads;
    return *this;
}

ShardCluster::ShardCluster(const ClusterSettings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_holderSlots(holderCount)
    , m_processes(processCount)
{
    for (std::size_t n = 0; n < holderCount; ++n)
        m_holderSlots[n].holder = std::make_unique<JournalHolder>(HolderId(std::string(1, static_cast<char>('A' + n)) + "0"), 64);
    for (std::size_t n = 0; n < processCount; ++n)
        restart(n);
}

bool ShardCluster::faultOccurs(double probability)
{
    return m_settings.isFaulty && std::uniform_real_distribution(0.0, 1.0)(m_random) < probability;
}

std::size_t ShardCluster::draw(std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
}

Milliseconds ShardCluster::messageDelay()
{
    return Milliseconds(1 + (m_settings.isFaulty ? draw(faultOccurs(.05) ? 150 : 6) : 0));
}

void ShardCluster::after(Milliseconds delay, std::function<void()> run)
{
    m_timers.push({ m_now + delay, ++m_lastOrder, std::move(run) });
}

void ShardCluster::run(Milliseconds span)
{
    TimePoint end = m_now + span;
    while (!m_timers.empty() && m_timers.top().time <= end) {
        Timer timer = m_timers.top();
        m_timers.pop();
        m_now = timer.time;
        timer.run();
    }
    m_now = end;
}

void ShardCluster::restart(std::size_t n)
{
    Process fresh;
    fresh.id = InstanceId(std::string(1, static_cast<char>('m' + n)) + std::to_string(++m_lastProcess));
    ShardOwnerSettings settings { Milliseconds(30), Milliseconds(15), Milliseconds(300), Milliseconds(100), 48, m_settings.allowWithoutService };
    fresh.owner = std::make_unique<ShardOwner>(shard, fresh.id, settings);
    m_processes[n] = std::move(fresh);
}

void ShardCluster::crash(std::size_t n)
{
    m_processes[n].isUp = false;
}

void ShardCluster::pause(std::size_t n, Milliseconds span)
{
    m_processes[n].pausedUntil = m_now + span;
}

void ShardCluster::restartHolder(std::size_t n)
{
    HolderSlot& slot = m_holderSlots[n];
    auto rebuilt = std::make_unique<JournalHolder>(slot.holder->id(), 64);
    for (const StorageOp& op : slot.stored)
        rebuilt->replay(decodeStorageOp(encodeStorageOp(op)));
    slot.holder = std::move(rebuilt);
    ++slot.incarnation;
    slot.pendingWrites = 0;
}

void ShardCluster::emptyHolder(std::size_t n)
{
    HolderSlot& slot = m_holderSlots[n];
    HolderId old = slot.holder->id();
    HolderId fresh(std::string(1, old.text().front()) + std::to_string(++slot.generation));
    bool keepsId = m_settings.mutation == Mutation::EmptiedHolderAccepted;
    if (!keepsId)
        m_lostHolders.insert(old);
    slot.holder = std::make_unique<JournalHolder>(keepsId ? old : fresh, 64);
    slot.stored.clear();
    ++slot.incarnation;
    slot.pendingWrites = 0;
}

void ShardCluster::deliver(std::size_t n, std::function<ShardActions(ShardOwner&)> event)
{
    Process& process = m_processes[n];
    if (!process.isUp)
        return;
    if (process.pausedUntil > m_now) {
        auto wait = std::chrono::ceil<Milliseconds>(process.pausedUntil - m_now);
        after(wait, [this, n, id = process.id, event = std::move(event)] {
            if (m_processes[n].id == id)
                deliver(n, event);
        });
        return;
    }
    perform(n, event(*process.owner));
}

void ShardCluster::perform(std::size_t n, const ShardActions& actions)
{
    for (const ShardAction& action : actions)
        std::visit([&](const auto& it) { perform(n, it); }, action);
}

void ShardCluster::perform(std::size_t n, const ReadRecordAction&)
{
    ++m_counts.reads;
    after(messageDelay(), [this, n, id = m_processes[n].id] {
        bool isAnswered = m_isServiceUp && !faultOccurs(.08);
        auto answer = [this, isAnswered, record = m_record, revision = m_revision](ShardOwner& owner) {
            return isAnswered ? owner.recordRead(record, revision, m_random, m_now) : owner.serviceFailed(m_random, m_now);
        };
        after(messageDelay(), [this, n, id, answer] {
            if (m_processes[n].id == id)
                deliver(n, answer);
        });
    });
}

bool ShardCluster::compareAndSwap(const WriteRecordAction& action)
{
    if (!m_isServiceUp || action.expectedRevision != m_revision)
        return false;
    m_counts.changes += m_record && m_record->holders != action.record.holders;
    m_counts.losses += m_record && m_record->lostThrough != action.record.lostThrough;
    m_record = decodeShardRecord(encodeShardRecord(action.record));
    m_records.push_back(*m_record);
    ++m_revision;
    ++m_counts.writes;
    return true;
}

void ShardCluster::perform(std::size_t n, const WriteRecordAction& action)
{
    bool isLate = faultOccurs(.05);
    if (isLate)
        after(Milliseconds(draw(200)), [this, action] { compareAndSwap(action); });
    after(messageDelay(), [this, n, id = m_processes[n].id, action, isLate] {
        bool succeeded = !isLate && compareAndSwap(action);
        bool isAnswered = m_isServiceUp && !isLate && !std::exchange(m_loseNextAnswer, false) && !faultOccurs(.15);
        bool isAssumed = !isAnswered && m_settings.mutation == Mutation::UnansweredWriteAssumed;
        auto answer = [this, succeeded = succeeded || isAssumed, isAnswered = isAnswered || isAssumed, revision = m_revision](ShardOwner& owner) {
            return isAnswered ? owner.recordWritten(succeeded, revision, m_random, m_now) : owner.serviceFailed(m_random, m_now);
        };
        after(messageDelay(), [this, n, id, answer] {
            if (m_processes[n].id == id)
                deliver(n, answer);
        });
    });
}

void ShardCluster::perform(std::size_t n, const SendToHolderAction& action)
{
    for (bool again = true; again; again = faultOccurs(.08)) {
        if (!faultOccurs(.05))
            after(messageDelay(), [this, n, action, id = m_processes[n].id] {
                // The sender may have restarted since; its request still reaches the holder, but gets no reply.
                if (m_processes[n].id == id)
                    return deliverToHolder(n, action);
                deliverToHolder(processCount, action);
            });
    }
}

void ShardCluster::deliverToHolder(std::size_t n, const SendToHolderAction& action)
{
    auto slot = std::find_if(m_holderSlots.begin(), m_holderSlots.end(), [&](const HolderSlot& it) { return it.holder->id() == action.holder; });
    bool isReached = slot != m_holderSlots.end() && slot->isUp;
    if (!isReached && n < processCount && draw(2) == 0)
        deliver(n, [this, action](ShardOwner& owner) { return owner.holderFailed(action.requestId, m_random, m_now); });
    if (!isReached)
        return;
    auto request = decodeHolderRequest(encodeHolderRequest(shard, action.request)).second;
    handleAtHolder(*slot, request, [this, n, action, id = n < processCount ? m_processes[n].id : InstanceId()](const HolderReply& reply) {
        if (n >= processCount || faultOccurs(.05))
            return;
        after(messageDelay(), [this, n, id, requestId = action.requestId, received = decodeHolderReply(encodeHolderReply(reply))] {
            if (m_processes[n].id == id)
                deliver(n, [this, requestId, received](ShardOwner& owner) { return owner.holderAnswered(requestId, received, m_random, m_now); });
        });
    });
}

void ShardCluster::handleAtHolder(HolderSlot& slot, const HolderRequest& request, const std::function<void(const HolderReply&)>& answer)
{
    if (auto reply = fakeReply(slot, request))
        return answer(*reply);
    HolderRequest mutated = request;
    mutateRequest(slot, mutated);
    HolderDecision decision = slot.holder->handle(shard, mutated);
    HolderReply reply = mutateReply(request, decision.reply);
    if (!decision.op)
        return answer(reply);
    // A restart before the operation is on storage loses both the operation and the reply.
    slot.storedAt = std::max(slot.storedAt, m_now) + Milliseconds(m_settings.isFaulty ? draw(4) : 0);
    ++slot.pendingWrites;
    after(std::chrono::ceil<Milliseconds>(slot.storedAt - m_now), [&slot, incarnation = slot.incarnation, op = *decision.op, reply, answer] {
        if (slot.incarnation != incarnation)
            return;
        --slot.pendingWrites;
        slot.stored.push_back(op);
        answer(reply);
    });
}

void ShardCluster::perform(std::size_t n, const BecameOwnerAction& action)
{
    Process& process = m_processes[n];
    process.log = decodeLog(action.entries);
    process.lostThrough = action.lostThrough;
    process.sequence = 0;
    process.waiting.clear();
    m_history.emplace_back(OwnerStarted { { action.epoch, process.id }, action.lostThrough, process.log });
    ++m_counts.takeOvers;
    m_counts.withoutService += !process.owner->isRegistered();
    m_counts.degraded += process.owner->state() == ShardOwner::State::Degraded;
}

void ShardCluster::perform(std::size_t n, const AcknowledgedAction& action)
{
    Process& process = m_processes[n];
    auto it = process.waiting.find(action.ticket);
    if (it == process.waiting.end())
        return;
    LedgerEntry entry = it->second;
    process.waiting.erase(it);
    if (!action.durable && m_settings.mutation != Mutation::DegradedTreatedAsDurable)
        return;
    m_history.emplace_back(EntryAcknowledged { entry });
    ++m_counts.acknowledged;
    // The owner may be paused for any time between the acknowledgement and the dispatch.
    if (m_settings.mutation != Mutation::DispatchBeforeAcknowledgement)
        after(messageDelay(), [this, n, entry, id = process.id] {
            if (m_processes[n].id == id)
                dispatch(n, entry);
        });
}

void ShardCluster::dispatch(std::size_t n, const LedgerEntry& entry)
{
    if (!m_processes[n].isUp)
        return;
    m_history.emplace_back(Dispatched { entry.key });
    ++m_counts.effects;
}

void ShardCluster::perform(std::size_t n, const LostShardAction&)
{
    m_processes[n].waiting.clear();
}

void ShardCluster::perform(std::size_t, const HolderUnreachableAction&)
{
}

void ShardCluster::perform(std::size_t n, const WakeAtAction& action)
{
    after(std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(action.time - m_now)), [this, n, id = m_processes[n].id] {
        if (m_processes[n].id == id)
            deliver(n, [this](ShardOwner& owner) { return owner.tick(m_random, m_now); });
    });
}

void ShardCluster::takeOver(std::size_t n, const HolderSet& candidates)
{
    deliver(n, [this, candidates](ShardOwner& owner) {
        owner.declareLost(m_lostHolders);
        return owner.takeOver(candidates, m_random, m_now);
    });
}

void ShardCluster::request(std::size_t n, const std::string& key)
{
    deliver(n, [this, n, key](ShardOwner& owner) -> ShardActions {
        Process& process = m_processes[n];
        bool isKnown = std::any_of(process.log.begin(), process.log.end(), [&](const LedgerEntry& it) { return it.key == key; });
        bool isLost = std::stoull(key) <= process.lostThrough.value();
        bool isServing = owner.state() == ShardOwner::State::Owning || owner.state() == ShardOwner::State::Degraded;
        if (!isServing || isKnown || isLost)
            return {};
        LedgerEntry entry { { owner.epoch(), process.id }, ++process.sequence, key };
        process.log.push_back(entry);
        process.waiting[++m_lastTicket] = entry;
        if (m_settings.mutation == Mutation::DispatchBeforeAcknowledgement)
            dispatch(n, entry);
        return owner.append(m_lastTicket, { encodeEntry(entry) }, m_now);
    });
}

void ShardCluster::replace(std::size_t n, const HolderId& lost, const HolderId& added)
{
    deliver(n, [this, lost, added](ShardOwner& owner) { return owner.replaceHolder(lost, added, m_random, m_now); });
}

void ShardCluster::compact(std::size_t n)
{
    ++m_counts.compactions;
    deliver(n, [this, n](ShardOwner& owner) { return owner.compact({ encodeSnapshot(m_processes[n].log) }, m_now); });
}

void ShardCluster::release(std::size_t n)
{
    deliver(n, [this](ShardOwner& owner) { return owner.release(m_now); });
}

} // namespace basilpoint::test
