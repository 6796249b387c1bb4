#include "basilpoint/Shard/JournalHolder.h"

#include <algorithm>

namespace basilpoint {

JournalHolder::JournalHolder(HolderId id, std::size_t replyBytes)
    : m_id(std::move(id))
    , m_replyBytes(replyBytes)
{
}

HolderDecision JournalHolder::handle(ShardId shard, const HolderRequest& request)
{
    ShardLog& log = m_shards[shard];
    return std::visit([&](const auto& it) { return decide(shard, log, it); }, request);
}

HolderDecision JournalHolder::decide(ShardId shard, ShardLog& log, const SealRequest& request)
{
    if (request.tag < log.seal)
        return { reply(log, false), {} };
    log.seal = request.tag;
    return { reply(log, true), operation(shard, log) };
}

HolderDecision JournalHolder::decide(ShardId, ShardLog& log, const ReadRequest& request) const
{
    bool accepted = request.tag == log.seal && request.from <= log.entries.size();
    HolderReply result = reply(log, accepted);
    std::size_t bytes = 0;
    for (std::size_t n = request.from; accepted && n < log.entries.size() && bytes < m_replyBytes; ++n) {
        result.entries.push_back(log.entries[n]);
        bytes += log.entries[n].size();
    }
    return { std::move(result), {} };
}

HolderDecision JournalHolder::decide(ShardId shard, ShardLog& log, const SyncRequest& request)
{
    if (request.tag < log.seal || request.version < log.version)
        return { reply(log, false), {} };
    // A late duplicate must not undo the appends made since the first request.
    if (log.initialized && request.version == log.version)
        return { reply(log, true), operation(shard, log) };
    if (!stage(log, request))
        return { reply(log, false), {} };
    log.seal = request.tag;
    if (request.last)
        return completeSync(shard, log, request);
    return { reply(log, true), operation(shard, log) };
}

bool JournalHolder::stage(ShardLog& log, const SyncRequest& request)
{
    if (request.keep > log.entries.size())
        return false;
    if (log.staged && request.version < log.staged->version)
        return false;
    if (request.from == request.keep)
        log.staged = StagedLog { request.version, request.keep, {} };
    // A restart drops the staged chunks; a later chunk must not be joined to the old log.
    if (!log.staged || log.staged->version != request.version || log.staged->keep != request.keep)
        return false;
    if (request.from != log.staged->keep + log.staged->entries.size())
        return false;
    log.staged->entries.insert(log.staged->entries.end(), request.entries.begin(), request.entries.end());
    return true;
}

HolderDecision JournalHolder::completeSync(ShardId shard, ShardLog& log, const SyncRequest& request)
{
    StagedLog staged = std::move(*log.staged);
    log.staged.reset();
    log.entries.resize(staged.keep);
    log.entries.insert(log.entries.end(), staged.entries.begin(), staged.entries.end());
    log.initialized = true;
    log.version = staged.version;
    if (request.replacesPairs)
        log.pairs.clear();
    log.pairs.insert(request.pairs.begin(), request.pairs.end());
    StorageOp op = operation(shard, log);
    op.truncateTo = staged.keep;
    op.entries = std::move(staged.entries);
    return { reply(log, true), std::move(op) };
}

HolderDecision JournalHolder::decide(ShardId shard, ShardLog& log, const AppendRequest& request)
{
    // Comparing the tag is not enough: the index of an append sent before a compaction may fit the compacted log.
    bool fits = log.initialized && request.version.tag == log.seal && request.version == log.version && request.index <= log.entries.size();
    if (!fits)
        return { reply(log, false), {} };
    StorageOp op = operation(shard, log);
    // Within one version an index always denotes the same entry, so entries that the log already has need no comparison.
    std::size_t known = std::min<std::size_t>(log.entries.size() - request.index, request.entries.size());
    op.entries.assign(request.entries.begin() + static_cast<std::ptrdiff_t>(known), request.entries.end());
    log.entries.insert(log.entries.end(), op.entries.begin(), op.entries.end());
    return { reply(log, true), std::move(op) };
}

HolderDecision JournalHolder::decide(ShardId shard, ShardLog& log, const AddPairRequest& request)
{
    if (request.tag != log.seal)
        return { reply(log, false), {} };
    log.pairs.insert(request.pair);
    return { reply(log, true), operation(shard, log) };
}

HolderReply JournalHolder::reply(const ShardLog& log, bool accepted)
{
    return { accepted, log.seal, log.initialized, log.version, log.entries.size(), log.pairs, {} };
}

StorageOp JournalHolder::operation(ShardId shard, const ShardLog& log)
{
    return { shard, log.seal, log.initialized, log.version, log.pairs, {}, {} };
}

void JournalHolder::replay(const StorageOp& op)
{
    ShardLog& log = m_shards[op.shard];
    log.seal = op.seal;
    log.initialized = op.initialized;
    log.version = op.version;
    log.pairs = op.pairs;
    if (op.truncateTo)
        log.entries.resize(*op.truncateTo);
    log.entries.insert(log.entries.end(), op.entries.begin(), op.entries.end());
}

std::vector<StorageOp> JournalHolder::snapshot() const
{
    std::vector<StorageOp> ops;
    ops.reserve(m_shards.size());
    for (const auto& [shard, log] : m_shards) {
        StorageOp op = operation(shard, log);
        op.truncateTo = 0;
        op.entries = log.entries;
        ops.push_back(std::move(op));
    }
    return ops;
}

} // namespace basilpoint
