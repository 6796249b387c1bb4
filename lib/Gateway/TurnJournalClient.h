#pragma once

#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Gateway/StorePaths.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Turns/TurnJournal.h"

namespace basilpoint {

/// Keeps turns on the keepers' disks while the store is out of reach.
class TurnJournalClient {
public:
    /// \param tolerated disks that may be lost at once.
    TurnJournalClient(HttpClient&, unsigned tolerated, const Clock&, JsonLog&);

    void setRelays(const std::vector<RelayAddress>&);

    /// Keeps \p entry. \returns whether it lies on enough disks, before \p deadline.
    bool append(const JournalEntry& entry, TimePoint deadline);

    /// Entries of the program that \p turn belongs to. Empty if none of them knows the turn; not set if too few
    /// keepers answered to be certain of that.
    std::optional<std::vector<JournalEntry>> find(const CallId& turn, TimePoint deadline);

    /// The entry is in the store.
    void drop(const EntryName&);

private:
    struct Round;

    std::shared_ptr<Round> ask(const char* path, const std::string& body, TimePoint deadline);

    HttpClient& m_client;
    unsigned m_tolerated;
    const Clock& m_clock;
    JsonLog& m_log;
    std::vector<RelayAddress> m_keepers;
};

std::string encodeEntries(const std::vector<JournalEntry>&);
/// \throws DamagedRecordError
std::vector<JournalEntry> decodeEntries(const std::string&);

} // namespace basilpoint
