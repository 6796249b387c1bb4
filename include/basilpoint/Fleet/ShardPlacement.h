#pragma once

#include "basilpoint/Fleet/Membership.h"

#include <map>

namespace basilpoint {

/// Where a shard belongs.
struct ShardAssignment {
    InstanceId owner;
    /// Two holders in different data centres where there are any.
    std::vector<HolderId> holders;

    bool operator==(const ShardAssignment&) const = default;
};

/// Places all shards by rendezvous hashing with a bound on shards per daemon.
///
/// A function of its arguments alone: daemons with the same members come to the same result, and
/// a change of members moves few shards beyond those that must move.
std::map<ShardId, ShardAssignment> placeShards(const std::vector<MemberInfo>& members, std::uint64_t shardCount);

} // namespace basilpoint
