#include "GovernedKeyValueStore.h"

namespace basilpoint {

static constexpr Milliseconds maxWait { 2'000 };

GovernedKeyValueStore::GovernedKeyValueStore(KeyValueStore& inner, const Clock& clock, RandomEngine::result_type seed)
    : m_inner(inner)
    , m_clock(clock)
    , m_governor(KeyValueGovernorSettings {}, seed)
{
}

void GovernedKeyValueStore::setMembers(std::size_t members)
{
    m_governor.setMembers(members, m_clock.now());
}

// Waits if a call is admitted soon; a longer wait means that the service is failing.
KeyValueDecision GovernedKeyValueStore::admit(KeyValueCallKind kind, const std::string& key)
{
    TimePoint deadline = m_clock.now() + maxWait;
    for (;;) {
        KeyValueDecision decision = m_governor.admit(kind, key, m_clock.now());
        const auto* refusal = std::get_if<RefuseCall>(&decision);
        if (!refusal)
            return decision;
        if (m_clock.now() + refusal->retryAfter > deadline)
            throw KeyValueUnavailableError("refused by the rate budget or the breaker");
        sleepFiber(std::max(refusal->retryAfter, Milliseconds(1)));
    }
}

template <typename Call>
auto GovernedKeyValueStore::govern(KeyValueCallKind kind, const std::string& key, Call call)
{
    admit(kind, key);
    try {
        auto result = call();
        m_governor.finished(kind, key, true, m_clock.now());
        return result;
    } catch (...) {
        m_governor.finished(kind, key, false, m_clock.now());
        throw;
    }
}

std::optional<KeyValue> GovernedKeyValueStore::runRead(const std::string& key)
{
    auto read = std::make_shared<SharedRead>();
    m_reads[key] = read;
    try {
        read->pair = m_inner.get(key);
    } catch (...) {
        read->failure = std::current_exception();
    }
    m_governor.finished(KeyValueCallKind::Read, key, !read->failure, m_clock.now());
    m_reads.erase(key);
    read->done = true;
    read->ended.notifyAll();
    if (read->failure)
        std::rethrow_exception(read->failure);
    return read->pair;
}

std::optional<KeyValue> GovernedKeyValueStore::get(const std::string& key)
{
    KeyValueDecision decision = admit(KeyValueCallKind::Read, key);
    auto it = m_reads.find(key);
    if (std::holds_alternative<MakeCall>(decision) || it == m_reads.end())
        return runRead(key);
    std::shared_ptr<SharedRead> read = it->second;
    while (!read->done)
        read->ended.wait();
    if (read->failure)
        std::rethrow_exception(read->failure);
    return read->pair;
}

std::vector<KeyValue> GovernedKeyValueStore::list(const std::string& prefix)
{
    return govern(KeyValueCallKind::Watch, prefix, [&] { return m_inner.list(prefix); });
}

std::optional<std::int64_t> GovernedKeyValueStore::compareAndSwap(const std::string& key, std::int64_t expectedRevision, const std::string& value, std::int64_t lease)
{
    return govern(KeyValueCallKind::Write, key, [&] { return m_inner.compareAndSwap(key, expectedRevision, value, lease); });
}

void GovernedKeyValueStore::watch(const std::string& prefix, std::int64_t from, const ChangeHandler& onChange)
{
    // An idle watch that is disconnected does not mean that the service failed; the result of the next list() does.
    admit(KeyValueCallKind::Watch, prefix);
    m_governor.finished(KeyValueCallKind::Watch, prefix, true, m_clock.now());
    m_inner.watch(prefix, from, onChange);
}

std::int64_t GovernedKeyValueStore::grantLease(std::chrono::seconds ttl)
{
    return govern(KeyValueCallKind::Write, "lease", [&] { return m_inner.grantLease(ttl); });
}

bool GovernedKeyValueStore::keepAlive(std::int64_t lease)
{
    return govern(KeyValueCallKind::LeaseRenewal, "lease", [&] { return m_inner.keepAlive(lease); });
}

} // namespace basilpoint
