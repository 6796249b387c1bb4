#pragma once

#include "EnvCommand.h"

#include "basilpoint/Net/HttpClient.h"

namespace basilpoint {

/// Operator listeners of the daemons to call, and the bearer token to send.
struct DaemonAccess {
    std::vector<Endpoint> daemons;
    std::string token;
};

/// Runs `status`, `dump`, `explain PROGRAM` or `drain` against every daemon of \p access.
/// \returns the process's exit code: 1 if any daemon did not answer or answered with an error status.
int runDaemonCommand(HttpClient&, const DaemonAccess& access, const std::vector<std::string>& command, const OutputOptions&);

} // namespace basilpoint
