#pragma once

#include "basilpoint/Forwarding/RouteTable.h"
#include "basilpoint/Gateway/WireFormat.h"
#include "basilpoint/Net/HttpTypes.h"
#include "basilpoint/Support/Hash.h"

namespace basilpoint {

/// Digest of what a caller sends again when it repeats a request: host, method, path, program, body, the turn that a kept turn
/// continues, and its organisation if it has one.
Digest contentOf(const HttpRequest&, const CallAttributes&, const ForwardingRoute&, const Organisation* = nullptr);

/// Digest of what makes requests repetitions of one another: path, body, the turn that a kept turn continues, and the caller's
/// organisation if it has one. Without a body also the program, since nothing else tells apart what different callers ask for.
Digest repetitionOf(const HttpRequest&, const CallAttributes&, const ForwardingRoute&, const Organisation* = nullptr);

} // namespace basilpoint
