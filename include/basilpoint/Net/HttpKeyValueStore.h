#pragma once

#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/KeyValueStore.h"

#include <nlohmann/json_fwd.hpp>

namespace basilpoint {

/// Key-value service behind the published v3 JSON gateway (range, txn, lease).
class HttpKeyValueStore final : public KeyValueStore {
public:
    HttpKeyValueStore(HttpClient&, Endpoint);

    std::optional<KeyValue> get(const std::string& key) override;
    std::vector<KeyValue> list(const std::string& prefix) override;
    std::optional<std::int64_t> compareAndSwap(const std::string& key, std::int64_t expectedRevision, const std::string& value, std::int64_t lease) override;
    std::int64_t grantLease(std::chrono::seconds ttl) override;
    bool keepAlive(std::int64_t lease) override;

private:
    nlohmann::json post(const std::string& path, const nlohmann::json& body);

    HttpClient& m_client;
    Endpoint m_endpoint;
};

} // namespace basilpoint
