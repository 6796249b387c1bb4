#pragma once

#include "basilpoint/Shard/Actions.h"
#include "basilpoint/Shard/AppendQueue.h"
#include "basilpoint/Shard/RecordAccess.h"
#include "basilpoint/Support/Random.h"

#include <map>
#include <optional>

namespace basilpoint {

/// What one term of ownership may take.
struct ShardOwnerSettings {
    /// A request to a holder without an answer counts as failed.
    Milliseconds holderTimeout { 500 };
    /// Pause before a failed step is tried again; grows with each failed take-over.
    Milliseconds retryDelay { 200 };
    /// The shard is given up if an append waits this long for its acknowledgement.
    Milliseconds appendTimeout { 10'000 };
    /// An acknowledgement older than this does not allow a dispatch any more.
    Milliseconds dispatchWindow { 1'000 };
    /// Bytes of entries in one append or synchronization.
    std::size_t chunkBytes = 256 * 1024;
    /// Whether a take-over may go on while the key-value service is down.
    bool allowWithoutService = false;
};

/// Owner's side of one shard: take-over, replicated appends, change of holders, hand-over.
///
/// Takes events and the time, returns actions; does no input or output. Safety does not depend on
/// the clock: an owner that was paused cannot append, and acts only on acknowledged entries.
///
/// With allowWithoutService, a daemon keeps one object per shard for its whole life: the object knows
/// which epochs it has used, and an epoch must not be used twice under one instance id.
class ShardOwner {
public:
    enum class State {
        Idle,
        TakingOver,
        Owning,
        /// One holder is lost and the service is down: nothing that must not be repeated is taken.
        Degraded,
    };

    ShardOwner(ShardId, InstanceId self, ShardOwnerSettings);

    /// Begins to take the shard over. The first two of \p holders are used if the shard has no record
    /// yet; the first that is not in use, in place of a holder that does not answer. A call during a
    /// take-over only replaces \p holders.
    ShardActions takeOver(const HolderSet& holders, RandomEngine&, TimePoint now);

    /// Replicates \p entries; AcknowledgedAction with \p ticket follows, or LostShardAction.
    ShardActions append(std::uint64_t ticket, std::vector<std::string> entries, TimePoint now);

    /// Replaces \p lost by \p replacement among the holders; an empty \p lost adds one to
    /// a single holder.
    /// Does nothing while another change, a compaction or a take-over is under way.
    ShardActions replaceHolder(const HolderId& lost, const HolderId& replacement, RandomEngine&, TimePoint now);

    /// Replaces the whole log, with all appends so far, by \p entries, which rebuild the same state.
    /// Does nothing while a change of holders or another compaction is under way.
    ShardActions compact(std::vector<std::string> entries, TimePoint now);

    /// Gives the shard up after all appends so far; LostShardAction(Released) follows.
    ShardActions release(TimePoint now);

    /// Notes the last record seen; a take-over without the service begins with its holders.
    void rememberRecord(const ShardRecord&);

    /// Notes holders that are gone for good, such as an emptied folder. A take-over that finds all
    /// of a record's holders among them goes on with an empty log and enters the loss in the record.
    void declareLost(std::set<HolderId> holders) { m_lost = std::move(holders); }

    /// Answer to ReadRecordAction. Empty optional record: the key does not exist.
    ShardActions recordRead(const std::optional<ShardRecord>& record, std::int64_t revision, RandomEngine&, TimePoint now);
    /// Answer to WriteRecordAction: whether it took effect, with the new revision.
    ShardActions recordWritten(bool succeeded, std::int64_t revision, RandomEngine&, TimePoint now);
    /// The service did not answer the last read or write; a write may have taken effect.
    ShardActions serviceFailed(RandomEngine&, TimePoint now);

    ShardActions holderAnswered(std::uint64_t requestId, const HolderReply&, RandomEngine&, TimePoint now);
    ShardActions holderFailed(std::uint64_t requestId, RandomEngine&, TimePoint now);
    ShardActions tick(RandomEngine&, TimePoint now);

    State state() const { return m_state; }
    Epoch epoch() const { return m_tag.epoch; }
    const HolderSet& holders() const { return m_holders; }
    /// False while the epoch was taken without the service and is not in the record yet.
    bool isRegistered() const { return !m_isUnregistered; }
    /// Entries of the log, acknowledged or not; tells when to compact.
    std::uint64_t logLength() const { return m_queue.end(); }

    /// Whether an acknowledgement from \p acknowledgedAt still allows a dispatch.
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
        MarkingChange,
        ReadingSource,
        SyncingNew,
        SyncingSources,
        SwappingHolders,
    };

    /// Time and randomness of the event that is being handled.
    struct Event {
        TimePoint now;
        RandomEngine& random;
    };

    struct Link {
        std::uint64_t requestId = 0;
        /// Empty if no request is under way.
        std::optional<TimePoint> deadline;
        TimePoint retryAt;
        unsigned failures = 0;
    };

    struct SealedLog {
        bool initialized = false;
        LogPosition position;
        std::uint64_t length = 0;
    };

    struct SyncCursor {
        std::uint64_t keep = 0;
        /// First entry that the holder has not taken yet.
        std::uint64_t next = 0;
        /// Behind the last entry sent.
        std::uint64_t sent = 0;
        unsigned failures = 0;
        bool isLost = false;
    };

    struct Change {
        HolderSet target;
        HolderId added;
        /// Old holders that stay; they have the whole log.
        HolderSet sources;
        /// Whether appends go on before the record's change is known to have taken effect.
        bool isServing = false;
    };

    ShardActions finish(TimePoint now);
    void scheduleWake(TimePoint now);
    void send(const HolderId&, HolderRequest, TimePoint now);
    /// Holder of a request that is under way; empty if it was answered, expired or forgotten.
    std::optional<HolderId> holderAsked(std::uint64_t requestId) const;
    bool isAnyOutstanding() const;
    void forgetRequests();
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
    bool isLoss(const ShardRecord&) const;
    void beginWithoutService(Event);
    void seal(const HolderSet&, Event);
    void onSealed(const HolderId&, const HolderReply&, Event);
    void followPairs(const std::set<HolderSet>&, Event);
    void finishSealing(Event);
    void readLog(const HolderId&, Event);
    void onLogRead(const HolderId&, const HolderReply&, Event);
    void syncHolders(Event);
    void replaceUnreachable(Event);
    void serve(Event);
    ShardRecord stamped(ShardRecord, RandomEngine&) const;
    void enterRecord(Event);

    void startSync(Phase, const std::map<HolderId, std::uint64_t>& keep, TimePoint now);
    void sendSyncChunk(const HolderId&, TimePoint now);
    void onSynced(const HolderId&, Event);
    void onSyncFailed(const HolderId&, Event);
    void finishSync(Event);
    void dropLostHolders(Event);
    void finishCompaction(TimePoint now);

    bool prepareChange(const HolderId& lost, const HolderId& added);
    void startChange(Event);
    void onMarked(Event);
    void copyToAdded(Event);
    void syncSources(Event);
    void swapHolders(Event);
    void failChange(Event);
    void useHolders(const HolderSet& counting, Event);
    void serveWhileSwapping(Event);
    void finishChange(Event);

    bool canAppend() const;
    void pump(TimePoint now);
    void onAppended(const HolderId&, const HolderReply&, Event);
    void settle(TimePoint now);
    void lose(ShardLossReason);

    ShardId m_shard;
    InstanceId m_self;
    ShardOwnerSettings m_settings;
    State m_state = State::Idle;
    Phase m_phase = Phase::Idle;
    ShardActions m_actions;

    OwnerTag m_tag;
    /// Highest epoch that was used here or seen at a holder.
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

    /// Holders that the record names.
    HolderSet m_holders;
    /// Holders that an append waits for.
    HolderSet m_counting;
    HolderSet m_candidates;
    std::set<HolderId> m_lost;
    std::map<HolderId, Link> m_links;
    std::uint64_t m_lastRequestId = 0;

    std::map<HolderId, SealedLog> m_sealed;
    HolderId m_source;
    /// Whole log, only while it is read and copied.
    std::vector<std::string> m_log;
    std::map<HolderId, SyncCursor> m_cursors;
    std::uint64_t m_lastStep = 0;
    LogPosition m_syncPosition;
    LogPosition m_position;
    std::optional<Change> m_change;
    /// End of the appends that a compaction covers.
    std::optional<std::uint64_t> m_compactedEnd;

    AppendQueue m_queue;
    unsigned m_failedAttempts = 0;
    std::optional<TimePoint> m_retryAt;
    std::optional<TimePoint> m_wakeAt;
};

} // namespace basilpoint
