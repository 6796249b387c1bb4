#pragma once

#include "basilpoint/Shard/Types.h"

#include <optional>
#include <unordered_map>

namespace basilpoint {

/// What a holder must make last before it answers. Replaying all of them rebuilds its state.
struct StorageOp {
    ShardId shard;
    /// Highest tag from here on.
    OwnerTag seal;
    bool initialized = false;
    LogPosition position;
    std::set<HolderSet> pairs;
    /// Cuts the log to this many entries first, if set.
    std::optional<std::uint64_t> truncateTo;
    /// Then adds these at the end.
    std::vector<std::string> entries;

    bool operator==(const StorageOp&) const = default;
};

/// CBOR forms for the journal's files.
std::string encodeStorageOp(const StorageOp&);
StorageOp decodeStorageOp(std::string_view bytes);

/// Decision of one holder: a request is answered only after the returned operation is on storage.
struct HolderDecision {
    HolderReply reply;
    /// Empty if the reply promises nothing. A repeated request gets an operation without change, as the
    /// first one may not be on storage yet; operations reach storage in order.
    std::optional<StorageOp> op;
};

/// Holder's side of all its shards' journals.
class JournalHolder {
public:
    /// \param replyBytes entries in the answer to one read take about this much.
    explicit JournalHolder(HolderId, std::size_t replyBytes = 256 * 1024);

    const HolderId& id() const { return m_id; }

    /// Decides on \p request and changes the state in memory at once.
    HolderDecision handle(ShardId, const HolderRequest& request);

    /// Takes over an operation that storage has, at start.
    void replay(const StorageOp&);

    /// Operations that rebuild the present state, for a snapshot.
    std::vector<StorageOp> snapshot() const;

    std::size_t shardCount() const { return m_shards.size(); }

private:
    /// Chunks of a synchronization that is not complete; in memory alone.
    struct StagedLog {
        LogPosition position;
        std::uint64_t keep = 0;
        std::vector<std::string> entries;
    };

    struct ShardLog {
        OwnerTag seal;
        bool initialized = false;
        LogPosition position;
        std::set<HolderSet> pairs;
        std::vector<std::string> entries;
        std::optional<StagedLog> staged;
    };

    HolderDecision decide(ShardId, ShardLog&, const SealRequest&);
    HolderDecision decide(ShardId, ShardLog&, const ReadRequest&) const;
    HolderDecision decide(ShardId, ShardLog&, const SyncRequest&);
    HolderDecision decide(ShardId, ShardLog&, const AppendRequest&);
    HolderDecision decide(ShardId, ShardLog&, const MarkRequest&);

    static bool stage(ShardLog&, const SyncRequest&);
    static HolderDecision completeSync(ShardId, ShardLog&, const SyncRequest&);
    static HolderReply reply(const ShardLog&, bool accepted);
    static StorageOp operation(ShardId, const ShardLog&);

    HolderId m_id;
    std::size_t m_replyBytes;
    std::unordered_map<ShardId, ShardLog> m_shards;
};

} // namespace basilpoint
