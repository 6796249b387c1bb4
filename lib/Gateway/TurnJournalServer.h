#pragma once

#include "DurableTurnJournal.h"
#include "KeeperCodec.h"
#include "PeerServer.h"
#include "StoreClient.h"
#include "StoreRelay.h"

#include "basilpoint/Net/FiberSignal.h"

#include <boost/asio/io_context.hpp>

namespace basilpoint {

/// Settings of a keeper's journal.
struct JournalSettings {
    std::string instance;
    std::filesystem::path folder;
    /// Number of keepers' disks that may be lost at once.
    unsigned tolerated = 0;
    /// The deployment starts for the first time, so that an empty disk has not lost any entries.
    bool isFirstStart = false;
};

/// Keeps turns and grants on this instance's disk for daemons that cannot reach the store, and stores the turns later
/// if those daemons do not.
class TurnJournalServer {
public:
    /// Called with each view that this journal installs.
    using ViewHook = std::function<void(const KeeperView&)>;

    TurnJournalServer(boost::asio::io_context&, PeerServer&, HttpClient&, const JournalSettings&, StoreClient&, StoreRelay&, const Clock&, JsonLog&);

    void onView(ViewHook hook) { m_onView = std::move(hook); }

    const KeeperView& view() const { return m_view; }

    /// Records the view on disk, unless a newer one is installed, and refuses calls under older views from then on. Does
    /// nothing before the start has been completed by a view on disk or startFrom().
    void install(const KeeperView&);

    /// Takes the view that has just been read from the store, since a lost disk forgets which views had been installed.
    void startFrom(const KeeperView& stored);

    /// Whether the journal is complete. After its disk was lost, or while it is no member, it is not until it has
    /// received the entries of the others.
    bool isSynchronized() const { return m_journal.state().isSynchronized(); }

    /// Number of entries in the journal.
    std::size_t entries() const { return m_journal.state().size(); }

    /// Gives the members of the joint view the entries of the previous members that they are to keep.
    /// \param installed keepers that have installed the view, so that they acknowledge nothing under older ones.
    /// \param gone members that need not answer.
    /// \returns false if too few answer.
    bool transfer(const KeeperView& joint, const InstanceNames& installed, const InstanceNames& gone);

    /// Completes the journal if entries are missing, and stores overdue entries.
    void work();

    /// Calls work() at intervals for the life of the process.
    void run();

private:
    struct Collected;
    struct Present;

    std::string serve(const std::string& bytes, const std::function<std::string(const std::string&)>& handler);
    void writeView();
    void ensureOnDisk(std::uint64_t version);
    bool keeps(const KeeperView&, const ProgramId&) const;
    std::string contents(const std::string& selection) const;
    void requireSynchronized() const;
    std::string append(const std::string& body);
    std::string appendGrant(const std::string& body);
    void persistEntries(const std::vector<JournalEntry>&);
    std::string find(const std::string& body);
    std::string grants(const std::string& body);
    std::string outstanding(const std::string&);
    void drop(const EntryName&);
    std::string acceptTransfer(const std::string& body);
    void persist(std::vector<JournalOperation>);
    Collected collect(const std::vector<RelayAddress>&, const std::string& selection, const std::function<bool(const Collected&)>& isEnough);
    bool isComplete(const std::vector<RelayAddress>& members, const Collected&) const;
    bool sendMissing(const RelayAddress&, const KeeperView& joint, const Collected&);
    bool synchronize();
    void upload(const ProgramId&, const std::vector<SharedEntry>&);
    void charge(const JournalEntry& grant);
    void uploadOverdue();
    /// Delays the next upload of the entries, so that those behind them have their turn.
    void postpone(const std::vector<SharedEntry>&);
    bool isOld(const EntryName&) const;
    void settleOldGrants();
    void logCompaction(const std::exception_ptr& failure);

    boost::asio::io_context& m_io;
    HttpClient& m_client;
    StoreClient& m_store;
    /// Commits go through the relay, since it tracks all commits by this keeper.
    StoreRelay& m_relay;
    const Clock& m_clock;
    JsonLog& m_log;
    DurableTurnJournal m_journal;
    std::string m_self;
    unsigned m_tolerated;
    KeeperView m_view;
    std::uint64_t m_versionOnDisk = 0;
    bool m_isWritingView = false;
    FiberSignal m_viewWritten;
    /// Whether m_view was on disk or has been read from the store since the start.
    bool m_isViewKnown = false;
    ViewHook m_onView;
    /// When this process first had each entry.
    std::map<EntryName, TimePoint> m_firstSeenAt;
};

} // namespace basilpoint
