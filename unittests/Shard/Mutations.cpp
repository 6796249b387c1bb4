#include "ShardCluster.h"

#include <algorithm>

namespace basilpoint::test {

static constexpr ShardId shard { 7 };

/// Reply of \p holder to \p request, without changing the holder.
static HolderReply peek(const JournalHolder& holder, const HolderRequest& request)
{
    JournalHolder copy = holder;
    return copy.handle(shard, request).reply;
}

static HolderReply currentReply(const JournalHolder& holder)
{
    return peek(holder, ReadRequest {});
}

static HolderReply peekSealed(const JournalHolder& holder, const OwnerTag& tag, const HolderRequest& request)
{
    JournalHolder copy = holder;
    copy.handle(shard, SealRequest { tag });
    return copy.handle(shard, request).reply;
}

bool ShardCluster::isStoredElsewhere(const HolderSlot& slot, const AppendRequest& append) const
{
    return std::any_of(m_holderSlots.begin(), m_holderSlots.end(), [&](const HolderSlot& it) {
        if (&it == &slot)
            return false;
        HolderReply other = currentReply(*it.holder);
        return other.version == append.version && other.length >= append.index + append.entries.size();
    });
}

std::optional<HolderReply> ShardCluster::fakeReply(const HolderSlot& slot, const HolderRequest& request) const
{
    const auto* seal = std::get_if<SealRequest>(&request);
    const auto* read = std::get_if<ReadRequest>(&request);
    if (m_settings.mutation == Mutation::SealingSkipped && (seal || read))
        return peekSealed(*slot.holder, seal ? seal->tag : read->tag, request);
    if (m_settings.mutation == Mutation::PairNotAdded && std::holds_alternative<AddPairRequest>(request))
        return peek(*slot.holder, request);
    const auto* append = std::get_if<AppendRequest>(&request);
    if (m_settings.mutation == Mutation::OneHolderAcknowledges && append && isStoredElsewhere(slot, *append))
        return HolderReply { true, append->version.tag, true, append->version, append->index + append->entries.size(), {}, {} };
    return {};
}

void ShardCluster::mutateRequest(const HolderSlot& slot, HolderRequest& request) const
{
    auto* append = std::get_if<AppendRequest>(&request);
    if (m_settings.mutation == Mutation::EpochNotCompared && append) {
        HolderReply current = currentReply(*slot.holder);
        if (append->index <= current.length && current.version.tag == current.highest)
            append->version = current.version;
    }
    auto* sync = std::get_if<SyncRequest>(&request);
    if (m_settings.mutation == Mutation::PairNotAdded && sync && currentReply(*slot.holder).initialized)
        sync->pairs.clear();
}

HolderReply ShardCluster::mutateReply(const HolderRequest& request, HolderReply reply) const
{
    if (m_settings.mutation == Mutation::PairsNotSealed)
        reply.pairs.clear();
    if (m_settings.mutation == Mutation::EmptiedHolderAccepted)
        reply.initialized = true;
    if (m_settings.mutation == Mutation::LogsComparedByLength && std::holds_alternative<SealRequest>(request))
        reply.version = { { Epoch(1), {} }, 0 };
    const auto* append = std::get_if<AppendRequest>(&request);
    if (m_settings.mutation == Mutation::EpochNotCompared && append && reply.accepted)
        reply.version = append->version;
    return reply;
}

} // namespace basilpoint::test
