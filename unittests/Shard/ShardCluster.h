#pragma once

#include "History.h"

#include "basilpoint/Shard/JournalHolder.h"
#include "basilpoint/Shard/ShardOwner.h"

#include <functional>
#include <memory>
#include <queue>

namespace basilpoint::test {

/// Protocol faults injected between owners and holders, each of which the history check must detect.
enum class Mutation {
    None,
    /// Holders answer seal and read requests without being sealed.
    SealingSkipped,
    DispatchBeforeAcknowledgement,
    /// A holder acknowledges an append without storing it once another holder has stored it.
    OneHolderAcknowledges,
    /// Holders accept appends whose version is not that of their log.
    EpochNotCompared,
    PairNotAdded,
    /// Replies of holders lack the stored pairs, so that a take-over without the service does not seal them.
    PairsNotSealed,
    /// An emptied holder keeps its id and reports its log as initialized.
    EmptiedHolderAccepted,
    /// Sealed logs are reported with the same version, so that the longest one is taken.
    LogsComparedByLength,
    DegradedTreatedAsDurable,
    /// A write of the record whose answer is lost counts as successful.
    UnansweredWriteAssumed,
};

struct ClusterSettings {
    std::uint64_t seed = 1;
    bool allowWithoutService = false;
    Mutation mutation = Mutation::None;
    /// Whether messages and writes are lost, repeated and delayed at random.
    bool isFaulty = true;
};

/// Number of events of each kind in a run.
struct ClusterCounts {
    unsigned takeOvers = 0;
    unsigned withoutService = 0;
    unsigned changes = 0;
    unsigned losses = 0;
    unsigned degraded = 0;
    unsigned compactions = 0;
    unsigned acknowledged = 0;
    unsigned effects = 0;
    unsigned writes = 0;
    unsigned reads = 0;

    ClusterCounts& operator+=(const ClusterCounts&);
};

/// Simulation of one shard with three owners, five holders and the key-value service, on a manual clock.
class ShardCluster {
public:
    /// Slot of one holder. A holder that is emptied gets a new id.
    struct HolderSlot {
        std::unique_ptr<JournalHolder> holder;
        std::vector<StorageOp> stored;
        /// Number in the id of the holder, incremented when it is emptied.
        unsigned generation = 0;
        bool isUp = true;
        /// Incremented by each restart, which loses the operations that are not on storage yet.
        unsigned incarnation = 0;
        unsigned pendingWrites = 0;
        TimePoint storedAt;
    };

    /// Slot of one owner process, with the test application that appends requests to the shard.
    struct Process {
        InstanceId id;
        std::unique_ptr<ShardOwner> owner;
        bool isUp = true;
        TimePoint pausedUntil;
        std::vector<LedgerEntry> log;
        std::map<std::uint64_t, LedgerEntry> waiting;
        std::uint64_t sequence = 0;
        Epoch lostThrough;
    };

    explicit ShardCluster(const ClusterSettings&);

    /// Advances the clock by \p span with random requests and faults.
    void runFuzz(Milliseconds span);
    /// Ends all faults. \returns whether an owner then serves a new request.
    bool recovers();
    /// Advances the clock by \p span, handling only messages and timers.
    void run(Milliseconds span);

    void takeOver(std::size_t process, const HolderSet& candidates);
    /// Appends one request and sends it to the target once its entry is durable.
    void request(std::size_t process, const std::string& key);
    void replace(std::size_t process, const HolderId& lost, const HolderId& added);
    void compact(std::size_t process);
    void release(std::size_t process);
    void crash(std::size_t process);
    void restart(std::size_t process);
    void pause(std::size_t process, Milliseconds);
    void restartHolder(std::size_t slot);
    void emptyHolder(std::size_t slot);

    HolderId holderAt(std::size_t slot) const { return m_holderSlots[slot].holder->id(); }
    std::size_t logSize(std::size_t process) const { return m_processes[process].log.size(); }
    ShardOwner& owner(std::size_t process) { return *m_processes[process].owner; }
    void setServiceUp(bool isUp) { m_isServiceUp = isUp; }
    void setHolderUp(std::size_t slot, bool isUp) { m_holderSlots[slot].isUp = isUp; }
    /// The next write takes effect, but its answer is lost.
    void loseNextWriteAnswer() { m_loseNextAnswer = true; }
    const std::optional<ShardRecord>& record() const { return m_record; }
    const History& history() const { return m_history; }
    const ClusterCounts& counts() const { return m_counts; }
    TimePoint now() const { return m_now; }

private:
    struct Timer {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const Timer& other) const { return std::pair(time, order) > std::pair(other.time, other.order); }
    };

    bool faultOccurs(double probability);
    bool drawBool(double probability);
    std::size_t draw(std::size_t n);
    Milliseconds messageDelay();
    void after(Milliseconds, std::function<void()>);
    void deliver(std::size_t process, std::function<ShardActions(ShardOwner&)>);
    void perform(std::size_t process, const ShardActions&);
    void perform(std::size_t process, const ReadRecordAction&);
    void perform(std::size_t process, const WriteRecordAction&);
    void perform(std::size_t process, const SendToHolderAction&);
    void perform(std::size_t process, const BecameOwnerAction&);
    void perform(std::size_t process, const AcknowledgedAction&);
    void perform(std::size_t process, const LostShardAction&);
    void perform(std::size_t process, const HolderUnreachableAction&);
    void perform(std::size_t process, const WakeAtAction&);

    bool compareAndSwap(const WriteRecordAction&);
    void deliverToHolder(std::size_t process, const SendToHolderAction&);
    void handleAtHolder(HolderSlot&, const HolderRequest&, const std::function<void(const HolderReply&)>& answer);
    std::optional<HolderReply> fakeReply(const HolderSlot&, const HolderRequest&) const;
    bool isStoredElsewhere(const HolderSlot&, const AppendRequest&) const;
    void mutateRequest(const HolderSlot&, HolderRequest&) const;
    HolderReply mutateReply(const HolderRequest&, HolderReply) const;
    void dispatch(std::size_t process, const LedgerEntry&);

    HolderSet drawHolders();
    void injectFault();
    void injectHolderFault(std::size_t slot);
    void injectWork(std::size_t process);
    std::string drawKey(Epoch);

    ClusterSettings m_settings;
    RandomEngine m_random;
    TimePoint m_now { std::chrono::hours(1) };
    std::priority_queue<Timer> m_timers;
    std::uint64_t m_lastOrder = 0;
    std::optional<ShardRecord> m_record;
    std::vector<ShardRecord> m_records;
    std::int64_t m_revision = 0;
    bool m_isServiceUp = true;
    bool m_loseNextAnswer = false;
    std::vector<HolderSlot> m_holderSlots;
    std::vector<Process> m_processes;
    std::set<HolderId> m_lostHolders;
    std::vector<std::string> m_keys;
    std::uint64_t m_lastTicket = 0;
    unsigned m_lastProcess = 0;
    History m_history;
    ClusterCounts m_counts;
};

} // namespace basilpoint::test
