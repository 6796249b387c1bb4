#pragma once

#include "JournalService.h"
#include "ShardController.h"

#include "basilpoint/Net/KeyValueStore.h"
#include "basilpoint/Shard/ShardOwner.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace basilpoint {

/// Reaches a journal holder anywhere in the fleet. Suspends the calling fiber.
/// \throws a typed error if the holder cannot be reached.
using HolderCaller = std::function<HolderReply(const HolderId&, ShardId, const HolderRequest&)>;

/// The shard has one holder left while the key-value service is down; nothing that must not be repeated is taken.
class ShardDegradedError final : public Error {
public:
    explicit ShardDegradedError(ShardId);
};

/// Drives the ownership of this daemon's shards: carries out what ShardOwner decides.
class ShardDriver final : public ShardJournal {
public:
    ShardDriver(const Clock&, RandomEngine&, KeyValueStore&, InstanceId self, ShardOwnerSettings, HolderCaller);

    /// Shards are adopted by and released from \p controller.
    void attach(ShardController& controller) { m_controller = &controller; }

    /// Begins to take \p shard over; while that is under way, only replaces the candidates.
    /// \param lost holders that are gone for good.
    void takeOver(ShardId, const HolderSet& holders, std::set<HolderId> lost);

    /// Gives \p shard up after everything under way has ended; suspends until then.
    /// \returns false if that took longer than \p limit.
    bool handOver(ShardId, Milliseconds limit);

    /// Replaces a holder that is gone.
    void replaceHolder(ShardId, const HolderId& lost, const HolderId& replacement);

    void append(ShardId, const ProgramRecord& record) override;
    void appendForDispatch(ShardId, const ProgramRecord& record) override;

    /// Whether a take-over or an ownership of \p shard is under way here.
    bool active(ShardId) const;
    ShardOwner::State state(ShardId) const;
    HolderSet holders(ShardId) const;
    /// Take-overs that ended in ownership since the start.
    std::uint64_t takeOvers() const { return m_takeOvers; }

private:
    struct Batch {
        std::vector<std::string> entries;
        std::size_t size = 0;
        bool done = false;
        bool lost = false;
        bool durable = false;
        TimePoint acknowledgedAt;
        FiberSignal ended;
    };
    struct Shard {
        explicit Shard(ShardOwner owner)
            : owner(std::move(owner))
        {
        }

        ShardOwner owner;
        /// Gathers records while an earlier batch is under way.
        std::shared_ptr<Batch> gathering;
        std::map<std::uint64_t, std::shared_ptr<Batch>> underWay;
        std::uint64_t nextTicket = 0;
        std::size_t entriesSinceCompaction = 0;
        FiberSignal changed;
    };
    using ShardPointer = std::shared_ptr<Shard>;

    ShardPointer find(ShardId) const;
    std::shared_ptr<Batch> appendAndWait(ShardId, const ProgramRecord&);
    void sendBatch(ShardId, const ShardPointer&);
    void failBatches(const ShardPointer&);
    void compactIfLong(ShardId, const ShardPointer&);

    void perform(ShardId, const ShardPointer&, const ShardActions&);
    void perform(ShardId, const ShardPointer&, const ReadRecordAction&);
    void perform(ShardId, const ShardPointer&, const WriteRecordAction&);
    void perform(ShardId, const ShardPointer&, const SendToHolderAction&);
    void perform(ShardId, const ShardPointer&, const BecameOwnerAction&);
    void perform(ShardId, const ShardPointer&, const AcknowledgedAction&);
    void perform(ShardId, const ShardPointer&, const LostShardAction&);
    void perform(ShardId, const ShardPointer&, const HolderUnreachableAction&);
    void perform(ShardId, const ShardPointer&, const WakeAtAction&);

    const Clock& m_clock;
    RandomEngine& m_random;
    KeyValueStore& m_store;
    InstanceId m_self;
    ShardOwnerSettings m_settings;
    HolderCaller m_callHolder;
    ShardController* m_controller = nullptr;
    std::map<ShardId, ShardPointer> m_shards;
    std::uint64_t m_takeOvers = 0;
};

} // namespace basilpoint
