#pragma once

#include "basilpoint/Fleet/KeyValueGovernor.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Net/KeyValueStore.h"

#include <map>
#include <memory>

namespace basilpoint {

/// Key-value store with this daemon's share of the service's rate limit, a circuit breaker and shared reads.
class GovernedKeyValueStore final : public KeyValueStore {
public:
    GovernedKeyValueStore(KeyValueStore& inner, const Clock&, RandomEngine::result_type seed);

    /// Sets the number of daemons that share the service's rate limit.
    void setMembers(std::size_t members);

    std::optional<KeyValue> get(const std::string& key) override;
    std::vector<KeyValue> list(const std::string& prefix) override;
    std::optional<std::int64_t> compareAndSwap(const std::string& key, std::int64_t expectedRevision, const std::string& value, std::int64_t lease) override;
    void watch(const std::string& prefix, std::int64_t from, const ChangeHandler& onChange) override;
    std::int64_t grantLease(std::chrono::seconds ttl) override;
    bool keepAlive(std::int64_t lease) override;

    const KeyValueGovernor& governor() const { return m_governor; }

private:
    /// Read in progress whose result other fibers may wait for.
    struct SharedRead {
        std::optional<KeyValue> pair;
        std::exception_ptr failure;
        bool done = false;
        FiberSignal ended;
    };

    KeyValueDecision admit(KeyValueCallKind, const std::string& key);
    template <typename Call>
    auto govern(KeyValueCallKind, const std::string& key, Call call);
    std::optional<KeyValue> runRead(const std::string& key);

    KeyValueStore& m_inner;
    const Clock& m_clock;
    KeyValueGovernor m_governor;
    std::map<std::string, std::shared_ptr<SharedRead>> m_reads;
};

} // namespace basilpoint
