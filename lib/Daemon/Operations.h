#pragma once

#include "basilpoint/Daemon/Filter.h"

namespace basilpoint {

/// Operation that \p request names by its method, path, headers and, for a new program, its parent.
/// \throws RouteNotFoundError, InvalidInputError.
Operation parseOperation(const HttpRequest& request, std::uint64_t shardCount);

/// Shard whose owner decides on \p operation.
ShardId shardOf(const Operation& operation);

/// Program of \p operation, or null for one that has none yet.
const ProgramId* programOf(const Operation& operation);

/// Epoch in which \p program was minted.
/// \throws InvalidInputError if the id was not minted by a daemon.
Epoch epochOf(const ProgramId& program);

/// Shard that minted \p program.
/// \throws InvalidInputError if the id was not minted by a daemon.
ShardId shardOf(const ProgramId& program);

} // namespace basilpoint
