#include "ShardCluster.h"

#include <algorithm>

namespace basilpoint::test {

static constexpr ShardId shard { 7 };

/// What \p holder would answer, without effect on it.
static HolderReply peek(const JournalHolder& holder, const HolderRequest& request)
{
    JournalHolder copy = holder;
    return copy.handle(shard, request).reply;
}

static HolderReply present(const JournalHolder& holder)
{
    return peek(holder, ReadRequest {});
}

static HolderReply peekSealed(const JournalHolder& holder, const OwnerTag& tag, const HolderRequest& request)
{
    JournalHolder copy = holder;
    copy.handle(shard, SealRequest { tag });
    return copy.handle(shard, request).reply;
}

bool ShardCluster::isStoredElsewhere(const Place& place, const AppendRequest& append) const
{
    return std::any_of(m_places.begin(), m_places.end(), [&](const Place& it) {
        if (&it == &place)
            return false;
        HolderReply other = present(*it.holder);
        return other.position == append.position && other.length >= append.index + append.entries.size();
    });
}

std::optional<HolderReply> ShardCluster::fabricate(const Place& place, const HolderRequest& request) const
{
    const auto* seal = std::get_if<SealRequest>(&request);
    const auto* read = std::get_if<ReadRequest>(&request);
    if (m_settings.mutation == Mutation::SealingSkipped && (seal || read))
        return peekSealed(*place.holder, seal ? seal->tag : read->tag, request);
    if (m_settings.mutation == Mutation::NoMark && std::holds_alternative<MarkRequest>(request))
        return peek(*place.holder, request);
    const auto* append = std::get_if<AppendRequest>(&request);
    if (m_settings.mutation == Mutation::OneHolderEnough && append && isStoredElsewhere(place, *append))
        return HolderReply { true, append->position.tag, true, append->position, append->index + append->entries.size(), {}, {} };
    return {};
}

void ShardCluster::mutateRequest(const Place& place, HolderRequest& request) const
{
    auto* append = std::get_if<AppendRequest>(&request);
    if (m_settings.mutation == Mutation::EpochNotCompared && append) {
        HolderReply now = present(*place.holder);
        if (append->index <= now.length && now.position.tag == now.highest)
            append->position = now.position;
    }
    auto* sync = std::get_if<SyncRequest>(&request);
    if (m_settings.mutation == Mutation::NoMark && sync && present(*place.holder).initialized)
        sync->pairs.clear();
}

HolderReply ShardCluster::mutateReply(const HolderRequest& request, HolderReply reply) const
{
    if (m_settings.mutation == Mutation::NoClosure)
        reply.pairs.clear();
    if (m_settings.mutation == Mutation::EmptiedHolderCounted)
        reply.initialized = true;
    if (m_settings.mutation == Mutation::LengthAlone && std::holds_alternative<SealRequest>(request))
        reply.position = { { Epoch(1), {} }, 0 };
    const auto* append = std::get_if<AppendRequest>(&request);
    if (m_settings.mutation == Mutation::EpochNotCompared && append && reply.accepted)
        reply.position = append->position;
    return reply;
}

} // namespace basilpoint::test
