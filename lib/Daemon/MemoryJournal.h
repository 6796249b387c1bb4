#pragma once

#include "ShardController.h"

namespace basilpoint {

/// Keeps records in this process alone: for a single daemon without a data folder. Nothing outlives it.
class MemoryJournal final : public ShardJournal {
public:
    void append(ShardId shard, const ProgramRecord& record) override { m_records[shard].push_back(record); }

    const std::vector<ProgramRecord>& records(ShardId shard) { return m_records[shard]; }

private:
    std::map<ShardId, std::vector<ProgramRecord>> m_records;
};

} // namespace basilpoint
