#pragma once

#include "basilpoint/Program/Records.h"

namespace basilpoint {

/// Opening keys are unique within their environment.
std::string openKeyOf(const ProgramOpened&);

/// Digest that a repeat of the opening request must match.
Digest requestDigest(const ProgramOpened&);

} // namespace basilpoint
