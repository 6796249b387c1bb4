#pragma once

#include <random>
#include <string>

namespace basilpoint {

/// Random number generator that callers seed and pass to all randomized code, so that runs are repeatable.
using RandomEngine = std::mt19937_64;

/// \returns a random string of \p digits hexadecimal digits.
std::string randomHex(RandomEngine&, unsigned digits);

} // namespace basilpoint
