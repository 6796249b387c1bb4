#pragma once

#include "StoreClient.h"

namespace basilpoint {

/// Enters this daemon in the list of relays, and keeps a client's list up to date.
class RelayDirectory {
public:
    RelayDirectory(StoreClient&, RelayAddress self, JsonLog&);

    /// Runs for the life of the process.
    void run();

private:
    bool enter();
    void refresh();

    StoreClient& m_store;
    RelayAddress m_self;
    JsonLog& m_log;
    std::vector<RelayAddress> m_known;
};

} // namespace basilpoint
