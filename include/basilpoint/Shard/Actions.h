#pragma once

#include "basilpoint/Shard/Types.h"
#include "basilpoint/Support/Clock.h"

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

/// The entries that append() was given under \p ticket are on every holder in use.
struct AcknowledgedAction {
    std::uint64_t ticket = 0;
    /// Whether every later owner will find the entries. False in degraded state: what must not be
    /// repeated may not be sent on it.
    bool durable = true;
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

/// \p holder does not answer. If that lasts, name another one by replaceHolder().
struct HolderUnreachableAction {
    HolderId holder;
};

/// Call tick() at \p time.
struct WakeAtAction {
    TimePoint time;
};

using ShardAction = std::variant<ReadRecordAction, WriteRecordAction, SendToHolderAction, BecameOwnerAction, AcknowledgedAction, LostShardAction, HolderUnreachableAction, WakeAtAction>;
using ShardActions = std::vector<ShardAction>;

} // namespace basilpoint
