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

/// Sends a request to a journal holder of the fleet. Suspends the calling fiber.
/// \throws Error if the holder cannot be reached.
using HolderCaller = std::function<HolderReply(const HolderId&, ShardId, const HolderRequest&)>;

/// The shard has one holder left, and the lost one cannot be replaced while the key-value service is unavailable.
/// Calls that must not be repeated are refused.
class ShardDegradedError final : public Error {
public:
    explicit ShardDegradedError(ShardId);
};

/// Passes events to the ShardOwner of each of this daemon's shards and performs its actions.
class ShardDriver final : public ShardJournal {
public:
    ShardDriver(const Clock&, RandomEngine&, KeyValueStore&, InstanceId self, ShardOwnerSettings, HolderCaller);

    /// Sets the controller that serves the owned shards. Call before takeOver().
    void attach(ShardController& controller) { m_controller = &controller; }

    /// Starts to take \p shard over. During a take-over, only replaces the candidate holders.
    /// \param lost holders whose data is permanently lost.
    void takeOver(ShardId, const HolderSet& holders, std::set<HolderId> lost);

    /// Releases \p shard after its requests in progress have ended; suspends until then.
    /// \returns false if the requests took longer than \p limit; the shard is then kept.
    bool handOver(ShardId, Milliseconds limit);

    /// Replaces the holder \p lost.
    void replaceHolder(ShardId, const HolderId& lost, const HolderId& replacement);

    void append(ShardId, const ProgramRecord& record) override;
    void appendForDispatch(ShardId, const ProgramRecord& record) override;

    /// Whether this daemon owns \p shard or is taking it over.
    bool active(ShardId) const;
    ShardOwner::State state(ShardId) const;
    HolderSet holders(ShardId) const;
    /// Number of successful take-overs since the start of this daemon.
    std::uint64_t takeOvers() const { return m_takeOvers; }

private:
    struct Batch {
        std::vector<std::string> entries;
        std::size_t entryCount = 0;
        bool done = false;
        bool lost = false;
        bool durable = false;
        TimePoint acknowledgedAt;
        FiberSignal completed;
    };
    struct Shard {
        explicit Shard(ShardOwner owner)
            : owner(std::move(owner))
        {
        }

        ShardOwner owner;
        /// Collects records while an earlier batch is in flight.
        std::shared_ptr<Batch> nextBatch;
        std::map<std::uint64_t, std::shared_ptr<Batch>> inFlight;
        std::uint64_t nextTicket = 0;
        std::size_t entriesSinceCompaction = 0;
        FiberSignal changed;
    };
    using ShardPointer = std::shared_ptr<Shard>;

    ShardPointer find(ShardId) const;
    std::shared_ptr<Batch> appendAndWait(ShardId, const ProgramRecord&);
    void sendBatch(ShardId, const ShardPointer&);
    void failBatches(const ShardPointer&);
    void compactIfDue(ShardId, const ShardPointer&);

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
