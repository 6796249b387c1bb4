#include "StoreWatch.h"

#include "basilpoint/Net/FiberSignal.h"

#include <algorithm>

namespace basilpoint {

// Exponential delay between attempts. The upper limit bounds how late a recovery is noticed.
static constexpr Milliseconds minRetryDelay { 50 };
static constexpr Milliseconds maxRetryDelay { 400 };

void watchStore(StoreClient& store, RandomEngine& random, const WatchedKeys& keys, const std::function<void(const std::vector<KeyValue>&)>& onAll, const KeyValueStore::ChangeHandler& onChange)
{
    Milliseconds retryDelay = minRetryDelay;
    for (;;) {
        try {
            KeySnapshot snapshot = store.sharedSnapshot(keys.prefix);
            onAll(snapshot.items);
            retryDelay = minRetryDelay;
            for (std::int64_t after = snapshot.revision;;)
                after = store.awaitChanges(keys.prefix, after, keys.wait, onChange);
        } catch (const KeyValueUnavailableError&) {
            // The store client logs failures; a broken watch alone does not mean that the store is lost.
            retryDelay = std::min(retryDelay * 2, maxRetryDelay);
        }
        std::uniform_real_distribution<double> jitter(0.5, 1);
        sleepFiber(std::chrono::duration_cast<Milliseconds>(retryDelay * jitter(random)));
    }
}

} // namespace basilpoint
