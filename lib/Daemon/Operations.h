#pragma once

#include "basilpoint/Daemon/Filter.h"

namespace basilpoint {

/// Parses the operation of \p request from its method, path and headers and, for a new program, its body.
/// \throws RouteNotFoundError, InvalidInputError.
Operation parseOperation(const HttpRequest& request, std::uint64_t shardCount);

/// Shard whose owner handles \p operation.
ShardId shardOf(const Operation& operation);

/// Program of \p operation, or null if the operation opens a program.
const ProgramId* programOf(const Operation& operation);

/// Epoch in which \p program was created.
/// \throws InvalidInputError if the id does not have the format of a daemon's ids.
Epoch epochOf(const ProgramId& program);

/// Shard that created \p program.
/// \throws InvalidInputError if the id does not have the format of a daemon's ids.
ShardId shardOf(const ProgramId& program);

} // namespace basilpoint
