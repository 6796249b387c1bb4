#pragma once

#include "basilpoint/Program/Records.h"

namespace basilpoint {

/// Lookup key of an opening key, which is unique within its environment.
std::string openKeyOf(const ProgramOpened&);

/// Digest that a repeat of the opening request must match.
Digest requestDigest(const ProgramOpened&);

} // namespace basilpoint
