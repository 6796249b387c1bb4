#pragma once

#include "basilpoint/Shard/Types.h"
#include "basilpoint/Support/Clock.h"

#include <variant>
#include <vector>

namespace basilpoint {

/// Reads the shard's record; the result goes to ShardOwner::recordRead().
struct ReadRecordAction { };

/// Writes the shard's record if its revision is still \p expectedRevision; the result goes to ShardOwner::recordWritten().
struct WriteRecordAction {
    std::int64_t expectedRevision = 0;
    ShardRecord record;
};

/// Sends \p request to \p holder; the reply goes to ShardOwner::holderAnswered(), a failure to ShardOwner::holderFailed(),
/// with the same request id.
struct SendToHolderAction {
    HolderId holder;
    std::uint64_t requestId = 0;
    HolderRequest request;
};

/// The take-over is complete: this daemon owns the shard, and \p entries is the whole log.
struct BecameOwnerAction {
    Epoch epoch;
    /// The journals of programs of this epoch and earlier are lost; zero if none are.
    Epoch lostThrough;
    std::vector<std::string> entries;
};

/// All required holders have stored the entries passed to ShardOwner::append() with \p ticket.
struct AcknowledgedAction {
    std::uint64_t ticket = 0;
    /// Whether every later owner finds the entries. False in State::Degraded: a call that must not be
    /// repeated must then not be dispatched.
    bool durable = true;
};

/// Why this daemon stopped owning a shard.
enum class ShardLossReason {
    Superseded,
    HoldersUnreachable,
    Released,
};

/// This daemon no longer owns the shard. The next owner may or may not find the unacknowledged entries.
struct LostShardAction {
    ShardLossReason reason = ShardLossReason::Superseded;
};

/// Several consecutive requests to \p holder failed. ShardOwner::replaceHolder() replaces it.
struct HolderUnreachableAction {
    HolderId holder;
};

/// Schedules a call of ShardOwner::tick() at \p time.
struct WakeAtAction {
    TimePoint time;
};

using ShardAction = std::variant<ReadRecordAction, WriteRecordAction, SendToHolderAction, BecameOwnerAction, AcknowledgedAction, LostShardAction, HolderUnreachableAction, WakeAtAction>;
using ShardActions = std::vector<ShardAction>;

} // namespace basilpoint
