#pragma once

#include "basilpoint/Support/Endpoint.h"
#include "basilpoint/Support/Ids.h"

#include <optional>

namespace basilpoint {

/// Where requests of a shard go.
struct ShardRoute {
    /// Whether this daemon is the one.
    bool local = false;
    InstanceId owner;
    /// Address for callers of the owner.
    Endpoint callers;
};

/// Finds the daemon that owns a shard, or will in a moment.
class ShardDirectory {
public:
    virtual ~ShardDirectory() = default;

    /// Empty while no daemon is known.
    virtual std::optional<ShardRoute> route(ShardId) const = 0;
};

} // namespace basilpoint
