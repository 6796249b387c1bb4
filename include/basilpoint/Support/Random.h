#pragma once

#include <random>
#include <string>

namespace basilpoint {

/// Generator passed into every decision that draws; seeded by the caller.
using RandomEngine = std::mt19937_64;

/// Draws an identifier of \p digits hexadecimal digits.
std::string randomHex(RandomEngine&, unsigned digits);

} // namespace basilpoint
