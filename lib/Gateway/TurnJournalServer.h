#pragma once

#include "PeerServer.h"
#include "StoreClient.h"
#include "StoreRelay.h"

#include "basilpoint/Journal/RecordLog.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Turns/TurnJournal.h"

#include <boost/asio/io_context.hpp>

namespace basilpoint {

/// Keeps turns on this instance's disk for daemons that cannot reach the store, and brings them there
/// if those daemons do not.
class TurnJournalServer {
public:
    /// \param isFirstStart the deployment starts for the first time, so an empty disk has lost nothing.
    TurnJournalServer(boost::asio::io_context&, PeerServer&, HttpClient&, const std::filesystem::path& folder, bool isFirstStart, StoreClient&, StoreRelay&, const Clock&, JsonLog&);

    /// Other keepers, whose journals a lost one is rebuilt from.
    /// \param maxMissing keepers that may be missing from the list of those who answer.
    void setRelays(const std::vector<RelayAddress>&, unsigned maxMissing);

    /// Takes no more entries and gives what it has to all other keepers. \returns false if one of them did not take it.
    bool handOver();

    /// Takes over all that the other keepers but \p gone have. \returns false if one of them did not answer, or
    /// this journal is itself not complete.
    bool takeOverFrom(const std::string& gone);

    /// Whether this journal has all that the others had as its disk was lost.
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
    /// What this keeper commits itself it has to remember as well.
    StoreRelay& m_relay;
    const Clock& m_clock;
    JsonLog& m_log;
    TurnJournal m_journal;
    RecordLog m_disk;
    std::vector<RelayAddress> m_others;
    bool m_areOthersKnown = false;
    unsigned m_maxMissing = 0;
    bool m_isRetired = false;
    /// When an entry was first seen by this process.
    std::map<EntryName, TimePoint> m_firstSeenAt;
};

} // namespace basilpoint
