#pragma once

#include "EnvironmentStore.h"

#include <string>
#include <vector>

namespace basilpoint {

/// How commands print.
struct OutputOptions {
    bool json = false;
    /// Revision that the operator edited, from --base; empty if not given.
    std::optional<Revision> base;
};

/// Runs `env VERB ...`. \param words the words after "env".
/// \throws InvalidInputError for a command that is not known.
void runEnvCommand(KeyValueStore&, const std::vector<std::string>& words, const OutputOptions&);

} // namespace basilpoint
