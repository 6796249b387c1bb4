#pragma once

#include "EnvironmentStore.h"

#include <string>
#include <vector>

namespace basilpoint {

/// Options of the commands, from flags before the command.
struct OutputOptions {
    /// Print JSON instead of tables and text.
    bool json = false;
    /// Revision that the edit is based on, from --base; empty if not given.
    std::optional<Revision> base;
};

/// Runs `env VERB ...`. \param arguments the verb and its arguments.
/// \throws InvalidInputError for an unknown verb or a wrong number of arguments.
void runEnvCommand(KeyValueStore&, const std::vector<std::string>& arguments, const OutputOptions&);

} // namespace basilpoint
