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
    /// Waits up to \p wait for changes after revision \p after. \returns the revision to go on from.
    /// \throws KeyValueUnavailableError if the watch broke.
    std::int64_t awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, const KeyValueStore::ChangeHandler&);

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
