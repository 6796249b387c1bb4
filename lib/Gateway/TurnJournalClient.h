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

    /// Keeps \p entries. \returns whether they lie on enough disks, before \p deadline.
    bool append(const std::vector<JournalEntry>& entries, TimePoint deadline);

    /// A grant to be taken.
    struct GrantRequest {
        ProgramId program;
        DaemonLifetime daemon;
        std::uint64_t step = 0;
        /// Most that the turn needs.
        TokenCount maxTokens = 0;
        /// Fewer than these are of no use.
        TokenCount minTokens = 0;
        WallTimePoint keepUntil;
    };

    /// Tells how many tokens all grants of the program together may hand out now.
    using AllowanceHook = std::function<TokenCount()>;

    /// Takes what is left of the allowance. \returns the tokens; empty if too few are left, or too few
    /// keepers answer to be certain.
    std::optional<TokenCount> grant(const GrantRequest&, TimePoint deadline, const AllowanceHook&);

    /// Entry that ends a grant of which \p used tokens were handed out.
    static JournalEntry grantEnd(const GrantRequest&, TokenCount used);

    /// Tokens that grants of the program let daemons hand out and that its account may not hold yet; empty if too
    /// few keepers answer.
    std::optional<TokenCount> outstanding(const ProgramId&, TimePoint deadline);

    /// Programs with granted tokens that their accounts may not hold yet; empty if too few keepers answer.
    std::optional<std::set<ProgramId>> outstandingPrograms(TimePoint deadline);

    /// What was used under the grant is in the account.
    void grantStored(const ProgramId&, const DaemonLifetime&, std::uint64_t grant, WallTimePoint keepUntil);

    /// Ends a grant whose turn is not kept.
    void endGrant(const GrantRequest&, TokenCount used, TimePoint deadline);

    /// Entries of the program that \p turn belongs to. Empty if none of them knows the turn; not set if too few
    /// keepers answered to be certain of that.
    std::optional<std::vector<JournalEntry>> find(const CallId& turn, TimePoint deadline);

    /// The entry is in the store.
    void drop(const EntryName&);

private:
    struct Round;

    /// Answers of enough keepers to find whatever lies on one more disk than may be lost.
    std::optional<std::vector<std::string>> askEnough(const char* path, const std::string& body, TimePoint deadline);
    std::optional<std::vector<JournalEntry>> grantsOf(const ProgramId&, TimePoint deadline);
    std::optional<TokenCount> grantedSoFar(const ProgramId&, TimePoint deadline);
    /// Waits until \p needed keepers have answered or all have ended. \returns whether enough have.
    static bool awaitAnswers(Round&, std::size_t needed);
    std::shared_ptr<Round> ask(const char* path, const std::string& body, TimePoint deadline);

    HttpClient& m_client;
    unsigned m_tolerated;
    const Clock& m_clock;
    JsonLog& m_log;
    /// Keepers that answered their last call, or failed it some time ago; all of them if those are too few.
    std::vector<RelayAddress> responsiveKeepers() const;

    std::vector<RelayAddress> m_keepers;
    std::map<std::string, TimePoint> m_failedAt;
};

/// Entry that says that what was used under a grant is in the account.
JournalEntry grantStoredEntry(const ProgramId&, const DaemonLifetime&, std::uint64_t grant, WallTimePoint keepUntil);

std::string encodePrograms(const std::set<ProgramId>&);
/// \throws DamagedRecordError
std::set<ProgramId> decodePrograms(const std::string&);

std::string encodeEntries(const std::vector<JournalEntry>&);
/// \throws DamagedRecordError
std::vector<JournalEntry> decodeEntries(const std::string&);

} // namespace basilpoint
