#pragma once

#include "History.h"

#include "basilpoint/Shard/JournalHolder.h"
#include "basilpoint/Shard/ShardOwner.h"

#include <functional>
#include <memory>
#include <queue>

namespace basilpoint::test {

/// Faults planted between owners and holders, which the history check must find.
enum class Mutation {
    None,
    SealingSkipped,
    DispatchBeforeAcknowledgement,
    OneHolderEnough,
    EpochNotCompared,
    NoMark,
    NoClosure,
    EmptiedHolderCounted,
    LengthAlone,
    DegradedCounted,
    LostWriteAssumed,
};

struct ClusterSettings {
    std::uint64_t seed = 1;
    bool allowWithoutService = false;
    Mutation mutation = Mutation::None;
    /// Whether messages, owners, holders and the service fail at random.
    bool isFaulty = true;
};

/// What a run has covered.
struct ClusterCounts {
    unsigned takeOvers = 0;
    unsigned withoutService = 0;
    unsigned changes = 0;
    unsigned losses = 0;
    unsigned degraded = 0;
    unsigned compactions = 0;
    unsigned lasting = 0;
    unsigned effects = 0;
    unsigned writes = 0;
    unsigned reads = 0;

    ClusterCounts& operator+=(const ClusterCounts&);
};

/// One shard with three owners, five holders and the key-value service on a manual clock.
class ShardCluster {
public:
    /// One place for a holder; emptied, it goes on under another id.
    struct Place {
        std::unique_ptr<JournalHolder> holder;
        std::vector<StorageOp> stored;
        unsigned generation = 0;
        bool isUp = true;
        /// Rises with each restart, which loses what is not on storage yet.
        unsigned start = 0;
        unsigned unstored = 0;
        TimePoint storedAt;
    };

    /// One place for an owner with the small application above it.
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

    /// Lets \p span pass with random work and faults.
    void runFuzz(Milliseconds span);
    /// Ends all faults; \returns whether an owner serves a new request after that.
    bool recovers();
    /// Lets \p span pass with messages and timers alone.
    void run(Milliseconds span);

    void takeOver(std::size_t process, const HolderSet& candidates);
    /// Appends one request and sends it to the target once its intent lasts.
    void request(std::size_t process, const std::string& key);
    void replace(std::size_t process, const HolderId& lost, const HolderId& added);
    void compact(std::size_t process);
    void release(std::size_t process);
    void crash(std::size_t process);
    void restart(std::size_t process);
    void pause(std::size_t process, Milliseconds);
    void restartHolder(std::size_t place);
    void emptyHolder(std::size_t place);

    HolderId holderAt(std::size_t place) const { return m_places[place].holder->id(); }
    std::size_t logSize(std::size_t process) const { return m_processes[process].log.size(); }
    ShardOwner& owner(std::size_t process) { return *m_processes[process].owner; }
    void setServiceUp(bool isUp) { m_isServiceUp = isUp; }
    void setHolderUp(std::size_t place, bool isUp) { m_places[place].isUp = isUp; }
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

    bool chance(double probability);
    bool happens(double probability);
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
    void arrive(std::size_t process, const SendToHolderAction&);
    void ask(Place&, const HolderRequest&, const std::function<void(const HolderReply&)>& answer);
    std::optional<HolderReply> fabricate(const Place&, const HolderRequest&) const;
    bool isStoredElsewhere(const Place&, const AppendRequest&) const;
    void mutateRequest(const Place&, HolderRequest&) const;
    HolderReply mutateReply(const HolderRequest&, HolderReply) const;
    void dispatch(std::size_t process, const LedgerEntry&);

    HolderSet drawHolders();
    void injectFault();
    void injectHolderFault(std::size_t place);
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
    std::vector<Place> m_places;
    std::vector<Process> m_processes;
    std::set<HolderId> m_gone;
    std::vector<std::string> m_keys;
    std::uint64_t m_lastTicket = 0;
    unsigned m_lastProcess = 0;
    History m_history;
    ClusterCounts m_counts;
};

} // namespace basilpoint::test
