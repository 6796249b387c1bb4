#include "ShardController.h"

#include "Operations.h"

#include <cassert>
#include <fmt/format.h>

namespace basilpoint {

static constexpr unsigned idDigits = 20;
static constexpr Milliseconds lostRetryDelay { 200 };

ShardLostError::ShardLostError(ShardId shard)
    : Error({ "shard-moved", 503, Executed::No }, { { "shard", std::to_string(shard.value()) } })
{
    setRetryAfter(lostRetryDelay);
}

ShardController::ShardController(ShardJournal& journal)
    : m_journal(journal)
{
}

void ShardController::adopt(ShardId shard, Epoch epoch, ProgramLimits limits, const std::vector<ProgramRecord>& records)
{
    auto owned = std::make_unique<OwnedShard>(OwnedShard { epoch, ProgramTable(limits) });
    for (const ProgramRecord& record : records)
        owned->table.apply(record);
    m_shards[shard] = std::move(owned);
}

void ShardController::release(ShardId shard)
{
    m_shards.erase(shard);
}

ProgramTable& ShardController::table(ShardId shard)
{
    auto it = m_shards.find(shard);
    if (it == m_shards.end())
        throw ShardLostError(shard);
    return it->second->table;
}

void ShardController::commit(ShardId shard, const ProgramRecord& record)
{
    table(shard).apply(record);
    m_journal.append(shard, record);
}

ProgramId ShardController::mint(RandomEngine& random) const
{
    assert(!m_shards.empty() && "a daemon mints ids only in shards that it owns");
    std::uniform_int_distribution<std::size_t> draw(0, m_shards.size() - 1);
    auto it = std::next(m_shards.begin(), static_cast<std::ptrdiff_t>(draw(random)));
    return ProgramId(fmt::format("{}-{}-{}", it->first.value(), it->second->epoch.value(), randomHex(random, idDigits)));
}

ProgramId ShardController::mintChild(const ProgramId& parent, RandomEngine& random) const
{
    ShardId shard = shardOf(parent);
    auto it = m_shards.find(shard);
    if (it == m_shards.end())
        throw ShardLostError(shard);
    return ProgramId(fmt::format("{}-{}-{}", shard.value(), it->second->epoch.value(), randomHex(random, idDigits)));
}

std::vector<ShardId> ShardController::owned() const
{
    std::vector<ShardId> result;
    for (const auto& [shard, owned] : m_shards)
        result.push_back(shard);
    return result;
}

} // namespace basilpoint
