#include "StoreRelay.h"

#include "PeerCall.h"
#include "StoreCodec.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>

namespace basilpoint {

static constexpr Milliseconds shortestTimer { 1 };
// Programs of half a minute at the rate of one data centre of the grown sites, 0.5 MB/s.
static constexpr std::size_t maxCachedBytes = 16 * 1024 * 1024;

StoreRelay::StoreRelay(PeerServer& server, TransactionalStore& store, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_clock(clock)
    , m_store(store, nullptr, {}, clock, log, metrics)
    , m_group(CommitGroupSettings {})
    , m_metrics(metrics)
    , m_cache(maxCachedBytes)
{
    server.on(peerpaths::commit, [this](const std::string& body) { return commit(body); });
    server.on(peerpaths::snapshot, [this](const std::string& body) { return snapshot(body); });
    server.on(peerpaths::recall, [this](const std::string& body) { return recall(body); });
    server.on(peerpaths::get, [this](const std::string& body) { return get(body); });
    server.on(peerpaths::changes, [this](const std::string& body) { return changes(body); });
}

std::string StoreRelay::snapshot(const std::string& body)
{
    StoreQuery query = decodeQuery(body);
    return encodeSnapshot(m_store.snapshot(query.key, query.mayBeStale ? ReadMode::Stale : ReadMode::Current));
}

std::string StoreRelay::recall(const std::string& body)
{
    StoreQuery query = decodeQuery(body);
    std::vector<KeyValue> known = m_cache.find(query.key);
    std::erase_if(known, [&](const KeyValue& it) { return it.modRevision <= query.after; });
    return known.empty() ? std::string() : encodeSnapshot({ std::move(known), 0 });
}

void StoreRelay::remember(const KeyValue& record)
{
    std::string program = TurnLedger::programPrefixOf(record.key);
    if (!program.empty())
        m_cache.put(program, record);
}

std::string StoreRelay::get(const std::string& body)
{
    auto item = m_store.get(decodeQuery(body).key);
    return item ? encodeSnapshot({ { *item }, item->modRevision }) : std::string();
}

std::string StoreRelay::awaitShared(const StoreQuery& query)
{
    StoreChanges changes;
    changes.next = m_store.awaitChanges(query.key, query.after, query.wait, [&](const std::string& key, const std::optional<KeyValue>& item) {
        changes.items.push_back(item ? *item : KeyValue { key, {}, 0 });
    });
    return encodeChanges(changes);
}

std::string StoreRelay::changes(const std::string& body)
{
    StoreQuery query = decodeQuery(body);
    auto& slot = m_waits[{ query.key, query.after }];
    std::shared_ptr<SharedWait> wait = slot;
    if (wait) {
        while (!wait->isDone)
            wait->done.wait();
    } else {
        slot = wait = std::make_shared<SharedWait>();
        try {
            wait->answer = awaitShared(query);
        } catch (const KeyValueUnavailableError&) {
            // The store's client has logged it; all who share the wait are told below.
            wait->answer.clear();
        }
        m_waits.erase({ query.key, query.after });
        wait->isDone = true;
        wait->done.notifyAll();
    }
    if (wait->answer.empty())
        throw KeyValueUnavailableError("wait by the relay broke");
    return wait->answer;
}

std::string StoreRelay::commit(const std::string& body)
{
    CommitGroup::Ticket ticket = m_group.submit(decodeTransaction(body));
    auto& fate = m_waiting[ticket];
    pump();
    while (!fate)
        m_settled.wait();
    std::optional<KeyTransactionResult> result = std::move(*fate);
    m_waiting.erase(ticket);
    if (!result)
        throw KeyValueUnavailableError("commit by the relay of unknown fate");
    return encodeResult(*result);
}

// The store would refuse them all the same, and with them each call that they share.
void StoreRelay::refuseOutdated()
{
    auto refused = m_group.refuseOutdated([this](const std::string& key) { return m_cache.find(TurnLedger::programPrefixOf(key), key); });
    for (auto& [ticket, result] : refused)
        m_waiting[ticket] = std::optional(std::move(result));
    if (refused.empty())
        return;
    m_metrics.count("commits_refused_by_memory_total", refused.size());
    m_settled.notifyAll();
}

void StoreRelay::noteResult(const KeyTransaction& transaction, const KeyTransactionResult& result)
{
    if (result.revision)
        for (const KeyWrite& it : transaction.puts)
            remember({ it.key, it.value, *result.revision });
    for (const KeyValue& it : result.current)
        remember(it);
    if (result.revision)
        return;
    m_metrics.count("commits_refused_by_store_total");
    for (const KeyCondition& it : transaction.conditions) {
        bool exists = std::any_of(result.current.begin(), result.current.end(), [&](const KeyValue& item) { return item.key == it.key; });
        if (!exists)
            m_cache.forget(TurnLedger::programPrefixOf(it.key));
    }
}

void StoreRelay::pump()
{
    refuseOutdated();
    while (auto call = m_group.next(m_clock.now()))
        spawnFiber([this, call = std::move(*call)] { run(call); });
    auto at = m_group.nextAt();
    if (!at || m_isTimerSet)
        return;
    m_isTimerSet = true;
    auto delay = std::max(shortestTimer, std::chrono::ceil<Milliseconds>(*at - m_clock.now()));
    spawnFiber([this, delay] {
        sleepFiber(delay);
        m_isTimerSet = false;
        pump();
    });
}

void StoreRelay::run(const CommitGroup::Call& call)
{
    try {
        KeyTransactionResult result = m_store.commit(call.transaction);
        noteResult(call.transaction, result);
        for (auto& [ticket, settled] : m_group.answered(call.number, result))
            m_waiting[ticket] = std::optional(std::move(settled));
    } catch (const KeyValueUnavailableError&) {
        // Each waiting daemon is told that the fate is unknown.
        for (CommitGroup::Ticket ticket : m_group.lost(call.number))
            m_waiting[ticket] = std::optional<KeyTransactionResult>();
    }
    m_settled.notifyAll();
    pump();
}

} // namespace basilpoint
