#pragma once

#include "StoreClient.h"

#include "basilpoint/Support/Random.h"

namespace basilpoint {

/// Keys to watch.
struct WatchedKeys {
    std::string prefix;
    /// Longest wait of one call.
    Milliseconds wait = StoreClient::watchWait;
};

/// Watches keys until the process ends: reads all of them, then each change, and starts again whenever the watch fails.
void watchStore(StoreClient&, RandomEngine&, const WatchedKeys&, const std::function<void(const std::vector<KeyValue>&)>& onAll, const KeyValueStore::ChangeHandler& onChange);

} // namespace basilpoint
