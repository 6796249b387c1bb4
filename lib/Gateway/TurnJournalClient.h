#pragma once

#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Gateway/KeeperView.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Turns/TurnJournal.h"

namespace basilpoint {

/// Keeps turns and grants on the keepers' disks while the store is slow or unreachable.
class TurnJournalClient {
public:
    /// \param tolerated number of keepers' disks that may be lost at once.
    TurnJournalClient(HttpClient&, unsigned tolerated, const Clock&, JsonLog&);

    /// Takes the view unless a newer one is known.
    void setView(const KeeperView&);

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
    using Answers = std::map<std::string, std::string>;
    using Quorum = std::function<bool(const KeeperView&, const InstanceNames&, unsigned tolerated)>;
    /// \returns whether the answers so far are sufficient without a quorum.
    using AnswerHook = std::function<bool(const Answers&)>;

    /// Suspends until a quorum has answered. \returns false if none does before \p deadline.
    bool askQuorum(const char* path, const std::string& body, TimePoint deadline, const Quorum&, const AnswerHook&);
    /// Appends an entry that ends a grant or records that its tokens are in the account.
    void appendEnd(const JournalEntry&, TimePoint deadline);
    /// Answers of a read quorum; not set if too few keepers answer.
    std::optional<Answers> readAll(const char* path, const std::string& body, TimePoint deadline);
    std::optional<std::vector<JournalEntry>> grantsOf(const ProgramId&, TimePoint deadline);
    std::optional<TokenCount> grantedSoFar(const ProgramId&, TimePoint deadline);
    std::shared_ptr<Round> askAll(const std::vector<RelayAddress>&, const char* path, const std::string& body, TimePoint deadline);
    void ask(const std::shared_ptr<Round>&, const RelayAddress&, const char* path, const std::string& request, Milliseconds timeout);
    /// Keepers without a recent failure; all keepers if those are no quorum.
    std::vector<RelayAddress> responsiveKeepers(const Quorum&) const;

    HttpClient& m_client;
    unsigned m_tolerated;
    const Clock& m_clock;
    JsonLog& m_log;
    KeeperView m_view;
    std::map<std::string, TimePoint> m_failedAt;
};

/// Makes the entry that records that the account includes the tokens used under a grant.
JournalEntry grantStoredEntry(const ProgramId&, const DaemonLifetime&, std::uint64_t grant, WallTimePoint keepUntil);

} // namespace basilpoint
