#pragma once

#include "basilpoint/Net/KeyValueStore.h"

#include <string>

namespace basilpoint {

/// Runs `env VERB FILE`. \returns the process's exit code.
int runEnvCommand(KeyValueStore&, const std::string& verb, const std::string& file);

} // namespace basilpoint
