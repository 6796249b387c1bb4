#pragma once

#include "RelayedStore.h"

#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Gateway/StoreHealth.h"
#include "basilpoint/Gateway/StorePaths.h"
#include "basilpoint/Support/Metrics.h"

#include <functional>
#include <memory>
#include <optional>

namespace basilpoint {

/// Calls of a daemon to the key-value service, directly or by way of other daemons, with what they tell
/// of its health.
class StoreClient {
public:
    /// \param peers carries calls to other daemons; null if this client only calls directly.
    StoreClient(TransactionalStore& direct, HttpClient* peers, DataCentreId, const Clock&, JsonLog&, Metrics&);

    /// Daemons that may relay calls.
    void setRelays(const std::vector<RelayAddress>&);

    /// \p mark is written with a change of a program that goes past the keepers, which then do not know of it, unless
    /// one was stored shortly before.
    void onBypass(std::function<KeyWrite()> mark) { m_bypassMark = std::move(mark); }

    /// \throws KeyValueUnavailableError, as all calls do if no way led to the service.
    /// \param home data centre whose keeper commits, where there are many daemons.
    KeyTransactionResult commit(const KeyTransaction&, const DataCentreId& home = {});
    KeySnapshot snapshot(const std::string& prefix, ReadMode);
    std::optional<KeyValue> get(const std::string& key);
    /// Waits up to \p wait for changes after revision \p after. \returns the revision to go on from.
    std::int64_t awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, const KeyValueStore::ChangeHandler&);

    /// Records below \p prefix, newer than revision \p after, that a keeper remembers from what it committed; what is
    /// found is certain, more may exist. Empty if no keeper has any or answers.
    std::vector<KeyValue> recall(const std::string& prefix, std::int64_t after, const DataCentreId& home);

    /// Whether keepers should be asked before the store: it is slow or fails, or they are the nearest by far.
    bool prefersRecall() const { return isSlow() || hasManyDaemons(); }

    const StoreHealth& health() const { return m_health; }

    /// Whether keepers are quicker to ask than the store.
    bool isSlow() const;

    /// Whether there are too many daemons for one keeper, or for questions to all of them.
    bool hasManyDaemons() const { return m_paths.hasManyDaemons(); }

    std::size_t maxConcurrentGrants() const { return m_paths.maxConcurrentGrants(); }

    /// How long to wait for the store before the keepers' disks take its place.
    Milliseconds fallbackDelay() const { return m_paths.fallbackDelay(isSlow(), isFailing()); }

    /// Whether calls have failed for so long that keepers and other daemons take the store's place.
    bool isFailing() const;

private:
    template <typename Call>
    auto tryPaths(const char* kind, const std::vector<StorePath>&, Call);
    template <typename Call>
    auto measure(const char* kind, const std::vector<StorePath>&, Call);

    TransactionalStore& m_direct;
    HttpClient* m_peers;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    StoreHealth m_health;
    StorePaths m_paths;
    std::function<KeyWrite()> m_bypassMark;
    /// When the latest mark that is stored was made.
    std::optional<TimePoint> m_markedAt;
    std::map<std::string, std::shared_ptr<RelayedStore>> m_relays;
};

} // namespace basilpoint
