#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstdint>
#include <set>

namespace basilpoint {

/// Cost of delivering one document to all daemons.
struct DeliveryResult {
    std::uint64_t messages = 0;
    std::chrono::nanoseconds timeToLast { 0 };
};

/// Simulates delivering one document down a tree of \p count daemons, each with \p arity children, on a network with
/// the given loss. Each hop is acknowledged and repeated every 500 ms. A child that does not answer three times is
/// skipped and its parent serves its children, like XEvent's forwarding around failed nodes. \p failed daemons do not
/// run, and the others do not know it yet.
DeliveryResult deliverByTree(std::size_t count, std::size_t arity, double loss, const std::set<std::size_t>& failed, std::uint64_t seed);

} // namespace basilpoint
