#pragma once

#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/KeyValueStore.h"

#include <nlohmann/json_fwd.hpp>

namespace basilpoint {

/// Numbers of calls to the key-value service by kind, for metrics.
struct KeyValueCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t leases = 0;
    std::uint64_t failures = 0;
};

/// Client of a key-value service with the etcd v3 JSON gateway API (range, txn, watch, lease).
class HttpKeyValueStore final : public KeyValueStore {
public:
    HttpKeyValueStore(HttpClient&, Endpoint);

    std::optional<KeyValue> get(const std::string& key) override;
    std::vector<KeyValue> list(const std::string& prefix) override;
    std::optional<std::int64_t> compareAndSwap(const std::string& key, std::int64_t expectedRevision, const std::string& value, std::int64_t lease) override;
    void watch(const std::string& prefix, std::int64_t from, const ChangeHandler& onChange) override;
    std::int64_t grantLease(std::chrono::seconds ttl) override;
    bool keepAlive(std::int64_t lease) override;

    const KeyValueCounters& counters() const { return m_counters; }

private:
    nlohmann::json post(const std::string& path, const nlohmann::json& body);

    HttpClient& m_client;
    Endpoint m_endpoint;
    KeyValueCounters m_counters;
};

} // namespace basilpoint
