#include "StoreWatch.h"

#include "basilpoint/Net/FiberSignal.h"

#include <algorithm>

namespace basilpoint {

// Pauses between tries double up to the longest, which bounds how late a recovery is noticed.
static constexpr Milliseconds shortestPause { 50 };
static constexpr Milliseconds longestPause { 400 };

void watchStore(StoreClient& store, RandomEngine& random, const WatchedKeys& keys, const std::function<void(const std::vector<KeyValue>&)>& onAll, const KeyValueStore::ChangeHandler& onChange)
{
    Milliseconds pause = shortestPause;
    for (;;) {
        try {
            KeySnapshot snapshot = store.snapshot(keys.prefix, ReadMode::Current);
            onAll(snapshot.items);
            pause = shortestPause;
            for (std::int64_t after = snapshot.revision;;)
                after = store.awaitChanges(keys.prefix, after, keys.wait, onChange);
        } catch (const KeyValueUnavailableError&) {
            // The client logs each loss of the store once; a broken watch alone is no loss.
            pause = std::min(pause * 2, longestPause);
        }
        std::uniform_real_distribution<double> jitter(0.5, 1);
        sleepFiber(std::chrono::duration_cast<Milliseconds>(pause * jitter(random)));
    }
}

} // namespace basilpoint
