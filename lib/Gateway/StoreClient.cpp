#include "StoreClient.h"

#include "basilpoint/Turns/TurnLedger.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace basilpoint {

// Time beyond its wait after which a silent watch counts as broken.
static constexpr Milliseconds minWatchTimeout { 400 };
static constexpr Milliseconds maxWatchTimeout { 1'200 };
// Longest call of a watch. Daemons must know of changes within two seconds, also those that a silent path has withheld.
static constexpr Milliseconds maxWatchCall { 1'600 };
static_assert(StoreClient::watchWait + minWatchTimeout <= maxWatchCall);
static_assert(maxWatchTimeout < maxWatchCall);
// After failures for this long, keepers and other daemons replace the store.
static constexpr Milliseconds failingThreshold { 250 };
// Writing the mark's key with each commit would serialise the commits. Readers of the mark allow for this delay.
static constexpr std::chrono::seconds markLifetime { 30 };
// A store whose calls need a longer timeout than this is slow, so that other daemons are asked first.
static constexpr Milliseconds slowResponseTimeout { 600 };
// After failures for this long, paths that have just failed are not tried again.
static constexpr Milliseconds pathSuspensionDelay { 400 };

StoreClient::StoreClient(TransactionalStore& direct, HttpClient* peers, DataCentreId dataCentre, const Clock& clock, JsonLog& log, Metrics& metrics, std::uint64_t seed)
    : m_direct(direct)
    , m_peers(peers)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_paths(std::move(dataCentre), seed)
{
}

void StoreClient::setRelays(const std::vector<RelayAddress>& relays)
{
    if (!m_peers)
        return;
    m_paths.setRelays(relays);
    m_relays.clear();
    for (const RelayAddress& it : relays)
        m_relays[it.instance] = std::make_shared<RelayedStore>(*m_peers, it.endpoint);
}

template <typename Call>
auto StoreClient::tryPaths(const char* kind, const std::vector<StorePath>& paths, Call call)
{
    for (std::size_t n = 0;; ++n) {
        const StorePath& path = paths[n];
        auto relay = m_relays.find(path.relay);
        // Keeps the relay's client alive if setRelays() is called during the call.
        std::shared_ptr<RelayedStore> relayStore = relay == m_relays.end() ? nullptr : relay->second;
        if (m_health.isFailingFor(pathSuspensionDelay, m_clock.now()))
            m_paths.retried(path, m_clock.now());
        m_metrics.count(fmt::format("store_calls_total{{kind=\"{}\",by=\"{}\"}}", kind, relayStore ? "relay" : "direct"));
        try {
            auto result = call(relayStore ? static_cast<TransactionalStore&>(*relayStore) : m_direct, path);
            m_paths.answered(path);
            return result;
        } catch (const KeyValueRejectedError&) {
            // No other path would lead to another answer.
            m_paths.answered(path);
            throw;
        } catch (const KeyValueUnavailableError& error) {
            m_metrics.count(fmt::format("store_failures_total{{kind=\"{}\",by=\"{}\"}}", kind, relayStore ? "relay" : "direct"));
            m_paths.failed(path, m_clock.now());
            if (n + 1 == paths.size())
                throw;
            m_log.write(LogLine("store-path-failed").field("call", kind).field("relay", path.relay).field("reason", error.what()));
        }
    }
}

template <typename Call>
auto StoreClient::callMeasured(const char* kind, const std::vector<StorePath>& paths, Call call)
{
    TimePoint start = m_clock.now();
    auto elapsed = [&] { return std::chrono::duration_cast<Milliseconds>(m_clock.now() - start); };
    auto noteAnswer = [&] {
        m_metrics.observe("store_call_seconds", m_clock.now() - start);
        auto failingSince = m_health.failingSince();
        if (m_health.answered(elapsed(), m_clock.now()))
            m_log.write(LogLine("store-regained").field("call", kind).field("lostForMs", std::chrono::duration_cast<Milliseconds>(m_clock.now() - *failingSince)));
    };
    try {
        auto result = tryPaths(kind, paths, call);
        noteAnswer();
        return result;
    } catch (const KeyValueRejectedError& error) {
        noteAnswer();
        m_log.write(LogLine("store-call-rejected").field("call", kind).field("reason", error.what()));
        throw;
    } catch (const KeyValueUnavailableError& error) {
        if (m_health.failed(elapsed(), m_clock.now()))
            m_log.write(LogLine("store-lost").field("call", kind).field("waitedMs", elapsed()).field("reason", error.what()));
        throw;
    }
}

bool StoreClient::isSlow() const
{
    return m_health.failingSince() || m_health.responseTimeout() > slowResponseTimeout;
}

bool StoreClient::isFailing() const
{
    return m_health.isFailingFor(failingThreshold, m_clock.now());
}

// Single failures must not end all attempts: on a store that loses some answers, other calls still succeed.
std::vector<StorePath> StoreClient::pathsFor(StorePaths::Purpose purpose, const DataCentreId& commitDataCentre) const
{
    TimePoint now = m_clock.now();
    std::vector<StorePath> paths = m_paths.orderedPaths(purpose, now, commitDataCentre);
    if (!m_health.isFailingFor(pathSuspensionDelay, now))
        return paths;
    paths = m_paths.duePaths(std::move(paths), now);
    if (paths.empty())
        throw KeyValueUnavailableError("all paths failed a moment ago", Executed::No);
    return paths;
}

static bool changesProgram(const KeyTransaction& transaction)
{
    return std::any_of(transaction.puts.begin(), transaction.puts.end(), [](const KeyWrite& it) { return !TurnLedger::programPrefixOf(it.key).empty(); });
}

KeyTransactionResult StoreClient::commit(const KeyTransaction& transaction, const DataCentreId& commitDataCentre)
{
    return callMeasured("commit", pathsFor(StorePaths::Purpose::Commit, commitDataCentre), [&](TransactionalStore& store, const StorePath& path) {
        TimePoint now = m_clock.now();
        bool isMarked = m_markedAt && now - *m_markedAt < markLifetime;
        if (!m_directCommitMark || isMarked || m_paths.isKeeper(path) || !changesProgram(transaction))
            return store.commit(transaction, m_health.responseTimeout());
        KeyTransaction marked = transaction;
        marked.puts.push_back(m_directCommitMark());
        m_metrics.count("keepers_bypassed_total");
        m_log.write(LogLine("keepers-bypassed").field("relay", path.relay));
        KeyTransactionResult result = store.commit(marked, m_health.responseTimeout());
        if (result.revision)
            m_markedAt = now;
        return result;
    });
}

KeySnapshot StoreClient::snapshot(const std::string& prefix, ReadMode mode)
{
    return callMeasured(mode == ReadMode::Stale ? "snapshot-stale" : "snapshot", pathsFor(StorePaths::Purpose::Read), [&](TransactionalStore& store, const StorePath&) { return store.snapshot(prefix, mode, m_health.responseTimeout()); });
}

KeySnapshot StoreClient::sharedSnapshot(const std::string& prefix)
{
    return callMeasured("snapshot-shared", pathsFor(StorePaths::Purpose::SharedRead), [&](TransactionalStore& store, const StorePath&) { return store.snapshot(prefix, ReadMode::Current, m_health.responseTimeout()); });
}

std::optional<KeyValue> StoreClient::recentGet(const std::string& key, const DataCentreId& commitDataCentre)
{
    for (const StorePath& path : m_paths.recallPaths(m_clock.now(), commitDataCentre)) {
        auto relay = m_relays.find(path.relay);
        if (relay == m_relays.end())
            continue;
        std::shared_ptr<RelayedStore> relayStore = relay->second;
        try {
            auto found = relayStore->recentGet(key);
            m_metrics.count("store_calls_total{kind=\"recent-get\",by=\"relay\"}");
            m_paths.answered(path);
            return found;
        } catch (const KeyValueUnavailableError& error) {
            m_paths.failed(path, m_clock.now());
            m_log.write(LogLine("store-path-failed").field("call", "recent-get").field("relay", path.relay).field("reason", error.what()));
        }
    }
    return get(key);
}

void StoreClient::probe(const std::string& key)
{
    callMeasured("probe", pathsFor(StorePaths::Purpose::SharedRead), [&](TransactionalStore& store, const StorePath&) { return store.get(key); });
}

std::vector<KeyValue> StoreClient::recall(const std::string& prefix, std::int64_t after, const DataCentreId& commitDataCentre)
{
    for (const StorePath& path : m_paths.recallPaths(m_clock.now(), commitDataCentre)) {
        auto relay = m_relays.find(path.relay);
        if (relay == m_relays.end())
            continue;
        std::shared_ptr<RelayedStore> relayStore = relay->second;
        try {
            std::vector<KeyValue> found = relayStore->recall(prefix, after);
            m_metrics.count(found.empty() ? "recalls_total{found=\"no\"}" : "recalls_total{found=\"yes\"}");
            m_paths.answered(path);
            if (!found.empty())
                return found;
        } catch (const KeyValueUnavailableError& error) {
            m_paths.failed(path, m_clock.now());
            m_log.write(LogLine("store-path-failed").field("call", "recall").field("relay", path.relay).field("reason", error.what()));
        }
    }
    return {};
}

std::optional<KeyValue> StoreClient::get(const std::string& key)
{
    return callMeasured("get", pathsFor(StorePaths::Purpose::Read), [&](TransactionalStore& store, const StorePath&) { return store.get(key); });
}

std::int64_t StoreClient::awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, const KeyValueStore::ChangeHandler& onChange)
{
    Milliseconds timeout = std::clamp(m_health.responseTimeout(), minWatchTimeout, maxWatchTimeout);
    Milliseconds fullWait = std::min(wait, maxWatchCall - timeout);
    bool isFirstTry = true;
    try {
        return tryPaths("watch", pathsFor(StorePaths::Purpose::Watch), [&](TransactionalStore& store, const StorePath& path) {
            // Once a path has been silent for the time of one call, changes are due at once. A path that was silent before
            // may still be so.
            bool isProbe = !std::exchange(isFirstTry, false) || m_paths.hasFailed(path);
            return store.awaitChanges(prefix, after, isProbe ? std::min(wait, probeWait) : fullWait, timeout, onChange);
        });
    } catch (const KeyValueUnavailableError& error) {
        m_log.write(LogLine("watch-broken").field("prefix", prefix).field("after", after).field("reason", error.what()));
        throw;
    }
}

} // namespace basilpoint
