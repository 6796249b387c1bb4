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

/// Calls the store, directly or through other daemons, and tracks its health by the results.
class StoreClient {
public:
    /// \param peers client for calls to other daemons; null if this one only calls the store directly.
    /// \param seed spreads the daemons over the keepers.
    StoreClient(TransactionalStore& direct, HttpClient* peers, DataCentreId, const Clock&, JsonLog&, Metrics&, std::uint64_t seed = 0);

    /// Sets the daemons that can relay calls.
    void setRelays(const std::vector<RelayAddress>&);

    /// \param mark returns a record to write along with changes of programs that are not committed through a keeper, so
    /// that the keepers do not know of them. One record covers such commits for some time.
    void setDirectCommitMark(std::function<KeyWrite()> mark) { m_directCommitMark = std::move(mark); }

    /// \throws KeyValueUnavailableError if no path led to the store, as do get(), snapshot() and awaitChanges().
    /// \param commitDataCentre data centre whose keeper commits if there are many daemons; this daemon's own if empty.
    KeyTransactionResult commit(const KeyTransaction&, const DataCentreId& commitDataCentre = {});
    KeySnapshot snapshot(const std::string& prefix, ReadMode);
    /// As a current snapshot(), of a prefix that all daemons read, so that keepers read it for several of them at once.
    KeySnapshot sharedSnapshot(const std::string& prefix);
    std::optional<KeyValue> get(const std::string& key);
    /// A key as of at most \ref StoreRelay::recentAge ago, from a keeper that reads it for all daemons; as get() if no keeper
    /// answers.
    std::optional<KeyValue> recentGet(const std::string& key, const DataCentreId& commitDataCentre);
    /// Finds out whether a failing store answers again. \throws KeyValueUnavailableError if it does not.
    void probe(const std::string& key);
    /// Waits up to \p wait for changes after revision \p after; less if the store is slow, so that a path that has fallen
    /// silent is noticed before a change is late. \returns the revision from which to continue.
    std::int64_t awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, const KeyValueStore::ChangeHandler&);

    /// Usual wait for changes.
    static constexpr Milliseconds watchWait { 1'200 };
    /// Wait of a call that only shows whether the store is heard.
    static constexpr Milliseconds probeWait { 1 };

    /// Records with \p prefix that are newer than revision \p after, from the cache of a keeper. They have been stored,
    /// but more may exist. Empty if no keeper has any or answers.
    std::vector<KeyValue> recall(const std::string& prefix, std::int64_t after, const DataCentreId& commitDataCentre);

    /// Whether to ask keepers before the store: it is slow or fails, or there are many daemons.
    bool prefersRecall() const { return isSlow() || hasManyDaemons(); }

    const StoreHealth& health() const { return m_health; }

    /// Whether the store fails, or is so slow that keepers answer sooner.
    bool isSlow() const;

    /// Whether there are too many daemons for one keeper, or for calls to each of them.
    bool hasManyDaemons() const { return m_paths.hasManyDaemons(); }

    std::size_t maxConcurrentGrants() const { return m_paths.maxConcurrentGrants(); }

    /// How long to wait for the store before falling back to the keepers' disks.
    Milliseconds fallbackDelay() const { return m_paths.fallbackDelay(isSlow(), isFailing()); }

    /// Whether calls have failed for so long that keepers and other daemons replace the store.
    bool isFailing() const;

private:
    /// Paths to try now. \throws KeyValueUnavailableError if the store fails and none is due.
    std::vector<StorePath> pathsFor(StorePaths::Purpose, const DataCentreId& commitDataCentre = {}) const;
    template <typename Call>
    auto tryPaths(const char* kind, const std::vector<StorePath>&, Call);
    template <typename Call>
    auto callMeasured(const char* kind, const std::vector<StorePath>&, Call);

    TransactionalStore& m_direct;
    HttpClient* m_peers;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    StoreHealth m_health;
    StorePaths m_paths;
    std::function<KeyWrite()> m_directCommitMark;
    /// Time of the latest mark that has been stored.
    std::optional<TimePoint> m_markedAt;
    std::map<std::string, std::shared_ptr<RelayedStore>> m_relays;
};

} // namespace basilpoint
