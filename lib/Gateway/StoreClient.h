#pragma once

#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Gateway/StoreHealth.h"
#include "basilpoint/Net/TransactionalStore.h"
#include "basilpoint/Support/Metrics.h"

namespace basilpoint {

/// Calls of the gateway to the key-value service, with what they tell of its health.
class StoreClient {
public:
    StoreClient(TransactionalStore&, const Clock&, JsonLog&, Metrics&);

    /// \throws KeyValueUnavailableError
    KeyTransactionResult commit(const KeyTransaction&);
    /// \throws KeyValueUnavailableError
    KeySnapshot snapshot(const std::string& prefix, ReadMode);
    /// \throws KeyValueUnavailableError
    std::optional<KeyValue> get(const std::string& key);
    /// Waits for changes until the watch breaks. \throws KeyValueUnavailableError
    void watch(const std::string& prefix, std::int64_t from, const KeyValueStore::ChangeHandler&);

    const StoreHealth& health() const { return m_health; }

private:
    template <typename Call>
    auto measure(const char* kind, Call);

    TransactionalStore& m_store;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    StoreHealth m_health;
};

} // namespace basilpoint
