#pragma once

#include "basilpoint/Fleet/Membership.h"

#include <map>

namespace basilpoint {

/// Owner and journal holders assigned to a shard.
struct ShardAssignment {
    InstanceId owner;
    /// Two holders, in different data centres if possible; fewer if fewer members have one.
    std::vector<HolderId> holders;

    bool operator==(const ShardAssignment&) const = default;
};

/// Assigns all shards by rendezvous hashing with a bound on the shards per daemon.
///
/// The result depends on the arguments only, so that daemons with the same members agree on it. A change of members
/// moves few shards beyond those that must move.
std::map<ShardId, ShardAssignment> placeShards(const std::vector<MemberInfo>& members, std::uint64_t shardCount);

} // namespace basilpoint
