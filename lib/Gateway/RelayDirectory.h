#pragma once

#include "PeerServer.h"
#include "StoreClient.h"

#include "basilpoint/Gateway/KeeperView.h"

namespace basilpoint {

/// Enters this daemon in the list of daemons in the store, and keeps the store client's relays up to date.
class RelayDirectory {
public:
    /// Called with each new list of the other daemons.
    /// \p wasKnown is true if this daemon's instance was in the list before the daemon started.
    using ChangeHook = std::function<void(const std::vector<RelayAddress>&, bool wasKnown)>;

    /// What the list shows about earlier lifetimes of this daemon.
    struct Start {
        /// Whether the others know all changes of accounts that earlier lifetimes have made.
        bool isClean = true;
        /// Whether an earlier lifetime has recently committed without a keeper, so that the keepers do not know of it.
        bool hasDirectCommit = false;
        /// Whether an earlier lifetime may have attested accounts.
        bool mayHaveAttested = false;
        /// Whether this lifetime may attest accounts, as its entry says.
        bool mayAttest = true;
    };
    /// Called whenever this daemon has entered itself in the list.
    using EnterHook = std::function<void(const Start&)>;
    /// Called when another daemon announces that it has started.
    using AnnounceHook = std::function<void(const std::string& instance)>;
    /// Called before the entry says that this daemon does not attest accounts, and after it says that it does.
    /// \returns false to keep the entry as it is.
    using AttestHook = std::function<bool(bool mayAttest)>;

    RelayDirectory(StoreClient&, PeerServer&, HttpClient& peers, RelayAddress self, const Clock&, JsonLog&, ChangeHook);

    void onEnter(EnterHook hook) { m_onEnter = std::move(hook); }
    /// \param mayEnter returns whether this daemon is ready to enter the list; until then it only reads the list.
    void setEntryCondition(std::function<bool()> mayEnter) { m_mayEnter = std::move(mayEnter); }
    /// Called with the view of the keepers whenever the list is read.
    void onKeeperView(std::function<void(const KeeperView&)> hook) { m_onKeeperView = std::move(hook); }
    /// Called with the value of another key below the list's prefix whenever the list is read; empty if there is none.
    void onRecord(std::string key, std::function<void(const std::string& value)> hook) { m_onRecord[std::move(key)] = std::move(hook); }
    void onAnnounce(AnnounceHook hook) { m_onAnnounce = std::move(hook); }
    /// Without this hook the entry always says that this daemon may attest accounts.
    void onMayAttest(AttestHook hook) { m_onMayAttest = std::move(hook); }

    /// Delays the first read of the list, so that daemons which start with the deployment find keepers in it.
    void setStartDelay(Milliseconds delay) { m_startDelay = delay; }
    /// Whether the list has been read.
    bool isListKnown() const { return m_knownRelays.has_value(); }

    /// Keeps this daemon in the list, and reads the list, until recordHandover() or retire() is called.
    void run();

    /// Removes this daemon from the list permanently.
    void retire();

    /// Removes a daemon that is gone permanently from the list. \returns whether it is no longer there.
    bool remove(const std::string& instance);

    /// Announces this daemon to another one. \returns whether that one answered and so has added this one to its list.
    bool announceTo(const RelayAddress&);

    std::vector<RelayAddress> relays() const;

    /// Records in the list that this lifetime has handed its accounts over to the others, and stops run(). The entry
    /// stays for the next lifetime.
    void recordHandover();

private:
    bool enter();
    void refresh(ReadMode);
    bool hasFewDaemons() const;
    void readRecords(const std::vector<KeyValue>&);
    void readKeeperView(const std::string& value);
    void awaitNextRound(bool isEntered, Milliseconds pause) const;
    void updateMayAttest();
    void removeExpiredMark();
    void announce();
    void handleAnnouncement(const std::string& body);
    void handleRemoval(const std::string& instance);
    bool notify(const RelayAddress&, const char* path, const std::string& body);
    void mergeAnnounced(std::vector<RelayAddress>&);
    void applyRelays(std::vector<RelayAddress>);

    StoreClient& m_store;
    HttpClient& m_peers;
    RelayAddress m_self;
    const Clock& m_clock;
    JsonLog& m_log;
    ChangeHook m_onChange;
    EnterHook m_onEnter;
    AnnounceHook m_onAnnounce;
    std::function<void(const KeeperView&)> m_onKeeperView;
    std::map<std::string, std::function<void(const std::string& value)>> m_onRecord;
    std::function<bool()> m_mayEnter;
    AttestHook m_onMayAttest;
    Milliseconds m_startDelay { 0 };
    Start m_start;
    bool m_isStopping = false;
    /// Whether this daemon was in the list when the list was last read.
    bool m_isListed = false;
    /// This daemon's entry when the list was last read.
    std::optional<KeyValue> m_ownItem;
    /// Whether this lifetime may attest accounts.
    bool m_mayAttest = true;
    std::optional<std::vector<RelayAddress>> m_knownRelays;
    /// Daemons that have announced themselves but may still be missing from the list that was read.
    std::map<std::string, RelayAddress> m_announced;
    bool m_isAnnounced = false;
    std::optional<bool> m_wasKnown;
    /// When this lifetime last marked a direct commit; its start if it has not.
    TimePoint m_directCommitAt;
};

} // namespace basilpoint
