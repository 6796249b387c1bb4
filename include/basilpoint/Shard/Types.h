#pragma once

#include "basilpoint/Support/Error.h"
#include "basilpoint/Support/Ids.h"

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace basilpoint {

/// Names one term of ownership. The owner's id breaks the tie between an epoch that was taken
/// through the key-value service and the same epoch taken without it.
struct OwnerTag {
    Epoch epoch;
    InstanceId owner;

    auto operator<=>(const OwnerTag&) const = default;
};

/// Who last synchronized a log, and at which step of its term. Logs compare by this, then by length.
struct LogPosition {
    OwnerTag tag;
    std::uint64_t step = 0;

    auto operator<=>(const LogPosition&) const = default;
};

/// Holders that count together, in order; two of them, or one at a single daemon.
using HolderSet = std::vector<HolderId>;

/// Holders of a shard where there is more than one daemon.
constexpr std::size_t holdersPerShard = 2;

/// A shard's record in the key-value service; changed by compare-and-swap alone.
struct ShardRecord {
    Epoch epoch;
    InstanceId owner;
    HolderSet holders;
    /// Unique to each write: tells after a lost answer whether the write took effect.
    std::string writeId;
    /// Programs of this epoch and before lost their journal; zero if none did.
    Epoch lostThrough;

    bool operator==(const ShardRecord&) const = default;
};

std::string encodeShardRecord(const ShardRecord&);

/// \throws InvalidInputError if \p text was not written by encodeShardRecord().
ShardRecord decodeShardRecord(const std::string& text);

/// Key of a shard's record in the key-value service.
std::string shardRecordKey(ShardId);

/// Excludes every owner with a lower tag from the holder.
struct SealRequest {
    OwnerTag tag;

    bool operator==(const SealRequest&) const = default;
};

/// Reads entries of a log that \p tag has sealed.
struct ReadRequest {
    OwnerTag tag;
    std::uint64_t from = 0;

    bool operator==(const ReadRequest&) const = default;
};

/// Keeps the first \p keep entries of the log and replaces the rest, in one or more chunks.
///
/// Chunks are kept apart until \p last was taken: a copy that breaks off leaves the log as it was.
struct SyncRequest {
    OwnerTag tag;
    LogPosition position;
    std::uint64_t keep = 0;
    /// Index of the first entry of this chunk; equal to \p keep in the first one.
    std::uint64_t from = 0;
    std::vector<std::string> entries;
    /// Pairs that a candidate without the key-value service must reach as well.
    std::set<HolderSet> pairs;
    /// Whether the holder forgets the pairs that it knew before.
    bool replacesPairs = false;
    bool last = true;

    bool operator==(const SyncRequest&) const = default;
};

/// Adds entries from \p index on to a log that is at \p position; what the log has already is skipped.
struct AppendRequest {
    LogPosition position;
    std::uint64_t index = 0;
    std::vector<std::string> entries;

    bool operator==(const AppendRequest&) const = default;
};

/// Notes that \p pair may soon count, before it does.
struct MarkRequest {
    OwnerTag tag;
    HolderSet pair;

    bool operator==(const MarkRequest&) const = default;
};

/// What an owner asks of a holder, for one shard.
using HolderRequest = std::variant<SealRequest, ReadRequest, SyncRequest, AppendRequest, MarkRequest>;

/// Answer of a holder. Entries are filled for ReadRequest only.
struct HolderReply {
    /// False if a higher tag has sealed the shard, or the request does not fit the log.
    bool accepted = false;
    /// Highest tag that the holder has seen for the shard.
    OwnerTag highest;
    /// Whether the holder was ever synchronized; an emptied one was not.
    bool initialized = false;
    LogPosition position;
    std::uint64_t length = 0;
    std::set<HolderSet> pairs;
    std::vector<std::string> entries;

    bool operator==(const HolderReply&) const = default;
};

/// CBOR forms for peer links. \throws InvalidInputError on input of another shape.
std::string encodeHolderRequest(ShardId, const HolderRequest&);
std::pair<ShardId, HolderRequest> decodeHolderRequest(std::string_view bytes);
std::string encodeHolderReply(const HolderReply&);
HolderReply decodeHolderReply(std::string_view bytes);

} // namespace basilpoint
