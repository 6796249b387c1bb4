#pragma once

#include "basilpoint/Program/ProgramTable.h"
#include "basilpoint/Support/Random.h"

#include <map>
#include <memory>

namespace basilpoint {

/// Makes records of a shard last. Calls suspend the calling fiber.
class ShardJournal {
public:
    virtual ~ShardJournal() = default;

    /// Returns once every holder that counts has \p record.
    /// \throws ShardLostError if this daemon no longer owns the shard; the record may or may not last.
    virtual void append(ShardId, const ProgramRecord& record) = 0;
};

/// This daemon does not own the shard, or no longer does.
class ShardLostError final : public Error {
public:
    explicit ShardLostError(ShardId);
};

/// Shards that this daemon owns, with their programs.
class ShardController {
public:
    explicit ShardController(ShardJournal&);

    /// Begins to serve \p shard with the programs that its journal holds.
    void adopt(ShardId, Epoch, ProgramLimits, const std::vector<ProgramRecord>&);

    /// Forgets \p shard; requests that wait for it fail.
    void release(ShardId);

    bool owns(ShardId shard) const { return m_shards.contains(shard); }

    /// \throws ShardLostError.
    ProgramTable& table(ShardId);

    /// Applies \p record and returns once the journal has it.
    /// \throws ShardLostError.
    void commit(ShardId, const ProgramRecord& record);

    /// New id in one of the owned shards.
    ProgramId mint(RandomEngine&) const;

    /// New id in the shard of \p parent.
    ProgramId mintChild(const ProgramId& parent, RandomEngine&) const;

    std::vector<ShardId> owned() const;

private:
    struct OwnedShard {
        Epoch epoch;
        ProgramTable table;
    };

    ShardJournal& m_journal;
    std::map<ShardId, std::unique_ptr<OwnedShard>> m_shards;
};

} // namespace basilpoint
