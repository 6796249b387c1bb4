#include "ShardController.h"

#include <fmt/format.h>

namespace basilpoint {

static constexpr unsigned idDigits = 20;
static constexpr Milliseconds movedRetryDelay { 200 };
static constexpr Milliseconds quiescePollInterval { 5 };

ShardLostError::ShardLostError(ShardId shard, Executed executed)
    : Error({ "shard-moved", 503, executed }, { { "shard", std::to_string(shard.value()) } })
{
    setRetryAfter(movedRetryDelay);
}

ShardController::ActiveRequest::ActiveRequest(std::shared_ptr<unsigned> count)
    : m_count(std::move(count))
{
    ++*m_count;
}

ShardController::ActiveRequest::~ActiveRequest()
{
    --*m_count;
}

ShardController::ShardController(ShardJournal& journal)
    : m_journal(journal)
{
}

void ShardController::addShard(ShardId shard, Epoch epoch, Epoch lostThrough, ProgramTable table)
{
    m_shards[shard] = std::make_unique<OwnedShard>(OwnedShard { epoch, lostThrough, std::move(table) });
}

void ShardController::removeShard(ShardId shard)
{
    m_shards.erase(shard);
}

bool ShardController::quiesce(ShardId shard, Milliseconds limit)
{
    auto it = m_shards.find(shard);
    if (it == m_shards.end())
        return true;
    it->second->quiescing = true;
    auto activeRequests = it->second->activeRequests;
    for (Milliseconds waited { 0 }; *activeRequests > 0; waited += quiescePollInterval) {
        if (waited >= limit) {
            it = m_shards.find(shard);
            if (it != m_shards.end())
                it->second->quiescing = false;
            return false;
        }
        sleepFiber(quiescePollInterval);
    }
    return true;
}

const ShardController::OwnedShard& ShardController::find(ShardId shard) const
{
    auto it = m_shards.find(shard);
    if (it == m_shards.end())
        throw ShardLostError(shard);
    return *it->second;
}

std::shared_ptr<ShardController::ActiveRequest> ShardController::startRequest(ShardId shard)
{
    const OwnedShard& owned = find(shard);
    if (owned.quiescing)
        throw ShardLostError(shard);
    return std::make_shared<ActiveRequest>(owned.activeRequests);
}

ProgramTable& ShardController::table(ShardId shard)
{
    find(shard);
    return m_shards[shard]->table;
}

void ShardController::commit(ShardId shard, const ProgramRecord& record)
{
    table(shard).apply(record);
    m_journal.append(shard, record);
}

void ShardController::commitForDispatch(ShardId shard, const ProgramRecord& record)
{
    table(shard).apply(record);
    m_journal.appendForDispatch(shard, record);
}

ProgramId ShardController::newProgramId(ShardId shard, RandomEngine& random) const
{
    return ProgramId(fmt::format("{}-{}-{}", shard.value(), find(shard).epoch.value(), randomHex(random, idDigits)));
}

std::vector<ShardId> ShardController::owned() const
{
    std::vector<ShardId> result;
    for (const auto& [shard, owned] : m_shards)
        result.push_back(shard);
    return result;
}

Epoch ShardController::epoch(ShardId shard) const
{
    return find(shard).epoch;
}

Epoch ShardController::lostThrough(ShardId shard) const
{
    return find(shard).lostThrough;
}

} // namespace basilpoint
