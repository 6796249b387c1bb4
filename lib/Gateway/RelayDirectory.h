#pragma once

#include "PeerServer.h"
#include "StoreClient.h"

namespace basilpoint {

/// Enters this daemon in the list of relays, and keeps a client's list up to date.
class RelayDirectory {
public:
    /// Called with each new list of the other daemons. \p wasKnown: this daemon's name stood in the list before it started.
    using ChangeHook = std::function<void(const std::vector<RelayAddress>&, bool wasKnown)>;

    RelayDirectory(StoreClient&, PeerServer&, HttpClient& peers, RelayAddress self, JsonLog&, ChangeHook);

    /// Runs for the life of the process.
    void run();

private:
    bool enter();
    void refresh();
    void announce();
    void noteAnnounced(const std::string& body);
    void mergeAnnounced(std::vector<RelayAddress>&);
    void use(std::vector<RelayAddress>);

    StoreClient& m_store;
    HttpClient& m_peers;
    RelayAddress m_self;
    JsonLog& m_log;
    ChangeHook m_onChange;
    std::optional<std::vector<RelayAddress>> m_known;
    /// Daemons that announced themselves; the list may lack them for a while.
    std::map<std::string, RelayAddress> m_announced;
    bool m_isAnnounced = false;
    std::optional<bool> m_wasKnown;
};

} // namespace basilpoint
