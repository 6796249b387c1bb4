#pragma once

#include "basilpoint/Daemon/Filter.h"

namespace basilpoint {

/// Operation that \p request names by its method, path and headers.
/// \throws RouteNotFoundError, InvalidInputError.
Operation parseOperation(const HttpRequest& request);

/// Program of \p operation, or null for one that has none yet.
const ProgramId* programOf(const Operation& operation);

/// Shard that minted \p program.
/// \throws InvalidInputError if the id was not minted by a daemon.
ShardId shardOf(const ProgramId& program);

} // namespace basilpoint
