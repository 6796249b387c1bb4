#include "StoreRelay.h"

#include "PeerCall.h"
#include "StoreCodec.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>

namespace basilpoint {

static constexpr Milliseconds minTimerDelay { 1 };
// Recent reads from which expired ones are removed.
static constexpr std::size_t maxRecentReads = 1'000;
// How long a shared read waits for further requests.
static constexpr Milliseconds snapshotInterval { 20 };
// Time in which a store that is not slow answers the first call of a watch.
static constexpr Milliseconds establishLimit { 300 };
static constexpr Milliseconds watchIdleLimit { 5'000 };
// Holds the records of half a minute at 0.5 MB/s, the rate of one data centre of a large deployment.
static constexpr std::size_t maxCachedBytes = 16 * 1024 * 1024;

StoreRelay::StoreRelay(PeerServer& server, TransactionalStore& store, bool knowsAllChanges, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_clock(clock)
    , m_store(store, nullptr, {}, clock, log, metrics)
    , m_group(CommitGroupSettings {})
    , m_metrics(metrics)
    , m_commits(maxCachedBytes, knowsAllChanges, clock.now())
{
    server.on(peerpaths::commit, [this](const std::string& body) { return encodeResult(commit(decodeTransaction(body))); });
    server.on(peerpaths::snapshot, [this](const std::string& body) { return snapshot(body); });
    server.on(peerpaths::attestation, [this](const std::string& body) { return attest(body); });
    server.on(peerpaths::recentGet, [this](const std::string& body) { return recentGet(body); });
    server.on(peerpaths::recall, [this](const std::string& body) { return recall(body); });
    server.on(peerpaths::get, [this](const std::string& body) { return get(body); });
    server.on(peerpaths::changes, [this](const std::string& body) { return changes(body); });
}

std::string StoreRelay::snapshot(const std::string& body)
{
    StoreQuery query = decodeQuery(body);
    return query.mayBeStale ? encodeSnapshot(m_store.snapshot(query.key, ReadMode::Stale)) : sharedSnapshot(query.key);
}

const std::string& StoreRelay::awaitAnswer(SharedCall& call)
{
    while (!call.isDone)
        call.done.wait();
    if (call.answer.empty())
        throw KeyValueUnavailableError("call by the relay failed");
    return call.answer;
}

// Daemons that start together read the same prefixes. A request shares only a read that begins after it, since the answer
// must be current.
std::string StoreRelay::sharedSnapshot(const std::string& prefix)
{
    auto& slot = m_sharedSnapshots[prefix];
    if (slot) {
        std::shared_ptr<SharedCall> other = slot;
        return awaitAnswer(*other);
    }
    auto call = std::make_shared<SharedCall>();
    slot = call;
    sleepFiber(snapshotInterval);
    m_sharedSnapshots.erase(prefix);
    try {
        call->answer = encodeSnapshot(m_store.snapshot(prefix, ReadMode::Current));
    } catch (const Error&) {
        // The store client has logged the failure; each daemon that shares the call gets an error.
        call->answer.clear();
    }
    call->isDone = true;
    call->done.notifyAll();
    return awaitAnswer(*call);
}

std::string StoreRelay::recall(const std::string& body)
{
    StoreQuery query = decodeQuery(body);
    std::vector<KeyValue> known = m_commits.recall(query.key, query.after);
    return known.empty() ? std::string() : encodeSnapshot({ std::move(known), 0 });
}

// Keepers are asked last, once every daemon that answers has agreed not to change the account any more, so that no
// further commits of theirs can arrive.
std::string StoreRelay::attest(const std::string& program)
{
    ProgramId id(program);
    return encodeAttestation(m_commits.attest(id, m_group.pendingWrites(TurnLedger::accountKey(id)), m_clock.now()));
}

std::string StoreRelay::get(const std::string& body)
{
    auto item = m_store.get(decodeQuery(body).key);
    return item ? encodeSnapshot({ { *item }, item->modRevision }) : std::string();
}

std::string StoreRelay::readChanges(const StoreQuery& query)
{
    StoreChanges changes;
    changes.next = m_store.awaitChanges(query.key, query.after, query.wait, [&](const std::string& key, const std::optional<KeyValue>& item) {
        changes.items.push_back(item ? *item : KeyValue { key, {}, 0 });
    });
    return encodeChanges(changes);
}

std::string StoreRelay::recentGet(const std::string& body)
{
    std::string key = decodeQuery(body).key;
    TimePoint now = m_clock.now();
    if (m_recentReads.size() > maxRecentReads)
        std::erase_if(m_recentReads, [&](const auto& it) { return now - it.second->begunAt > recentAge; });
    std::shared_ptr<RecentRead> read = m_recentReads[key];
    if (read && now - read->begunAt <= recentAge) {
        while (!read->isDone)
            read->done.wait();
    } else {
        read = std::make_shared<RecentRead>();
        read->begunAt = now;
        m_recentReads[key] = read;
        try {
            read->item = m_store.get(key);
        } catch (const Error&) {
            // As above; the next request reads again.
            read->isFailed = true;
            m_recentReads.erase(key);
        }
        read->isDone = true;
        read->done.notifyAll();
    }
    if (read->isFailed)
        throw KeyValueUnavailableError("read by the relay failed");
    return read->item ? encodeSnapshot({ { *read->item }, read->item->modRevision }) : std::string();
}

std::shared_ptr<StoreRelay::PrefixWatch> StoreRelay::watchFor(const StoreQuery& query)
{
    std::shared_ptr<PrefixWatch>& slot = m_watches[query.key];
    if (!slot) {
        slot = std::make_shared<PrefixWatch>(query.after);
        slot->askedAt = m_clock.now();
        spawnFiber([this, prefix = query.key, watch = slot] { runWatch(prefix, watch); });
    }
    return slot;
}

// Ends when no daemon asks any more, or with the first failure: the daemons then read the prefix again.
void StoreRelay::runWatch(const std::string& prefix, const std::shared_ptr<PrefixWatch>& watch)
{
    try {
        while (m_clock.now() - watch->askedAt < watchIdleLimit) {
            std::vector<KeyValue> items;
            Milliseconds wait = watch->isEstablished ? StoreClient::watchWait : StoreClient::probeWait;
            std::int64_t next = m_store.awaitChanges(prefix, watch->log.upTo(), wait, [&](const std::string& key, const std::optional<KeyValue>& item) { items.push_back(item ? *item : KeyValue { key, {}, 0 }); });
            watch->log.append(std::move(items), next);
            watch->isEstablished = true;
            watch->changed.notifyAll();
        }
    } catch (const KeyValueUnavailableError&) {
        // The store client has logged the failure; each daemon that waits gets an error below.
        m_metrics.count("shared_watches_broken_total");
    }
    m_watches.erase(prefix);
    watch->isBroken = true;
    watch->changed.notifyAll();
}

// "No change" is true only if the store is heard: a daemon that is told so stays with this relay. While the store is slow,
// daemons that are refused would all call it themselves.
void StoreRelay::awaitEstablished(PrefixWatch& watch)
{
    const StoreHealth& health = m_store.health();
    Milliseconds limit = health.failingSince() ? establishLimit : std::max(establishLimit, health.responseTimeout());
    for (TimePoint end = m_clock.now() + limit; !watch.isEstablished && !watch.isBroken;) {
        TimePoint now = m_clock.now();
        if (now >= end)
            throw KeyValueUnavailableError("the relay does not hear the store");
        watch.changed.waitFor(std::chrono::ceil<Milliseconds>(end - now));
    }
}

std::string StoreRelay::changes(const std::string& body)
{
    StoreQuery query = decodeQuery(body);
    std::shared_ptr<PrefixWatch> watch = watchFor(query);
    if (!watch->log.covers(query.after))
        return readChanges(query);
    watch->askedAt = m_clock.now();
    awaitEstablished(*watch);
    for (TimePoint end = m_clock.now() + query.wait;;) {
        if (std::vector<KeyValue> items = watch->log.since(query.after); !items.empty())
            return encodeChanges({ std::move(items), std::max(query.after, watch->log.upTo()) });
        if (watch->isBroken)
            throw KeyValueUnavailableError("watch by the relay broke");
        TimePoint now = m_clock.now();
        if (now >= end)
            return encodeChanges({ {}, std::max(query.after, watch->log.upTo()) });
        watch->changed.waitFor(std::chrono::ceil<Milliseconds>(end - now));
    }
}

KeyTransactionResult StoreRelay::commit(const KeyTransaction& transaction)
{
    CommitGroup::Ticket ticket = m_group.submit(transaction);
    auto& outcome = m_commitOutcomes[ticket];
    sendReadyCalls();
    while (!outcome)
        m_outcomeKnown.wait();
    auto node = m_commitOutcomes.extract(ticket);
    CommitOutcome& known = *node.mapped();
    if (known.isRejected)
        throw KeyValueRejectedError("by the store");
    if (!known.result)
        throw KeyValueUnavailableError("commit by the relay of unknown fate");
    return std::move(*known.result);
}

// The store would refuse these commits as well, and with them the whole call into which they are merged. While the store
// fails they are not refused here, since daemons would take the answer as a sign that the store is available again.
void StoreRelay::refuseOutdated()
{
    if (m_store.health().failingSince())
        return;
    auto refused = m_group.refuseOutdated([this](const std::string& key) { return m_commits.latest(key); });
    for (auto& [ticket, result] : refused)
        m_commitOutcomes[ticket] = CommitOutcome { std::move(result) };
    if (refused.empty())
        return;
    m_metrics.count("commits_refused_by_memory_total", refused.size());
    m_outcomeKnown.notifyAll();
}

void StoreRelay::recordResult(const KeyTransaction& transaction, const KeyTransactionResult& result)
{
    if (result.revision)
        return m_commits.stored(transaction, *result.revision, m_clock.now());
    m_metrics.count("commits_refused_by_store_total");
    m_commits.refused(transaction, result.current, m_clock.now());
}

void StoreRelay::sendReadyCalls()
{
    refuseOutdated();
    while (auto call = m_group.next(m_clock.now()))
        spawnFiber([this, call = std::move(*call)] { run(call); });
    auto at = m_group.nextAt();
    if (!at || m_isTimerSet)
        return;
    m_isTimerSet = true;
    auto delay = std::max(minTimerDelay, std::chrono::ceil<Milliseconds>(*at - m_clock.now()));
    spawnFiber([this, delay] {
        sleepFiber(delay);
        m_isTimerSet = false;
        sendReadyCalls();
    });
}

void StoreRelay::run(const CommitGroup::Call& call)
{
    try {
        KeyTransactionResult result = m_store.commit(call.transaction);
        recordResult(call.transaction, result);
        for (auto& [ticket, settled] : m_group.answered(call.number, result))
            m_commitOutcomes[ticket] = CommitOutcome { std::move(settled) };
    } catch (const KeyValueRejectedError&) {
        m_metrics.count("commits_rejected_total");
        if (auto ticket = m_group.rejected(call.number))
            m_commitOutcomes[*ticket] = CommitOutcome { std::nullopt, true };
    } catch (const KeyValueUnavailableError& error) {
        if (error.executed() != Executed::No)
            m_commits.markUnknown(call.transaction, m_clock.now());
        // Each waiting daemon gets the error that the outcome is unknown.
        for (CommitGroup::Ticket ticket : m_group.markUnknown(call.number))
            m_commitOutcomes[ticket] = CommitOutcome {};
    }
    m_outcomeKnown.notifyAll();
    sendReadyCalls();
}

} // namespace basilpoint
