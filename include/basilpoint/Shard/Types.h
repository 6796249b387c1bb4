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

/// Identifies one term of ownership. The owner's id breaks the tie between two owners of the same epoch, of
/// which one took it through the key-value service and the other without it.
struct OwnerTag {
    Epoch epoch;
    InstanceId owner;

    auto operator<=>(const OwnerTag&) const = default;
};

/// Version of a log's contents: the term that last synchronized the log, and the number of the synchronization
/// within that term. Logs compare by version, then by length; logs of the same version are prefixes of each other.
struct LogVersion {
    OwnerTag tag;
    std::uint64_t syncNumber = 0;

    auto operator<=>(const LogVersion&) const = default;
};

/// Holders that must all store an entry, in ascending order; two of them, or one where there is a single daemon.
using HolderSet = std::vector<HolderId>;

/// Number of holders of a shard where there is more than one daemon.
constexpr std::size_t holdersPerShard = 2;

/// Record of a shard in the key-value service; changed only by compare-and-swap.
struct ShardRecord {
    Epoch epoch;
    InstanceId owner;
    HolderSet holders;
    /// Unique for each write; tells after a lost answer whether the write took effect.
    std::string writeId;
    /// The journals of programs of this epoch and earlier are lost; zero if none are.
    Epoch lostThrough;

    bool operator==(const ShardRecord&) const = default;
};

std::string encodeShardRecord(const ShardRecord&);

/// \throws InvalidInputError if \p text was not written by encodeShardRecord().
ShardRecord decodeShardRecord(const std::string& text);

/// Key of a shard's record in the key-value service.
std::string shardRecordKey(ShardId);

/// Makes the holder refuse the requests of every owner with a lower tag.
struct SealRequest {
    OwnerTag tag;

    bool operator==(const SealRequest&) const = default;
};

/// Reads the entries, from index \p from on, of a log that \p tag has sealed.
struct ReadRequest {
    OwnerTag tag;
    std::uint64_t from = 0;

    bool operator==(const ReadRequest&) const = default;
};

/// Keeps the first \p keep entries of the log and replaces the rest, in one or more chunks.
///
/// Chunks are staged until the one marked \p last arrives: an interrupted copy leaves the log unchanged.
struct SyncRequest {
    OwnerTag tag;
    LogVersion version;
    std::uint64_t keep = 0;
    /// Index of the first entry of this chunk; equal to \p keep in the first one.
    std::uint64_t from = 0;
    std::vector<std::string> entries;
    /// Pairs of holders that a take-over without the key-value service must seal as well.
    std::set<HolderSet> pairs;
    /// Whether \p pairs replace the pairs stored by the holder instead of extending them.
    bool replacesPairs = false;
    bool last = true;

    bool operator==(const SyncRequest&) const = default;
};

/// Appends entries from \p index on to a log of version \p version; entries that the log already has are skipped.
struct AppendRequest {
    LogVersion version;
    std::uint64_t index = 0;
    std::vector<std::string> entries;

    bool operator==(const AppendRequest&) const = default;
};

/// Stores \p pair before a change of holders can make it the holders of the shard.
struct AddPairRequest {
    OwnerTag tag;
    HolderSet pair;

    bool operator==(const AddPairRequest&) const = default;
};

/// Request of an owner to a holder, for one shard.
using HolderRequest = std::variant<SealRequest, ReadRequest, SyncRequest, AppendRequest, AddPairRequest>;

/// Reply of a holder. \p entries is filled for ReadRequest only.
struct HolderReply {
    /// False if a higher tag has sealed the log, or the request does not match the log.
    bool accepted = false;
    /// Highest tag that the holder has seen for the shard.
    OwnerTag highest;
    /// Whether the log was ever synchronized; false at a holder that was emptied.
    bool initialized = false;
    LogVersion version;
    std::uint64_t length = 0;
    /// Pairs of holders stored by SyncRequest and AddPairRequest.
    std::set<HolderSet> pairs;
    std::vector<std::string> entries;

    bool operator==(const HolderReply&) const = default;
};

/// CBOR encoding for messages between daemons. Decoding throws InvalidInputError on malformed input.
std::string encodeHolderRequest(ShardId, const HolderRequest&);
std::pair<ShardId, HolderRequest> decodeHolderRequest(std::string_view bytes);
std::string encodeHolderReply(const HolderReply&);
HolderReply decodeHolderReply(std::string_view bytes);

} // namespace basilpoint
