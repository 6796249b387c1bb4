#include "basilpoint/Fleet/ShardPlacement.h"

#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <cstring>
#include <set>
#include <tuple>

namespace basilpoint {

/// Percentage by which a daemon's shards may exceed the average. A higher one moves fewer shards when members change.
static constexpr std::uint64_t slackPercent = 25;

namespace {

    /// A daemon or a holder in the ranking of a shard.
    struct Candidate {
        const MemberInfo* member;
        std::uint64_t hash;
    };

    struct Proposal {
        std::uint64_t weight;
        std::uint64_t shard;

        auto operator<=>(const Proposal&) const = default;
    };

    /// Candidate owners of one shard, best first; sorted only as far as needed.
    class Ranking {
    public:
        Ranking(const std::vector<Candidate>& owners, std::uint64_t shard);

        /// Index of the next best owner, and the shard's weight for it.
        std::pair<std::size_t, std::uint64_t> next();

    private:
        static constexpr std::size_t sortStep = 16;

        std::vector<std::pair<std::uint64_t, std::size_t>> m_weights;
        std::size_t m_taken = 0;
        std::size_t m_sorted = 0;
    };

} // namespace

static std::uint64_t weightOf(std::uint64_t candidateHash, std::uint64_t shard)
{
    char buf[sizeof shard];
    std::memcpy(buf, &shard, sizeof shard);
    return hash64({ buf, sizeof buf }, candidateHash);
}

Ranking::Ranking(const std::vector<Candidate>& owners, std::uint64_t shard)
{
    m_weights.reserve(owners.size());
    for (std::size_t n = 0; n < owners.size(); ++n)
        m_weights.emplace_back(weightOf(owners[n].hash, shard), n);
}

std::pair<std::size_t, std::uint64_t> Ranking::next()
{
    if (m_taken == m_sorted) {
        m_sorted = std::min(m_sorted + sortStep, m_weights.size());
        std::partial_sort(m_weights.begin() + static_cast<std::ptrdiff_t>(m_taken), m_weights.begin() + static_cast<std::ptrdiff_t>(m_sorted), m_weights.end(), std::greater<>());
    }
    auto [weight, owner] = m_weights[m_taken++];
    return { owner, weight };
}

static std::uint64_t ownerBound(std::uint64_t shards, std::uint64_t owners)
{
    return (shards * (100 + slackPercent) + 100 * owners - 1) / (100 * owners);
}

/// Assigns each shard the index of an owner by deferred acceptance (Gale-Shapley): a shard proposes to owners from the
/// best one on, and an owner beyond its bound rejects the shard of least weight. The result does not depend on the
/// order of shards, and a change of one member affects only shards that compete for its capacity.
static std::vector<std::size_t> assignOwners(const std::vector<Candidate>& owners, std::uint64_t shardCount)
{
    std::uint64_t bound = ownerBound(shardCount, owners.size());
    std::vector<Ranking> rankings;
    std::vector<std::size_t> assigned(shardCount);
    std::vector<std::set<Proposal>> accepted(owners.size());
    for (std::uint64_t shard = 0; shard < shardCount; ++shard)
        rankings.emplace_back(owners, shard);
    for (std::uint64_t first = 0; first < shardCount; ++first) {
        std::uint64_t waiting = first;
        bool displaced = true;
        while (displaced) {
            auto [owner, weight] = rankings[waiting].next();
            assigned[waiting] = owner;
            accepted[owner].insert({ weight, waiting });
            displaced = accepted[owner].size() > bound;
            if (displaced)
                waiting = accepted[owner].extract(accepted[owner].begin()).value().shard;
        }
    }
    return assigned;
}

/// Best holder other than \p first. Prefers, in this order, another data centre than \p first, a disk, and another
/// instance than the owner's, whose loss would take the owner and a copy at once.
static const MemberInfo* bestHolder(const std::vector<Candidate>& holders, std::uint64_t shard, const MemberInfo& owner, const MemberInfo* first)
{
    const MemberInfo* best = nullptr;
    std::tuple<bool, bool, bool> bestRank;
    std::uint64_t bestWeight = 0;
    for (const auto& [member, hash] : holders) {
        if (member == first)
            continue;
        bool elsewhere = first && member->dataCentre != first->dataCentre;
        std::tuple rank(elsewhere, member->durable, member->id != owner.id);
        // Compare ranks first: this rejects most candidates before the expensive hash.
        if (best && rank < bestRank)
            continue;
        std::uint64_t weight = weightOf(hash, shard);
        if (best && rank == bestRank && weight < bestWeight)
            continue;
        best = member;
        bestRank = rank;
        bestWeight = weight;
    }
    return best;
}

static std::vector<HolderId> chooseHolders(const std::vector<Candidate>& holders, std::uint64_t shard, const MemberInfo& owner)
{
    const MemberInfo* first = bestHolder(holders, shard, owner, nullptr);
    if (!first)
        return {};
    const MemberInfo* second = bestHolder(holders, shard, owner, first);
    if (!second)
        return { first->holder };
    return { first->holder, second->holder };
}

std::map<ShardId, ShardAssignment> placeShards(const std::vector<MemberInfo>& members, std::uint64_t shardCount)
{
    std::vector<Candidate> owners;
    std::vector<Candidate> holders;
    for (const MemberInfo& member : members) {
        // Suspected members keep their shards, since most suspicions are refuted within seconds.
        if (member.state == MemberState::Dead || member.state == MemberState::Leaving)
            continue;
        owners.push_back({ &member, hash64(member.id.text()) });
        if (!member.holder.empty())
            holders.push_back({ &member, hash64(member.holder.text()) });
    }
    std::map<ShardId, ShardAssignment> assignments;
    if (owners.empty())
        return assignments;
    std::vector<std::size_t> assigned = assignOwners(owners, shardCount);
    for (std::uint64_t shard = 0; shard < shardCount; ++shard) {
        const MemberInfo& owner = *owners[assigned[shard]].member;
        assignments.emplace(ShardId(shard), ShardAssignment { owner.id, chooseHolders(holders, shard, owner) });
    }
    return assignments;
}

} // namespace basilpoint
