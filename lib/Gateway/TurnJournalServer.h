#pragma once

#include "PeerServer.h"
#include "StoreClient.h"
#include "StoreRelay.h"

#include "basilpoint/Journal/RecordLog.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Turns/TurnJournal.h"

#include <boost/asio/io_context.hpp>

namespace basilpoint {

/// Keeps turns and grants on this instance's disk for daemons that cannot reach the store, and stores the turns later
/// if those daemons do not.
class TurnJournalServer {
public:
    /// \param isFirstStart the deployment starts for the first time, so that an empty disk has not lost any entries.
    TurnJournalServer(boost::asio::io_context&, PeerServer&, HttpClient&, const std::filesystem::path& folder, bool isFirstStart, StoreClient&, StoreRelay&, const Clock&, JsonLog&);

    /// Sets the list of relays, whose other keepers' journals are read after this disk was lost.
    /// \param maxMissing number of other keepers that need not answer for the journal to be complete.
    void setRelays(const std::vector<RelayAddress>&, unsigned maxMissing);

    /// Stops accepting entries and sends all entries to all other keepers. \returns false if one of them failed.
    bool handOver();

    /// Reads the entries of all other keepers except \p gone, which this one replaces. \returns false if one of them
    /// failed or this journal is not synchronized.
    bool takeOverFrom(const std::string& gone);

    /// Whether the journal is complete. After its disk was lost, it is not until it has read the others.
    bool isSynchronized() const { return m_journal.isSynchronized(); }

    /// Runs for the life of the process.
    void run();

private:
    void requireSynchronized() const;
    std::string append(const std::string& body);
    void persistEntries(const std::vector<JournalEntry>&);
    std::string find(const std::string& body) const;
    std::string grants(const std::string& body) const;
    std::string outstanding();
    void drop(const EntryName&);
    std::string all() const;
    void persist(const std::vector<JournalOperation>&);
    std::size_t readFrom(const std::vector<RelayAddress>&);
    bool synchronize();
    void upload(const ProgramId&, const std::vector<JournalEntry>&);
    void charge(const JournalEntry& grant);
    void uploadOverdue();
    void compactIfLarge();

    boost::asio::io_context& m_io;
    HttpClient& m_client;
    StoreClient& m_store;
    /// Commits go through the relay, since it tracks all commits by this keeper.
    StoreRelay& m_relay;
    const Clock& m_clock;
    JsonLog& m_log;
    TurnJournal m_journal;
    RecordLog m_disk;
    std::vector<RelayAddress> m_otherKeepers;
    bool m_areOtherKeepersKnown = false;
    unsigned m_maxMissing = 0;
    bool m_isRetired = false;
    /// When this process first had each entry.
    std::map<EntryName, TimePoint> m_firstSeenAt;
};

} // namespace basilpoint
