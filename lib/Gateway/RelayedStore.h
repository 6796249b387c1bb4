#pragma once

#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/TransactionalStore.h"

namespace basilpoint {

/// The key-value service by way of another daemon.
class RelayedStore final : public TransactionalStore {
public:
    RelayedStore(HttpClient&, Endpoint relay);

    std::optional<KeyValue> get(const std::string& key) override;
    std::vector<KeyValue> list(const std::string& prefix) override;
    std::optional<std::int64_t> compareAndSwap(const std::string& key, std::int64_t expectedRevision, const std::string& value, std::int64_t lease) override;
    /// Not relayed: callers wait by awaitChanges(). \throws KeyValueUnavailableError
    void watch(const std::string& prefix, std::int64_t from, const ChangeHandler&) override;
    /// Leases are not relayed. \throws KeyValueUnavailableError
    std::int64_t grantLease(std::chrono::seconds ttl) override;
    /// Leases are not relayed. \throws KeyValueUnavailableError
    bool keepAlive(std::int64_t lease) override;
    KeyTransactionResult commit(const KeyTransaction&, Milliseconds limit) override;
    std::int64_t awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, Milliseconds limit, const ChangeHandler&) override;
    KeySnapshot snapshot(const std::string& prefix, ReadMode, Milliseconds limit) override;

private:
    std::string call(const char* path, std::string body, Milliseconds limit);

    HttpClient& m_client;
    Endpoint m_relay;
};

} // namespace basilpoint
