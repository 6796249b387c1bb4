#include "StoreClient.h"

#include <algorithm>
#include <fmt/format.h>

namespace basilpoint {

// A watch that was cut shows nothing but silence; this much beyond its wait is taken for a cut.
static constexpr Milliseconds shortestWatchLimit { 400 };

StoreClient::StoreClient(TransactionalStore& store, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_store(store)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
{
}

template <typename Call>
auto StoreClient::measure(const char* kind, Call call)
{
    TimePoint start = m_clock.now();
    auto elapsed = [&] { return std::chrono::duration_cast<Milliseconds>(m_clock.now() - start); };
    m_metrics.count(fmt::format("store_calls_total{{kind=\"{}\"}}", kind));
    try {
        auto result = call();
        m_metrics.observe("store_call_seconds", m_clock.now() - start);
        auto failingSince = m_health.failingSince();
        if (m_health.answered(elapsed(), m_clock.now()))
            m_log.write(LogLine("store-regained").field("call", kind).field("lostForMs", std::chrono::duration_cast<Milliseconds>(m_clock.now() - *failingSince)));
        return result;
    } catch (const KeyValueUnavailableError& error) {
        m_metrics.count(fmt::format("store_failures_total{{kind=\"{}\"}}", kind));
        if (m_health.failed(elapsed(), m_clock.now()))
            m_log.write(LogLine("store-lost").field("call", kind).field("waitedMs", elapsed()).field("reason", error.what()));
        throw;
    }
}

KeyTransactionResult StoreClient::commit(const KeyTransaction& transaction)
{
    return measure("commit", [&] { return m_store.commit(transaction, m_health.answerLimit()); });
}

KeySnapshot StoreClient::snapshot(const std::string& prefix, ReadMode mode)
{
    return measure("snapshot", [&] { return m_store.snapshot(prefix, mode, m_health.answerLimit()); });
}

std::optional<KeyValue> StoreClient::get(const std::string& key)
{
    return measure("get", [&] { return m_store.get(key); });
}

std::int64_t StoreClient::awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, const KeyValueStore::ChangeHandler& onChange)
{
    m_metrics.count("store_calls_total{kind=\"watch\"}");
    try {
        return m_store.awaitChanges(prefix, after, wait, std::max(shortestWatchLimit, m_health.answerLimit()), onChange);
    } catch (const KeyValueUnavailableError& error) {
        m_log.write(LogLine("watch-broken").field("prefix", prefix).field("after", after).field("reason", error.what()));
        throw;
    }
}

} // namespace basilpoint
