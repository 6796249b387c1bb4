#pragma once

#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Gateway/StorePaths.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Turns/TurnJournal.h"

namespace basilpoint {

/// Keeps turns and grants on the keepers' disks while the store is slow or unreachable.
class TurnJournalClient {
public:
    /// \param tolerated number of keepers' disks that may be lost at once.
    TurnJournalClient(HttpClient&, unsigned tolerated, const Clock&, JsonLog&);

    void setRelays(const std::vector<RelayAddress>&);

    /// Appends \p entries to the keepers' journals. \returns whether enough disks had them before \p deadline.
    bool append(const std::vector<JournalEntry>& entries, TimePoint deadline);

    /// Request for a grant.
    struct GrantRequest {
        ProgramId program;
        DaemonLifetime daemon;
        std::uint64_t step = 0;
        /// Maximum number of tokens that the turn needs.
        TokenCount maxTokens = 0;
        /// Minimum number of tokens; a smaller grant is not taken.
        TokenCount minTokens = 0;
        WallTimePoint keepUntil;
    };

    /// Returns the maximum total tokens of all grants of the program at present.
    using AllowanceHook = std::function<TokenCount()>;

    /// Takes a grant of what remains of the allowance. \returns its tokens; empty if too few remain or too few keepers
    /// answer.
    std::optional<TokenCount> grant(const GrantRequest&, TimePoint deadline, const AllowanceHook&);

    /// Makes the entry that ends a grant of which \p used tokens were handed out.
    static JournalEntry grantEnd(const GrantRequest&, TokenCount used);

    /// Granted tokens of the program that its account may not include; empty if too few keepers answer.
    std::optional<TokenCount> outstanding(const ProgramId&, TimePoint deadline);

    /// Programs whose accounts may be missing granted tokens; empty if too few keepers answer.
    std::optional<std::set<ProgramId>> outstandingPrograms(TimePoint deadline);

    /// Records that the account includes the tokens used under the grant. Does not wait for the keepers.
    void grantStored(const ProgramId&, const DaemonLifetime&, std::uint64_t grant, WallTimePoint keepUntil);

    /// Ends a grant whose turn is not kept in the journals.
    void endGrant(const GrantRequest&, TokenCount used, TimePoint deadline);

    /// Entries of the program that \p turn belongs to. Empty if no keeper has the turn; not set if too few keepers
    /// answered to be certain of that.
    std::optional<std::vector<JournalEntry>> find(const CallId& turn, TimePoint deadline);

    /// Removes an entry that is in the store. Does not wait for the keepers.
    void drop(const EntryName&);

private:
    struct Round;

    /// Answers of enough keepers to include every entry that is on one more disk than may be lost; not set if too few
    /// answer.
    std::optional<std::vector<std::string>> askEnough(const char* path, const std::string& body, TimePoint deadline);
    std::optional<std::vector<JournalEntry>> grantsOf(const ProgramId&, TimePoint deadline);
    std::optional<TokenCount> grantedSoFar(const ProgramId&, TimePoint deadline);
    /// Suspends until \p needed keepers have answered or all calls have ended. \returns whether enough have answered.
    static bool awaitAnswers(Round&, std::size_t needed);
    std::shared_ptr<Round> ask(const char* path, const std::string& body, TimePoint deadline);

    HttpClient& m_client;
    unsigned m_tolerated;
    const Clock& m_clock;
    JsonLog& m_log;
    /// Keepers without a recent failure; all keepers if those are too few.
    std::vector<RelayAddress> responsiveKeepers() const;

    std::vector<RelayAddress> m_keepers;
    std::map<std::string, TimePoint> m_failedAt;
};

/// Makes the entry that records that the account includes the tokens used under a grant.
JournalEntry grantStoredEntry(const ProgramId&, const DaemonLifetime&, std::uint64_t grant, WallTimePoint keepUntil);

std::string encodePrograms(const std::set<ProgramId>&);
/// \throws DamagedRecordError
std::set<ProgramId> decodePrograms(const std::string&);

std::string encodeEntries(const std::vector<JournalEntry>&);
/// \throws DamagedRecordError
std::vector<JournalEntry> decodeEntries(const std::string&);

} // namespace basilpoint
