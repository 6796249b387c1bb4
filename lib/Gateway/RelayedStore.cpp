#include "RelayedStore.h"

#include "RelayPaths.h"
#include "StoreCodec.h"

#include "basilpoint/Net/Errors.h"

#include <algorithm>
#include <fmt/format.h>

namespace basilpoint {

static constexpr Milliseconds connectTimeout { 120 };
static constexpr Milliseconds defaultLimit { 500 };
// A relay waits for company before it commits, and for its own call to the store.
static constexpr Milliseconds relayTime { 60 };
static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;

RelayedStore::RelayedStore(HttpClient& client, Endpoint relay)
    : m_client(client)
    , m_relay(std::move(relay))
{
}

std::string RelayedStore::call(const char* path, std::string body, Milliseconds limit)
{
    HttpCallOptions options;
    options.connectTimeout = std::min(connectTimeout, limit);
    options.readTimeout = limit + relayTime;
    options.deadline = std::chrono::steady_clock::now() + limit + relayTime;
    try {
        HttpResponse response = m_client.call(m_relay, { "POST", path, {}, std::move(body) }, options);
        if (response.status == statusNotFound)
            return {};
        if (response.status != statusOk)
            throw KeyValueUnavailableError(fmt::format("status {} of the relay", response.status));
        return std::move(response.body);
    } catch (const TargetError& error) {
        throw KeyValueUnavailableError(error.what());
    }
}

std::optional<KeyValue> RelayedStore::get(const std::string& key)
{
    std::string answer = call(relayPaths::get, encodeQuery({ key }), defaultLimit);
    if (answer.empty())
        return std::nullopt;
    return decodeSnapshot(answer).items.at(0);
}

std::vector<KeyValue> RelayedStore::list(const std::string& prefix)
{
    return snapshot(prefix, ReadMode::Current, defaultLimit).items;
}

std::optional<std::int64_t> RelayedStore::compareAndSwap(const std::string& key, std::int64_t expectedRevision, const std::string& value, std::int64_t lease)
{
    if (lease != 0)
        throw KeyValueUnavailableError("leases are not relayed");
    return commit({ { { key, expectedRevision } }, { { key, value } }, {} }, defaultLimit).revision;
}

void RelayedStore::watch(const std::string&, std::int64_t, const ChangeHandler&)
{
    throw KeyValueUnavailableError("watches are not relayed");
}

std::int64_t RelayedStore::grantLease(std::chrono::seconds)
{
    throw KeyValueUnavailableError("leases are not relayed");
}

bool RelayedStore::keepAlive(std::int64_t)
{
    throw KeyValueUnavailableError("leases are not relayed");
}

KeyTransactionResult RelayedStore::commit(const KeyTransaction& transaction, Milliseconds limit)
{
    return decodeResult(call(relayPaths::commit, encodeTransaction(transaction), limit));
}

std::int64_t RelayedStore::awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, Milliseconds limit, const ChangeHandler& onChange)
{
    StoreChanges changes = decodeChanges(call(relayPaths::changes, encodeQuery({ prefix, false, after, wait }), wait + limit));
    for (const KeyValue& it : changes.items)
        onChange(it.key, it.modRevision == 0 ? std::nullopt : std::optional(it));
    return changes.next;
}

KeySnapshot RelayedStore::snapshot(const std::string& prefix, ReadMode mode, Milliseconds limit)
{
    return decodeSnapshot(call(relayPaths::snapshot, encodeQuery({ prefix, mode == ReadMode::Stale }), limit));
}

} // namespace basilpoint
