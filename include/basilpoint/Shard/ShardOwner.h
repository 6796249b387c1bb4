#pragma once

#include "basilpoint/Shard/Actions.h"
#include "basilpoint/Shard/AppendQueue.h"
#include "basilpoint/Shard/RecordAccess.h"
#include "basilpoint/Support/Random.h"

#include <map>
#include <optional>

namespace basilpoint {

/// Timeouts and limits of a shard's owner.
struct ShardOwnerSettings {
    /// A request to a holder fails if there is no reply within this time.
    Milliseconds holderTimeout { 500 };
    /// Delay before a failed step is retried; doubles, up to a limit, with each failed take-over attempt.
    Milliseconds retryDelay { 200 };
    /// The owner gives the shard up if an append is not acknowledged within this time.
    Milliseconds appendTimeout { 10'000 };
    /// Longest time between an acknowledgement and the dispatch that it allows.
    Milliseconds dispatchWindow { 1'000 };
    /// Approximate limit for the entries in one append or synchronization chunk.
    std::size_t chunkBytes = 256 * 1024;
    /// Whether a take-over may proceed while the key-value service is unavailable.
    bool allowWithoutService = false;
};

/// State machine of one shard's owner: take-over, replicated appends, compaction, change of holders, hand-over.
///
/// Takes events with the current time and returns actions; does no I/O. Safety does not depend on the clock:
/// holders refuse the appends of an owner that was superseded, for instance during a pause, and an owner acts
/// only on acknowledged entries.
///
/// With allowWithoutService, a daemon must keep one object per shard for its whole lifetime: the object records
/// which epochs it has used, and an instance id must not use an epoch twice.
class ShardOwner {
public:
    enum class State {
        Idle,
        TakingOver,
        Owning,
        /// A holder is being replaced, and the service does not confirm the change: acknowledged entries are not durable,
        /// so that no call that must not be repeated may be dispatched.
        Degraded,
    };

    ShardOwner(ShardId, InstanceId self, ShardOwnerSettings);

    /// Starts to take the shard over. The first two of \p holders become its holders if it has no record yet;
    /// otherwise, the first one not in use replaces a holder that does not reply. A call during a take-over
    /// only replaces \p holders.
    ShardActions takeOver(const HolderSet& holders, RandomEngine&, TimePoint now);

    /// Replicates \p entries; AcknowledgedAction with \p ticket or LostShardAction follows.
    ShardActions append(std::uint64_t ticket, std::vector<std::string> entries, TimePoint now);

    /// Replaces \p lost by \p replacement among the holders; with an empty \p lost, adds \p replacement to a single holder.
    /// Does nothing while another change of holders, a compaction or a take-over is in progress.
    ShardActions replaceHolder(const HolderId& lost, const HolderId& replacement, RandomEngine&, TimePoint now);

    /// Replaces the log, including all appends so far, by \p entries, which must rebuild the same state.
    /// Does nothing while a change of holders or another compaction is in progress.
    ShardActions compact(std::vector<std::string> entries, TimePoint now);

    /// Gives the shard up once all appends so far are acknowledged; LostShardAction(Released) follows.
    ShardActions release(TimePoint now);

    /// Sets the last known record; a take-over without the service starts with its holders.
    void rememberRecord(const ShardRecord&);

    /// Sets the holders whose data is permanently lost, such as an emptied journal folder. If all holders of a record
    /// are among them, a take-over starts with an empty log and writes the loss into the record.
    void declareLost(std::set<HolderId> holders) { m_lostHolders = std::move(holders); }

    /// Result of ReadRecordAction; \p record is empty if the key does not exist.
    ShardActions recordRead(const std::optional<ShardRecord>& record, std::int64_t revision, RandomEngine&, TimePoint now);
    /// Result of WriteRecordAction: whether it took effect, and the new revision.
    ShardActions recordWritten(bool succeeded, std::int64_t revision, RandomEngine&, TimePoint now);
    /// The service did not answer the last read or write; a write may nevertheless have taken effect.
    ShardActions serviceFailed(RandomEngine&, TimePoint now);

    ShardActions holderAnswered(std::uint64_t requestId, const HolderReply&, RandomEngine&, TimePoint now);
    ShardActions holderFailed(std::uint64_t requestId, RandomEngine&, TimePoint now);
    ShardActions tick(RandomEngine&, TimePoint now);

    State state() const { return m_state; }
    Epoch epoch() const { return m_tag.epoch; }
    const HolderSet& holders() const { return m_holders; }
    /// False if the epoch was taken without the service and is not in the record yet.
    bool isRegistered() const { return !m_isUnregistered; }
    /// Number of entries in the log, acknowledged or not; tells when to compact.
    std::uint64_t logLength() const { return m_queue.end(); }

    /// Whether an acknowledgement received at \p acknowledgedAt still allows a dispatch.
    bool mayDispatch(TimePoint acknowledgedAt, TimePoint now) const { return m_state == State::Owning && now - acknowledgedAt <= m_settings.dispatchWindow; }

private:
    enum class Phase {
        Idle,
        Waiting,
        ReadingRecord,
        ClaimingEpoch,
        Sealing,
        ReadingLog,
        SyncingHolders,
        Serving,
        Compacting,
        AddingPair,
        ReadingSource,
        SyncingNew,
        SyncingSources,
        SwappingHolders,
    };

    /// Time and random engine of the event being handled.
    struct Event {
        TimePoint now;
        RandomEngine& random;
    };

    /// State of the requests to one holder.
    struct Link {
        std::uint64_t requestId = 0;
        /// Empty if no request is outstanding.
        std::optional<TimePoint> deadline;
        TimePoint retryAt;
        unsigned failures = 0;
    };

    struct SealedLog {
        bool initialized = false;
        LogVersion version;
        std::uint64_t length = 0;
    };

    /// Progress of copying the log to one holder.
    struct SyncCursor {
        /// Number of entries that the holder keeps from its own log.
        std::uint64_t keep = 0;
        /// Index of the first entry that the holder has not accepted yet.
        std::uint64_t next = 0;
        /// Index after the last entry sent.
        std::uint64_t sent = 0;
        unsigned failures = 0;
        bool isLost = false;
    };

    /// Change of holders in progress.
    struct Change {
        HolderSet target;
        HolderId added;
        /// Old holders from which the log is copied; they have all of it.
        HolderSet sources;
        /// Whether appends continue before it is known whether the write of the record took effect.
        bool isServing = false;
    };

    ShardActions finish(TimePoint now);
    void scheduleWake(TimePoint now);
    void send(const HolderId&, HolderRequest, TimePoint now);
    /// Holder to which an outstanding request was sent; empty if the request was answered, timed out or was cancelled.
    std::optional<HolderId> holderOfRequest(std::uint64_t requestId) const;
    bool isAnyOutstanding() const;
    void cancelRequests();
    void onAnswer(const HolderId&, const HolderReply&, Event);
    void onFailure(const HolderId&, Event);
    void onOutcome(RecordAccess::Outcome, Event);
    void onRecordRead(Event);
    void onRecordWritten(Event);
    void onRecordConflict(Event);
    void onServiceUnavailable(Event);
    void onSuperseded(const OwnerTag& by, Event);
    void expireRequests(Event);
    void retryStep(Event);

    void beginAttempt();
    void failAttempt(Event);
    void claimEpoch(Event);
    HolderSet newHolders() const;
    ShardRecord firstRecord() const;
    ShardRecord nextRecord() const;
    bool canRecordLoss(const ShardRecord&) const;
    void beginWithoutService(Event);
    void seal(const HolderSet&, Event);
    void onSealed(const HolderId&, const HolderReply&, Event);
    void sealPairs(const std::set<HolderSet>&, Event);
    void finishSealing(Event);
    void readLog(const HolderId&, Event);
    void onLogRead(const HolderId&, const HolderReply&, Event);
    void syncHolders(Event);
    void replaceUnreachable(Event);
    void serve(Event);
    ShardRecord withWriteId(ShardRecord, RandomEngine&) const;
    void registerEpoch(Event);

    void startSync(Phase, const std::map<HolderId, std::uint64_t>& keep, TimePoint now);
    void sendSyncChunk(const HolderId&, TimePoint now);
    void onSynced(const HolderId&, Event);
    void onSyncFailed(const HolderId&, Event);
    void finishSync(Event);
    void dropLostHolders(Event);
    void finishCompaction(TimePoint now);

    bool prepareChange(const HolderId& lost, const HolderId& added);
    void startChange(Event);
    void onPairAdded(Event);
    void copyToAdded(Event);
    void syncSources(Event);
    void swapHolders(Event);
    void failChange(Event);
    void useHolders(const HolderSet& required, Event);
    void serveWhileSwapping(Event);
    void finishChange(Event);

    bool canAppend() const;
    void sendAppends(TimePoint now);
    void onAppended(const HolderId&, const HolderReply&, Event);
    void reportAcknowledged(TimePoint now);
    void endOwnership(ShardLossReason);

    ShardId m_shard;
    InstanceId m_self;
    ShardOwnerSettings m_settings;
    State m_state = State::Idle;
    Phase m_phase = Phase::Idle;
    ShardActions m_actions;

    OwnerTag m_tag;
    /// Highest epoch that was used here or seen at a holder or in the record.
    Epoch m_highest;
    /// Whether the record names m_tag and no holder has refused it.
    bool m_isClaimed = false;
    /// Whether the epoch was taken without the service and is not in the record yet.
    bool m_isUnregistered = false;
    bool m_isReleasing = false;
    RecordAccess m_access;
    ShardRecord m_record;
    std::int64_t m_revision = 0;
    bool m_isRecordKnown = false;

    /// Holders named in the record.
    HolderSet m_holders;
    /// Holders that must acknowledge each append; during a take-over, those to be sealed.
    HolderSet m_requiredHolders;
    HolderSet m_candidates;
    std::set<HolderId> m_lostHolders;
    std::map<HolderId, Link> m_links;
    std::uint64_t m_lastRequestId = 0;

    std::map<HolderId, SealedLog> m_sealed;
    HolderId m_source;
    /// The whole log, only while it is read, copied or compacted.
    std::vector<std::string> m_log;
    std::map<HolderId, SyncCursor> m_cursors;
    std::uint64_t m_nextSyncNumber = 0;
    LogVersion m_syncVersion;
    LogVersion m_logVersion;
    std::optional<Change> m_change;
    /// Index after the last entry that the compaction in progress covers.
    std::optional<std::uint64_t> m_compactedEnd;

    AppendQueue m_queue;
    unsigned m_failedAttempts = 0;
    std::optional<TimePoint> m_retryAt;
    std::optional<TimePoint> m_wakeAt;
};

} // namespace basilpoint
