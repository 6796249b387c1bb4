#pragma once

#include "PeerServer.h"
#include "StoreClient.h"

namespace basilpoint {

/// Enters this daemon in the list of relays, and keeps a client's list up to date.
class RelayDirectory {
public:
    /// Called with each new list of the other daemons. \p wasKnown: this daemon's name stood in the list before it started.
    using ChangeHook = std::function<void(const std::vector<RelayAddress>&, bool wasKnown)>;

    /// What the list says of this daemon's earlier lifetimes.
    struct Start {
        /// None of them has changed what the others do not know.
        bool isClean = true;
        /// One has lately changed what the keepers do not know.
        bool hasDirectCommit = false;
    };
    /// Called once this daemon stands in the list.
    using EnterHook = std::function<void(const Start&)>;
    /// Called when another daemon announces that it has started.
    using AnnounceHook = std::function<void(const std::string& instance)>;

    RelayDirectory(StoreClient&, PeerServer&, HttpClient& peers, RelayAddress self, const Clock&, JsonLog&, ChangeHook);

    void onEnter(EnterHook hook) { m_onEnter = std::move(hook); }
    /// \p mayEnter tells whether this daemon is ready to be counted on; until then it only reads the list.
    void setEntryCondition(std::function<bool()> mayEnter) { m_mayEnter = std::move(mayEnter); }
    void onAnnounce(AnnounceHook hook) { m_onAnnounce = std::move(hook); }

    /// Runs for the life of the process.
    void run();

    /// Takes this daemon out of the list for good.
    void retire();

    /// Takes a daemon that is gone for good out of the list.
    void remove(const std::string& instance);

    /// Whether the daemon answers; it then counts on this one as well.
    bool announceTo(const RelayAddress&);

    std::vector<RelayAddress> relays() const;

    /// Notes in the list that this lifetime has told the others all that it knew.
    void leave();

private:
    bool enter();
    void refresh();
    void announce();
    void noteAnnounced(const std::string& body);
    void noteRemoved(const std::string& instance);
    bool tell(const RelayAddress&, const char* path, const std::string& body);
    void mergeAnnounced(std::vector<RelayAddress>&);
    void use(std::vector<RelayAddress>);

    StoreClient& m_store;
    HttpClient& m_peers;
    RelayAddress m_self;
    const Clock& m_clock;
    JsonLog& m_log;
    ChangeHook m_onChange;
    EnterHook m_onEnter;
    AnnounceHook m_onAnnounce;
    std::function<bool()> m_mayEnter;
    Start m_start;
    bool m_isLeaving = false;
    /// Whether this daemon stood in the list when it was last read.
    bool m_isListed = false;
    std::optional<std::vector<RelayAddress>> m_known;
    /// Daemons that announced themselves; the list may lack them for a while.
    std::map<std::string, RelayAddress> m_announced;
    bool m_isAnnounced = false;
    std::optional<bool> m_wasKnown;
};

} // namespace basilpoint
