#include "RelayedStore.h"

#include "PeerCall.h"
#include "StoreCodec.h"

namespace basilpoint {

static constexpr Milliseconds defaultTimeout { 500 };
// Additional time for the relay to group commits and to call the store.
static constexpr Milliseconds relayOverhead { 60 };
// The keeper answers from memory; one that takes longer is down or overloaded.
static constexpr Milliseconds recallTimeout { 40 };

RelayedStore::RelayedStore(HttpClient& client, Endpoint relay)
    : m_client(client)
    , m_relay(std::move(relay))
{
}

std::string RelayedStore::call(const char* path, std::string body, Milliseconds limit)
{
    try {
        return callPeer(m_client, m_relay, path, std::move(body), limit + relayOverhead);
    } catch (const PeerUnavailableError& error) {
        if (error.peerCode() == KeyValueRejectedError::errorCode)
            throw KeyValueRejectedError("by the store, through a relay");
        throw KeyValueUnavailableError(error.what());
    }
}

static std::optional<KeyValue> itemFrom(const std::string& answer)
{
    if (answer.empty())
        return std::nullopt;
    return decodeSnapshot(answer).items.at(0);
}

std::optional<KeyValue> RelayedStore::get(const std::string& key)
{
    return itemFrom(call(peerpaths::get, encodeQuery({ key }), defaultTimeout));
}

std::optional<KeyValue> RelayedStore::recentGet(const std::string& key)
{
    return itemFrom(call(peerpaths::recentGet, encodeQuery({ key }), defaultTimeout));
}

KeyTransactionResult RelayedStore::commit(const KeyTransaction& transaction, Milliseconds limit)
{
    return decodeResult(call(peerpaths::commit, encodeTransaction(transaction), limit));
}

std::int64_t RelayedStore::awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, Milliseconds limit, const ChangeHandler& onChange)
{
    StoreChanges changes = decodeChanges(call(peerpaths::changes, encodeQuery({ prefix, false, after, wait }), wait + limit));
    for (const KeyValue& it : changes.items)
        onChange(it.key, it.modRevision == 0 ? std::nullopt : std::optional(it));
    return changes.next;
}

KeySnapshot RelayedStore::snapshot(const std::string& prefix, ReadMode mode, Milliseconds limit)
{
    return decodeSnapshot(call(peerpaths::snapshot, encodeQuery({ prefix, mode == ReadMode::Stale }), limit));
}

std::vector<KeyValue> RelayedStore::recall(const std::string& prefix, std::int64_t after)
{
    std::string answer = call(peerpaths::recall, encodeQuery({ prefix, true, after }), recallTimeout);
    return answer.empty() ? std::vector<KeyValue>() : decodeSnapshot(answer).items;
}

} // namespace basilpoint
