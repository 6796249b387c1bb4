#pragma once

#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/TransactionalStore.h"

namespace basilpoint {

/// Calls the store through another daemon.
class RelayedStore final : public TransactionalStore {
public:
    RelayedStore(HttpClient&, Endpoint relay);

    std::optional<KeyValue> get(const std::string& key) override;
    KeyTransactionResult commit(const KeyTransaction&, Milliseconds limit) override;
    std::int64_t awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, Milliseconds limit, const ChangeHandler&) override;
    KeySnapshot snapshot(const std::string& prefix, ReadMode, Milliseconds limit) override;
    /// The key as of at most \ref StoreRelay::recentAge ago.
    std::optional<KeyValue> recentGet(const std::string& key);
    /// Records with \p prefix in the relay's cache that are newer than revision \p after.
    std::vector<KeyValue> recall(const std::string& prefix, std::int64_t after);

private:
    std::string call(const char* path, std::string body, Milliseconds limit);

    HttpClient& m_client;
    Endpoint m_relay;
};

} // namespace basilpoint
