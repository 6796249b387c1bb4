#pragma once

#include "basilpoint/Shard/Types.h"
#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Random.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace basilpoint {

/// Read the shard's record; answer with recordRead().
struct ReadRecordAction { };

/// Write the shard's record if its revision is still \p expectedRevision; answer with recordWritten().
struct WriteRecordAction {
    std::int64_t expectedRevision = 0;
    ShardRecord record;
};

/// Send \p request to \p holder; answer with holderAnswered() or holderFailed() under the same id.
struct SendToHolderAction {
    HolderId holder;
    std::uint64_t requestId = 0;
    HolderRequest request;
};

/// This daemon serves the shard from now on, with these entries.
struct BecameOwnerAction {
    Epoch epoch;
    /// Journal of this epoch and before is lost; zero if it is whole.
    Epoch lostThrough;
    std::vector<std::string> entries;
};

/// The entries that append() was given under \p ticket are on every holder that counts.
struct AcknowledgedAction {
    std::uint64_t ticket = 0;
};

/// Why a shard is no longer served here.
enum class ShardLossReason {
    Superseded,
    HoldersUnreachable,
    Released,
};

/// This daemon does not serve the shard any more; entries without acknowledgement may or may not last.
struct LostShardAction {
    ShardLossReason reason = ShardLossReason::Superseded;
};

/// Call tick() at \p time.
struct WakeAtAction {
    TimePoint time;
};

using ShardAction = std::variant<ReadRecordAction, WriteRecordAction, SendToHolderAction, BecameOwnerAction, AcknowledgedAction, LostShardAction, WakeAtAction>;
using ShardActions = std::vector<ShardAction>;

/// What one term of ownership may take.
struct ShardOwnerSettings {
    /// A request to a holder without an answer counts as failed.
    Milliseconds holderTimeout { 500 };
    /// Pause before a failed take-over is tried again.
    Milliseconds retryDelay { 200 };
    /// An acknowledgement older than this does not allow a dispatch any more.
    Milliseconds dispatchWindow { 1'000 };
    /// Bytes of entries in one read or synchronization.
    std::size_t chunkBytes = 256 * 1024;
    /// Whether a take-over may go on while the key-value service is down.
    bool allowWithoutService = false;
};

/// Owner's side of one shard: take-over, replicated appends, change of holders, hand-over.
///
/// Takes events and the time, returns actions; does no input or output. Safety does not depend on
/// the clock: an owner that was paused cannot append, and acts only on acknowledged entries.
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

    /// Begins to take the shard over. \p holders are used if the shard has no record yet.
    ShardActions takeOver(const HolderSet& holders, RandomEngine&, TimePoint now);

    /// Replicates \p entries; AcknowledgedAction with \p ticket follows, or LostShardAction.
    ShardActions append(std::uint64_t ticket, std::vector<std::string> entries, TimePoint now);

    /// Replaces \p lost by \p replacement among the holders.
    ShardActions replaceHolder(const HolderId& lost, const HolderId& replacement, RandomEngine&, TimePoint now);

    /// Replaces the whole log by \p entries, which rebuild the same state; all holders must follow.
    ShardActions compact(std::vector<std::string> entries, TimePoint now);

    /// Gives the shard up after all appends so far; LostShardAction(Released) follows.
    ShardActions release(TimePoint now);

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

private:
    ShardId m_shard;
    InstanceId m_self;
    ShardOwnerSettings m_settings;
    State m_state = State::Idle;
    OwnerTag m_tag;
    HolderSet m_holders;
};

} // namespace basilpoint
