#pragma once

#include "StoreClient.h"

#include "basilpoint/Support/Random.h"

namespace basilpoint {

/// Keys to follow.
struct WatchedKeys {
    std::string prefix;
    /// Longest wait of one call, and so how late a cut watch is noticed.
    Milliseconds wait { 1'200 };
};

/// Follows keys for the life of the process: reads them all, then each change, and
/// starts anew whenever the watch breaks.
void watchStore(StoreClient&, RandomEngine&, const WatchedKeys&, const std::function<void(const std::vector<KeyValue>&)>& onAll, const KeyValueStore::ChangeHandler& onChange);

} // namespace basilpoint
