#include "ShardDriver.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <spdlog/spdlog.h>

namespace basilpoint {

static constexpr std::size_t minEntriesToCompact = 4'096;
static constexpr std::size_t entriesPerProgramToCompact = 8;

static constexpr int statusUnavailable = 503;
static constexpr Milliseconds degradedRetryDelay { 2'000 };

ShardDegradedError::ShardDegradedError(ShardId shard)
    : Error({ "shard-degraded", statusUnavailable, Executed::No }, { { "shard", std::to_string(shard.value()) } })
{
    setRetryAfter(degradedRetryDelay);
}

ShardDriver::ShardDriver(const Clock& clock, RandomEngine& random, KeyValueStore& store, InstanceId self, ShardOwnerSettings settings, HolderCaller callHolder)
    : m_clock(clock)
    , m_random(random)
    , m_store(store)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_callHolder(std::move(callHolder))
{
}

ShardDriver::ShardPointer ShardDriver::find(ShardId shard) const
{
    auto it = m_shards.find(shard);
    return it == m_shards.end() ? nullptr : it->second;
}

bool ShardDriver::active(ShardId shard) const
{
    return m_shards.contains(shard);
}

ShardOwner::State ShardDriver::state(ShardId shard) const
{
    ShardPointer it = find(shard);
    return it ? it->owner.state() : ShardOwner::State::Idle;
}

HolderSet ShardDriver::holders(ShardId shard) const
{
    ShardPointer it = find(shard);
    return it ? it->owner.holders() : HolderSet {};
}

void ShardDriver::takeOver(ShardId shard, const HolderSet& holders, std::set<HolderId> lost)
{
    ShardPointer running = find(shard);
    if (running && running->owner.state() != ShardOwner::State::TakingOver)
        return;
    if (running) {
        running->owner.declareLost(std::move(lost));
        return perform(shard, running, running->owner.takeOver(holders, m_random, m_clock.now()));
    }
    auto state = std::make_shared<Shard>(ShardOwner(shard, m_self, m_settings));
    m_shards[shard] = state;
    state->owner.declareLost(std::move(lost));
    perform(shard, state, state->owner.takeOver(holders, m_random, m_clock.now()));
}

bool ShardDriver::handOver(ShardId shard, Milliseconds limit)
{
    ShardPointer state = find(shard);
    if (!state)
        return true;
    if (!m_controller->quiesce(shard, limit))
        return false;
    perform(shard, state, state->owner.release(m_clock.now()));
    while (find(shard) == state)
        state->changed.wait();
    return true;
}

void ShardDriver::replaceHolder(ShardId shard, const HolderId& lost, const HolderId& replacement)
{
    ShardPointer state = find(shard);
    if (state)
        perform(shard, state, state->owner.replaceHolder(lost, replacement, m_random, m_clock.now()));
}

void ShardDriver::append(ShardId shard, const ProgramRecord& record)
{
    appendAndWait(shard, record);
}

void ShardDriver::appendForDispatch(ShardId shard, const ProgramRecord& record)
{
    std::shared_ptr<Batch> batch = appendAndWait(shard, record);
    ShardPointer state = find(shard);
    if (!batch->durable)
        throw ShardDegradedError(shard);
    // If this process was paused, another owner may have told the caller meanwhile that the outcome is unknown.
    if (!state || !state->owner.mayDispatch(batch->acknowledgedAt, m_clock.now()))
        throw ShardLostError(shard, Executed::Unknown);
}

std::shared_ptr<ShardDriver::Batch> ShardDriver::appendAndWait(ShardId shard, const ProgramRecord& record)
{
    ShardPointer state = find(shard);
    if (!state)
        throw ShardLostError(shard);
    if (!state->nextBatch)
        state->nextBatch = std::make_shared<Batch>();
    std::shared_ptr<Batch> batch = state->nextBatch;
    batch->entries.push_back(encodeRecord(record));
    if (state->inFlight.empty())
        sendBatch(shard, state);
    while (!batch->done && !batch->lost)
        batch->completed.wait();
    if (batch->lost)
        throw ShardLostError(shard);
    return batch;
}

// Only one batch is in flight, which preserves the order of entries. Entries that arrive meanwhile form the next batch.
void ShardDriver::sendBatch(ShardId shard, const ShardPointer& state)
{
    std::shared_ptr<Batch> batch = std::move(state->nextBatch);
    state->nextBatch = nullptr;
    std::uint64_t ticket = ++state->nextTicket;
    state->inFlight[ticket] = batch;
    batch->entryCount = batch->entries.size();
    perform(shard, state, state->owner.append(ticket, std::move(batch->entries), m_clock.now()));
}

void ShardDriver::failBatches(const ShardPointer& state)
{
    auto fail = [](const std::shared_ptr<Batch>& batch) {
        batch->lost = true;
        batch->completed.notifyAll();
    };
    for (const auto& [ticket, batch] : state->inFlight)
        fail(batch);
    if (state->nextBatch)
        fail(state->nextBatch);
    state->inFlight.clear();
    state->nextBatch = nullptr;
}

void ShardDriver::perform(ShardId shard, const ShardPointer& state, const ShardActions& actions)
{
    for (const ShardAction& action : actions)
        std::visit([&](const auto& it) { perform(shard, state, it); }, action);
}

void ShardDriver::perform(ShardId shard, const ShardPointer& state, const ReadRecordAction&)
{
    spawnFiber([this, shard, state] {
        ShardActions actions;
        try {
            auto pair = m_store.get(shardRecordKey(shard));
            auto record = pair ? std::optional(decodeShardRecord(pair->value)) : std::nullopt;
            actions = state->owner.recordRead(record, pair ? pair->modRevision : 0, m_random, m_clock.now());
        } catch (const Error& error) {
            spdlog::warn("shard {}: cannot read its record: {}", shard.value(), error.what());
            actions = state->owner.serviceFailed(m_random, m_clock.now());
        }
        perform(shard, state, actions);
    });
}

void ShardDriver::perform(ShardId shard, const ShardPointer& state, const WriteRecordAction& action)
{
    spawnFiber([this, shard, state, action] {
        ShardActions actions;
        try {
            auto revision = m_store.compareAndSwap(shardRecordKey(shard), action.expectedRevision, encodeShardRecord(action.record), 0);
            actions = state->owner.recordWritten(revision.has_value(), revision.value_or(0), m_random, m_clock.now());
        } catch (const Error& error) {
            spdlog::warn("shard {}: cannot write its record: {}", shard.value(), error.what());
            actions = state->owner.serviceFailed(m_random, m_clock.now());
        }
        perform(shard, state, actions);
    });
}

void ShardDriver::perform(ShardId shard, const ShardPointer& state, const SendToHolderAction& action)
{
    spawnFiber([this, shard, state, action] {
        ShardActions actions;
        try {
            HolderReply reply = m_callHolder(action.holder, shard, action.request);
            actions = state->owner.holderAnswered(action.requestId, reply, m_random, m_clock.now());
        } catch (const Error& error) {
            spdlog::debug("shard {}: request to a holder failed: {}", shard.value(), error.what());
            actions = state->owner.holderFailed(action.requestId, m_random, m_clock.now());
        }
        perform(shard, state, actions);
    });
}

void ShardDriver::perform(ShardId shard, const ShardPointer& state, const BecameOwnerAction& action)
{
    ++m_takeOvers;
    spawnFiber([this, shard, state, action] {
        ProgramTable table { ProgramLimits {} };
        for (const std::string& entry : action.entries)
            table.apply(decodeRecord(entry));
        std::vector<ProgramRecord> recovered = table.recoverAfterTakeOver(m_clock.wallNow());
        try {
            for (const ProgramRecord& record : recovered) {
                table.apply(record);
                append(shard, record);
            }
        } catch (const ShardLostError&) {
            return;
        }
        spdlog::info("shard {}: took over at epoch {} with {} programs, wrote {} recovery records", shard.value(), action.epoch.value(), table.size(), recovered.size());
        m_controller->addShard(shard, action.epoch, action.lostThrough, std::move(table));
    });
}

void ShardDriver::perform(ShardId shard, const ShardPointer& state, const AcknowledgedAction& action)
{
    auto it = state->inFlight.find(action.ticket);
    if (it == state->inFlight.end())
        return;
    std::shared_ptr<Batch> batch = it->second;
    state->inFlight.erase(it);
    batch->done = true;
    batch->durable = action.durable;
    batch->acknowledgedAt = m_clock.now();
    batch->completed.notifyAll();
    state->entriesSinceCompaction += batch->entryCount;
    if (state->nextBatch && state->inFlight.empty())
        return sendBatch(shard, state);
    compactIfDue(shard, state);
}

// Compacts only while no append is in progress, when the table and the journal have the same contents.
void ShardDriver::compactIfDue(ShardId shard, const ShardPointer& state)
{
    bool isIdle = state->inFlight.empty() && !state->nextBatch;
    if (!isIdle || !m_controller->owns(shard) || state->entriesSinceCompaction < minEntriesToCompact)
        return;
    ProgramTable& table = m_controller->table(shard);
    if (state->entriesSinceCompaction < table.size() * entriesPerProgramToCompact)
        return;
    state->entriesSinceCompaction = 0;
    std::vector<std::string> entries;
    for (const ProgramRecord& record : table.compactRecords())
        entries.push_back(encodeRecord(record));
    perform(shard, state, state->owner.compact(std::move(entries), m_clock.now()));
}

void ShardDriver::perform(ShardId shard, const ShardPointer& state, const LostShardAction& action)
{
    if (action.reason != ShardLossReason::Released)
        spdlog::warn("shard {}: ownership lost; superseded by another daemon, or holders unreachable", shard.value());
    if (find(shard) == state) {
        m_shards.erase(shard);
        m_controller->removeShard(shard);
    }
    failBatches(state);
    state->changed.notifyAll();
}

// FleetController replaces the holder once its instance is known to be dead.
void ShardDriver::perform(ShardId shard, const ShardPointer&, const HolderUnreachableAction& action)
{
    spdlog::warn("shard {}: holder {} does not answer", shard.value(), action.holder.text());
}

void ShardDriver::perform(ShardId shard, const ShardPointer& state, const WakeAtAction& action)
{
    auto delay = std::chrono::ceil<Milliseconds>(action.time - m_clock.now());
    spawnFiber([this, shard, state, delay] {
        sleepFiber(std::max(delay, Milliseconds(1)));
        perform(shard, state, state->owner.tick(m_random, m_clock.now()));
    });
}

} // namespace basilpoint
