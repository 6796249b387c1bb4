#pragma once

#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Program/ProgramTable.h"
#include "basilpoint/Support/Random.h"

#include <map>
#include <memory>

namespace basilpoint {

/// Replicated journal of the shards. Calls suspend the calling fiber.
class ShardJournal {
public:
    virtual ~ShardJournal() = default;

    /// Returns once all required holders of the shard have stored \p record.
    /// \throws ShardLostError if this daemon no longer owns the shard; the record may or may not survive.
    virtual void append(ShardId, const ProgramRecord& record) = 0;

    /// As append(), for a record that precedes a request that must not be repeated.
    /// \throws ShardLostError also if the acknowledgement is too old for the request to be sent.
    /// \throws ShardDegradedError if the record is not durable.
    virtual void appendForDispatch(ShardId, const ProgramRecord& record) = 0;
};

/// This daemon does not own the shard, or is handing it over.
class ShardLostError final : public Error {
public:
    /// \param executed No if nothing was recorded, else Unknown.
    explicit ShardLostError(ShardId, Executed executed = Executed::No);
};

/// Shards that this daemon owns, and their programs.
class ShardController {
public:
    /// Prevents a shard's hand-over while a request for it is in progress.
    class ActiveRequest {
    public:
        explicit ActiveRequest(std::shared_ptr<unsigned> count);
        ~ActiveRequest();

        ActiveRequest(const ActiveRequest&) = delete;
        ActiveRequest& operator=(const ActiveRequest&) = delete;

    private:
        std::shared_ptr<unsigned> m_count;
    };

    explicit ShardController(ShardJournal&);

    /// Starts to serve \p shard with the programs of its journal.
    /// \param lostThrough last epoch whose journal was lost; zero if none was.
    void addShard(ShardId, Epoch, Epoch lostThrough, ProgramTable);

    /// Removes \p shard; its requests then fail with ShardLostError.
    void removeShard(ShardId);

    /// Refuses new requests and suspends until those in progress have ended.
    /// \returns false if that takes longer than \p limit; the shard then accepts requests again.
    bool quiesce(ShardId, Milliseconds limit);

    bool owns(ShardId shard) const { return m_shards.contains(shard); }

    /// \throws ShardLostError if the shard is not owned or is being handed over.
    std::shared_ptr<ActiveRequest> startRequest(ShardId);

    /// \throws ShardLostError.
    ProgramTable& table(ShardId);

    /// Applies \p record and returns once it is in the journal.
    /// \throws ShardLostError.
    void commit(ShardId, const ProgramRecord& record);

    /// As commit(), for an intent that precedes a request that must not be repeated.
    /// \throws ShardDegradedError if the record is not durable.
    void commitForDispatch(ShardId, const ProgramRecord& record);

    /// Generates a program id in \p shard. \throws ShardLostError.
    ProgramId newProgramId(ShardId shard, RandomEngine&) const;

    std::vector<ShardId> owned() const;
    Epoch epoch(ShardId) const;
    Epoch lostThrough(ShardId) const;

private:
    struct OwnedShard {
        Epoch epoch;
        Epoch lostThrough;
        ProgramTable table;
        std::shared_ptr<unsigned> activeRequests = std::make_shared<unsigned>(0);
        bool quiescing = false;
    };

    const OwnedShard& find(ShardId) const;

    ShardJournal& m_journal;
    std::map<ShardId, std::unique_ptr<OwnedShard>> m_shards;
};

} // namespace basilpoint
