#include "StoreWatch.h"

#include "basilpoint/Net/FiberSignal.h"

#include <algorithm>

namespace basilpoint {

// A watch can be cut without a sign. What it reports must be known within two seconds, so no call waits longer.
static constexpr Milliseconds watchWait { 1'400 };
// Pauses between tries double up to the longest, which bounds how late a recovery is noticed.
static constexpr Milliseconds shortestPause { 50 };
static constexpr Milliseconds longestPause { 400 };

void watchStore(StoreClient& store, RandomEngine& random, const std::string& prefix, const std::function<void(const std::vector<KeyValue>&)>& onAll, const KeyValueStore::ChangeHandler& onChange)
{
    Milliseconds pause = shortestPause;
    for (;;) {
        try {
            KeySnapshot snapshot = store.snapshot(prefix, ReadMode::Current);
            onAll(snapshot.items);
            pause = shortestPause;
            for (std::int64_t after = snapshot.revision;;)
                after = store.awaitChanges(prefix, after, watchWait, onChange);
        } catch (const KeyValueUnavailableError&) {
            // The client logs each loss of the store once; a broken watch alone is no loss.
            pause = std::min(pause * 2, longestPause);
        }
        std::uniform_real_distribution<double> jitter(0.5, 1);
        sleepFiber(std::chrono::duration_cast<Milliseconds>(pause * jitter(random)));
    }
}

} // namespace basilpoint
