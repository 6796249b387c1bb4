#pragma once

#include "KeeperCodec.h"

#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Gateway/KeeperView.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Turns/TurnJournal.h"

namespace basilpoint {

/// Keeps turns and grants on the keepers' disks while the store is slow or unreachable.
///
/// The entries of one program are kept by its committee (KeeperView::committeeOf()), so its calls go to few keepers however
/// many there are.
class TurnJournalClient {
public:
    /// \param tolerated number of keepers' disks that may be lost at once.
    TurnJournalClient(HttpClient&, unsigned tolerated, const Clock&, JsonLog&);

    /// Takes the view unless a newer one is known.
    void setView(const KeeperView&);

    /// Whether the view has enough members to keep entries.
    bool hasEnoughKeepers() const { return m_view.members.size() > m_tolerated; }

    /// Appends \p entries, which belong to one program, to the keepers' journals. \returns whether enough disks had them
    /// before \p deadline.
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
        /// Tokens of the program's budget that are neither spent nor held, as far as known.
        TokenCount unused = ProgramAccount::unlimited;
    };

    /// Returns the maximum total tokens of all grants of the program at present.
    using AllowanceHook = std::function<TokenCount()>;

    /// Takes a grant of what remains of the allowance, in one round of calls. \returns its tokens; empty if too few remain
    /// or too few keepers answer. They are fewer than the turn may need only if the budget has room for all of these.
    std::optional<TokenCount> grant(const GrantRequest&, TimePoint deadline, const AllowanceHook&);

    /// Lets no further grants be taken from the reserve of the program's account. \returns the granted tokens that the account
    /// may not include; empty if too few keepers answer.
    std::optional<TokenCount> closeReserve(const ProgramId&, const DaemonLifetime&, std::uint64_t step, WallTimePoint keepUntil, TimePoint deadline);

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

    /// Entries of \p program if it has \p turn. Empty if no keeper has the turn under this program; not set if too few
    /// keepers answered to be certain of that.
    std::optional<std::vector<JournalEntry>> find(const ProgramId& program, const CallId& turn, TimePoint deadline);

    /// As find(), but the turn may belong to another program than \p likely. If that one does not have it, asks all keepers.
    std::optional<std::vector<JournalEntry>> findInAll(const ProgramId& likely, const CallId& turn, TimePoint deadline);

    /// Removes an entry of the program that is in the store. Does not wait for the keepers.
    void drop(const ProgramId&, const EntryName&);

private:
    struct Round;
    using Answers = std::map<std::string, std::string>;
    using Quorum = std::function<bool(const KeeperView&, const InstanceNames&, unsigned tolerated)>;
    /// A call to the committees of a program, or to all keepers if there is none.
    struct Query {
        const char* path;
        std::string body;
        std::optional<ProgramId> program;
    };
    /// \returns whether the answers so far are sufficient without a quorum.
    using AnswerHook = std::function<bool(const Answers&)>;

    /// Suspends until a quorum has answered. \returns false if none does before \p deadline.
    bool askQuorum(const Query&, TimePoint deadline, const Quorum&, const AnswerHook&);
    /// The part of the view that is asked.
    KeeperView scopeOf(const Query&) const;
    std::optional<std::vector<JournalEntry>> findTurn(const Query&, TimePoint deadline);
    /// Appends an entry that ends a grant or records that its tokens are in the account.
    void appendEnd(const JournalEntry&, TimePoint deadline);
    /// Answers of a read quorum; not set if too few keepers answer.
    std::optional<Answers> readAll(const Query&, TimePoint deadline);
    std::optional<std::vector<JournalEntry>> grantsOf(const ProgramId&, TimePoint deadline);
    /// Appends the entry of a grant. \returns all grant entries of the program, which include this one; empty if too few
    /// keepers answer.
    std::optional<std::vector<JournalEntry>> appendGrant(const JournalEntry&, TimePoint deadline);
    std::shared_ptr<Round> askAll(const std::vector<RelayAddress>&, const Query&, const KeeperView& scope, TimePoint deadline);
    void ask(const std::shared_ptr<Round>&, const RelayAddress&, const Query&, TimePoint deadline);
    KeeperAnswer callKeeper(const Round&, const RelayAddress&, const Query&, TimePoint deadline);
    /// Keepers of the scope without a recent failure; all of them if those are no quorum.
    std::vector<RelayAddress> responsiveKeepers(const KeeperView& scope, const Quorum&) const;

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
