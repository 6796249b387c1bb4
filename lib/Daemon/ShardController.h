#pragma once

#include "basilpoint/Net/FiberSignal.h"
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

    /// As append(), for a record after which a request goes out that must not be repeated.
    /// \throws ShardLostError also if the acknowledgement is too old to act on.
    virtual void appendForDispatch(ShardId, const ProgramRecord& record) = 0;
};

/// This daemon does not own the shard, or no longer does.
class ShardLostError final : public Error {
public:
    /// \param executed No if nothing was recorded, else Unknown.
    explicit ShardLostError(ShardId, Executed executed = Executed::No);
};

/// Shards that this daemon owns, with their programs.
class ShardController {
public:
    /// Keeps a shard from being handed over while a request of it is under way.
    class Use {
    public:
        explicit Use(std::shared_ptr<unsigned> count);
        ~Use();

        Use(const Use&) = delete;
        Use& operator=(const Use&) = delete;

    private:
        std::shared_ptr<unsigned> m_count;
    };

    explicit ShardController(ShardJournal&);

    /// Begins to serve \p shard with the programs that its journal holds.
    /// \param lostThrough programs of this epoch and before lost their journal; zero if none did.
    void adopt(ShardId, Epoch, Epoch lostThrough, ProgramTable);

    /// Forgets \p shard; requests that wait for it fail.
    void release(ShardId);

    /// Lets no new request in and suspends until those under way have ended.
    /// \returns false if that takes longer than \p limit; the shard is then open again.
    bool quiesce(ShardId, Milliseconds limit);

    bool owns(ShardId shard) const { return m_shards.contains(shard); }

    /// \throws ShardLostError if the shard is not owned or is being handed over.
    std::shared_ptr<Use> use(ShardId);

    /// \throws ShardLostError.
    ProgramTable& table(ShardId);

    /// Applies \p record and returns once the journal has it.
    /// \throws ShardLostError.
    void commit(ShardId, const ProgramRecord& record);

    /// As commit(), for an intent after which a request goes out that must not be repeated.
    void commitForDispatch(ShardId, const ProgramRecord& record);

    /// New program id in \p shard. \throws ShardLostError.
    ProgramId mint(ShardId shard, RandomEngine&) const;

    std::vector<ShardId> owned() const;
    Epoch epoch(ShardId) const;
    Epoch lostThrough(ShardId) const;

private:
    struct OwnedShard {
        Epoch epoch;
        Epoch lostThrough;
        ProgramTable table;
        std::shared_ptr<unsigned> uses = std::make_shared<unsigned>(0);
        bool quiescing = false;
    };

    const OwnedShard& find(ShardId) const;

    ShardJournal& m_journal;
    std::map<ShardId, std::unique_ptr<OwnedShard>> m_shards;
};

} // namespace basilpoint
