#pragma once

#include "basilpoint/Support/Endpoint.h"
#include "basilpoint/Support/Ids.h"

#include <optional>

namespace basilpoint {

/// Destination of the requests for a shard.
struct ShardRoute {
    /// Whether the shard is assigned to this daemon.
    bool local = false;
    InstanceId owner;
    /// The owner's address for callers; empty if the route is local.
    Endpoint callers;
};

/// Finds the daemon to which a shard is assigned, which may still be taking it over.
class ShardDirectory {
public:
    virtual ~ShardDirectory() = default;

    /// Empty if no daemon is known.
    virtual std::optional<ShardRoute> route(ShardId) const = 0;
};

} // namespace basilpoint
