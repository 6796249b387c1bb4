#pragma once

#include "EnvCommand.h"

#include "basilpoint/Net/HttpClient.h"

namespace basilpoint {

/// Operators' listeners to ask, and the token to show them.
struct DaemonAccess {
    std::vector<Endpoint> daemons;
    std::string token;
};

/// Runs `status`, `dump`, `explain PROGRAM` or `drain` against every daemon of \p access.
/// \returns the process's exit code: 1 if a daemon did not answer as it should.
int runDaemonCommand(HttpClient&, const DaemonAccess& access, const std::vector<std::string>& words, const OutputOptions&);

} // namespace basilpoint
