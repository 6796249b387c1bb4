#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstdint>
#include <set>

namespace basilpoint {

/// What one way of spreading a revision took.
struct SpreadResult {
    std::uint64_t messages = 0;
    std::chrono::nanoseconds timeToLast { 0 };
};

/// Sends one document down a tree over \p count daemons, each with \p arity children, on a network
/// with the given loss. Each hop is acknowledged and repeated every 500 ms; a child that does not
/// answer three times is skipped, and its children are served by its parent, as XEvent's forwarding
/// around failed nodes has it. \p failed daemons are gone and not yet known to be.
SpreadResult spreadByDeliveryTree(std::size_t count, std::size_t arity, double loss, const std::set<std::size_t>& failed, std::uint64_t seed);

} // namespace basilpoint
