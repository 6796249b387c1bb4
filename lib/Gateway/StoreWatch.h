#pragma once

#include "StoreClient.h"

#include "basilpoint/Support/Random.h"

namespace basilpoint {

/// Follows the keys below \p prefix for the life of the process: reads them all, then each change, and
/// starts anew whenever the watch breaks.
void watchStore(StoreClient&, RandomEngine&, const std::string& prefix, const std::function<void(const std::vector<KeyValue>&)>& onAll, const KeyValueStore::ChangeHandler& onChange);

} // namespace basilpoint
