#pragma once

#include "basilpoint/Shard/Types.h"

#include <optional>
#include <unordered_map>

namespace basilpoint {

/// Operation that a holder writes to storage before it replies. Replaying all operations in order rebuilds its state.
struct StorageOp {
    ShardId shard;
    /// Requests of owners with a lower tag are refused.
    OwnerTag seal;
    bool initialized = false;
    LogVersion version;
    /// Pairs of holders that a take-over without the key-value service must seal as well.
    std::set<HolderSet> pairs;
    /// If set, the log is first truncated to this many entries.
    std::optional<std::uint64_t> truncateTo;
    /// Entries to append to the log.
    std::vector<std::string> entries;

    bool operator==(const StorageOp&) const = default;
};

/// CBOR encoding for the journal's files. Decoding throws InvalidInputError on malformed input.
std::string encodeStorageOp(const StorageOp&);
StorageOp decodeStorageOp(std::string_view bytes);

/// Result of one request. The reply must not be sent before the operation is on storage.
struct HolderDecision {
    HolderReply reply;
    /// Empty if the reply is a refusal or the result of a read. A repeated request gets an operation that changes nothing:
    /// operations reach storage in order, so its reply waits for that of the first request, which may still be outstanding.
    std::optional<StorageOp> op;
};

/// Logs of all shards that one holder stores, in memory. Serves the requests of ShardOwner; does no I/O.
class JournalHolder {
public:
    /// \param replyBytes approximate limit for the entries in the reply to one ReadRequest.
    explicit JournalHolder(HolderId, std::size_t replyBytes = 256 * 1024);

    const HolderId& id() const { return m_id; }

    /// Handles \p request; the state in memory changes at once.
    HolderDecision handle(ShardId, const HolderRequest& request);

    /// Applies an operation that was read from storage at start-up.
    void replay(const StorageOp&);

    /// Operations that rebuild the current state, one for each shard.
    std::vector<StorageOp> snapshot() const;

    std::size_t shardCount() const { return m_shards.size(); }

private:
    /// Chunks of an incomplete synchronization; kept in memory only.
    struct StagedLog {
        LogVersion version;
        std::uint64_t keep = 0;
        std::vector<std::string> entries;
    };

    struct ShardLog {
        OwnerTag seal;
        bool initialized = false;
        LogVersion version;
        std::set<HolderSet> pairs;
        std::vector<std::string> entries;
        std::optional<StagedLog> staged;
    };

    HolderDecision decide(ShardId, ShardLog&, const SealRequest&);
    HolderDecision decide(ShardId, ShardLog&, const ReadRequest&) const;
    HolderDecision decide(ShardId, ShardLog&, const SyncRequest&);
    HolderDecision decide(ShardId, ShardLog&, const AppendRequest&);
    HolderDecision decide(ShardId, ShardLog&, const AddPairRequest&);

    static bool stage(ShardLog&, const SyncRequest&);
    static HolderDecision completeSync(ShardId, ShardLog&, const SyncRequest&);
    static HolderReply reply(const ShardLog&, bool accepted);
    static StorageOp operation(ShardId, const ShardLog&);

    HolderId m_id;
    std::size_t m_replyBytes;
    std::unordered_map<ShardId, ShardLog> m_shards;
};

} // namespace basilpoint
