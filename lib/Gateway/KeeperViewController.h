#pragma once

#include "KeeperMembership.h"
#include "TurnJournalServer.h"

namespace basilpoint {

/// Probes the other keepers and changes the view of the keepers in the store.
class KeeperViewController {
public:
    /// Removes a daemon from the list of daemons. \returns whether it is no longer there.
    using RemoveHook = std::function<bool(const std::string& instance)>;

    /// \param emptiedPrefix prefix of keys, followed by an instance's name, that exist in the store once the instance has been
    /// reported to be empty.
    KeeperViewController(StoreClient&, PeerServer&, HttpClient& peers, TurnJournalServer&, const RelayAddress& self, unsigned tolerated, std::string emptiedPrefix, RemoveHook, const Clock&, JsonLog&);

    /// Runs for the life of the process.
    void run();

    /// The instance is to be emptied, so its keeper leaves the view.
    void empty(const std::string& instance) { m_membership.empty(instance); }

    /// Sets the number of gateways, which determines how many members are wanted.
    void setGateways(std::size_t n) { m_membership.setGateways(n); }

    /// Whether this keeper counts towards quorums.
    bool isMember() const;

    const KeeperView& view() const { return m_membership.view(); }

private:
    bool step();
    void probe();
    void probeOne(const RelayAddress&);
    std::string answerProbe(const std::string& body);
    bool readView();
    bool begin(const KeeperView& next);
    bool complete();
    InstanceNames install(const KeeperView&, const std::vector<RelayAddress>& keepers);
    void viewInstalled(const KeeperView&);
    void removeLeft();
    void logShortage();

    StoreClient& m_store;
    HttpClient& m_peers;
    TurnJournalServer& m_journal;
    RelayAddress m_self;
    unsigned m_tolerated;
    std::string m_emptiedPrefix;
    RemoveHook m_removeDaemon;
    const Clock& m_clock;
    JsonLog& m_log;
    KeeperMembership m_membership;
    /// Revision of the view's key when it was last read.
    std::int64_t m_revision = 0;
    /// Keepers that have left the view and may still be in the list of daemons.
    InstanceNames m_left;
    bool m_isShort = false;
};

} // namespace basilpoint
