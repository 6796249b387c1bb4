#include "StoreClient.h"

#include "basilpoint/Turns/TurnLedger.h"

#include <algorithm>
#include <fmt/format.h>

namespace basilpoint {

// A watch that was cut shows nothing but silence; this much beyond its wait is taken for a cut.
static constexpr Milliseconds shortestWatchLimit { 400 };
// Once the store fails for this long it is not asked again.
static constexpr Milliseconds failingLimit { 250 };
// A mark in each change would let them go only one after the other; it is read with this much in hand.
static constexpr std::chrono::seconds markLifetime { 30 };
// With a longer limit than this the store answers so slowly that other daemons are asked first.
static constexpr Milliseconds usualLimit { 600 };

StoreClient::StoreClient(TransactionalStore& direct, HttpClient* peers, DataCentreId dataCentre, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_direct(direct)
    , m_peers(peers)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_paths(std::move(dataCentre))
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
        // Held, since the relays may be replaced while the call waits.
        std::shared_ptr<RelayedStore> held = relay == m_relays.end() ? nullptr : relay->second;
        m_metrics.count(fmt::format("store_calls_total{{kind=\"{}\",by=\"{}\"}}", kind, held ? "relay" : "direct"));
        try {
            auto result = call(held ? static_cast<TransactionalStore&>(*held) : m_direct, path);
            m_paths.answered(path);
            return result;
        } catch (const KeyValueUnavailableError& error) {
            m_metrics.count(fmt::format("store_failures_total{{kind=\"{}\",by=\"{}\"}}", kind, held ? "relay" : "direct"));
            m_paths.failed(path, m_clock.now());
            if (n + 1 == paths.size())
                throw;
            m_log.write(LogLine("store-path-failed").field("call", kind).field("relay", path.relay).field("reason", error.what()));
        }
    }
}

template <typename Call>
auto StoreClient::measure(const char* kind, const std::vector<StorePath>& paths, Call call)
{
    TimePoint start = m_clock.now();
    auto elapsed = [&] { return std::chrono::duration_cast<Milliseconds>(m_clock.now() - start); };
    try {
        auto result = tryPaths(kind, paths, call);
        m_metrics.observe("store_call_seconds", m_clock.now() - start);
        auto failingSince = m_health.failingSince();
        if (m_health.answered(elapsed(), m_clock.now()))
            m_log.write(LogLine("store-regained").field("call", kind).field("lostForMs", std::chrono::duration_cast<Milliseconds>(m_clock.now() - *failingSince)));
        return result;
    } catch (const KeyValueUnavailableError& error) {
        if (m_health.failed(elapsed(), m_clock.now()))
            m_log.write(LogLine("store-lost").field("call", kind).field("waitedMs", elapsed()).field("reason", error.what()));
        throw;
    }
}

bool StoreClient::isSlow() const
{
    return m_health.failingSince() || m_health.answerLimit() > usualLimit;
}

bool StoreClient::isFailing() const
{
    return m_health.isFailingFor(failingLimit, m_clock.now());
}

static bool changesProgram(const KeyTransaction& transaction)
{
    return std::any_of(transaction.puts.begin(), transaction.puts.end(), [](const KeyWrite& it) { return !TurnLedger::programPrefixOf(it.key).empty(); });
}

KeyTransactionResult StoreClient::commit(const KeyTransaction& transaction, const DataCentreId& home)
{
    return measure("commit", m_paths.order(StorePaths::Purpose::Commit, m_clock.now(), home), [&](TransactionalStore& store, const StorePath& path) {
        TimePoint now = m_clock.now();
        bool isMarked = m_markedAt && now - *m_markedAt < markLifetime;
        if (!m_bypassMark || isMarked || m_paths.isKeeper(path) || !changesProgram(transaction))
            return store.commit(transaction, m_health.answerLimit());
        KeyTransaction marked = transaction;
        marked.puts.push_back(m_bypassMark());
        m_log.write(LogLine("keepers-bypassed").field("relay", path.relay));
        KeyTransactionResult result = store.commit(marked, m_health.answerLimit());
        if (result.revision)
            m_markedAt = now;
        return result;
    });
}

KeySnapshot StoreClient::snapshot(const std::string& prefix, ReadMode mode)
{
    return measure(mode == ReadMode::Stale ? "snapshot-stale" : "snapshot", m_paths.order(StorePaths::Purpose::Read, m_clock.now()), [&](TransactionalStore& store, const StorePath&) { return store.snapshot(prefix, mode, m_health.answerLimit()); });
}

std::vector<KeyValue> StoreClient::recall(const std::string& prefix, std::int64_t after, const DataCentreId& home)
{
    for (const StorePath& path : m_paths.memories(m_clock.now(), home)) {
        auto relay = m_relays.find(path.relay);
        if (relay == m_relays.end())
            continue;
        std::shared_ptr<RelayedStore> held = relay->second;
        try {
            std::vector<KeyValue> found = held->recall(prefix, after);
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
    return measure("get", m_paths.order(StorePaths::Purpose::Read, m_clock.now()), [&](TransactionalStore& store, const StorePath&) { return store.get(key); });
}

std::int64_t StoreClient::awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, const KeyValueStore::ChangeHandler& onChange)
{
    try {
        return tryPaths("watch", m_paths.order(StorePaths::Purpose::Wait, m_clock.now()), [&](TransactionalStore& store, const StorePath&) {
            return store.awaitChanges(prefix, after, wait, std::max(shortestWatchLimit, m_health.answerLimit()), onChange);
        });
    } catch (const KeyValueUnavailableError& error) {
        m_log.write(LogLine("watch-broken").field("prefix", prefix).field("after", after).field("reason", error.what()));
        throw;
    }
}

} // namespace basilpoint
