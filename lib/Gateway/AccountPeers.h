#pragma once

#include "LedgerWriter.h"
#include "RelayDirectory.h"
#include "StoreClient.h"
#include "TurnJournalClient.h"

#include "basilpoint/Turns/Handovers.h"
#include "basilpoint/Turns/OutstandingGrants.h"

#include <algorithm>

namespace basilpoint {

/// Id of a daemon's lifetime, made of its instance's name and a text that is unique to the lifetime.
DaemonLifetime lifetimeOf(const std::string& instance, const std::string& unique);

/// Those of \p peers whose instances run, or ran, a daemon among \p holders.
std::vector<RelayAddress> peersOf(const std::map<DaemonLifetime, TokenCount>& holders, const std::vector<RelayAddress>& peers);

/// Exchanges information about programs' accounts with the other daemons that serve callers, without the store.
class AccountPeers {
public:
    /// \param isFirstStart this daemon starts with the deployment, so it has no earlier lifetimes.
    AccountPeers(StoreClient&, TurnLedger&, LedgerWriter&, TurnJournalClient&, HttpClient&, bool isFirstStart, const Clock&, JsonLog&);

    /// Sets the list of the other daemons.
    void setRelays(const std::vector<RelayAddress>&);

    /// This daemon has been entered in the list of daemons and may change accounts.
    void entered(const RelayDirectory::Start&);
    bool hasEntered() const { return m_hasEntered; }

    /// Stops or resumes the attestation of accounts. \returns false if attestations given earlier may still matter, so that
    /// they cannot be declared absent.
    bool setMayAttest(bool mayAttest);

    /// A new lifetime of another daemon has started and may change accounts.
    void peerStarted(const std::string& instance) { m_handovers.lifetimeStarted(instance); }

    /// What all daemons know about a program.
    struct Knowledge {
        bool anyFound = false;
        /// Whether every change of the program's account is known, except those counted in \ref unconfirmedTokens.
        bool isComplete = false;
        /// Tokens that changes of unknown outcome may have taken from the account.
        TokenCount unconfirmedTokens = 0;

        /// Takes the maximum instead of the sum: all such changes are based on the same revision of the account, so
        /// at most one of them takes effect.
        void addUnconfirmed(const AccountAttestation& attestation) { unconfirmedTokens = std::max(unconfirmedTokens, attestation.unconfirmedTokens); }
    };

    /// Asks the other daemons for what they know about a program while the store is unreachable, and passes the
    /// records to the ledger.
    Knowledge read(const ProgramId&);

    /// Answers a request made by another daemon's read(). \returns an encoded attestation.
    std::string attest(const std::string& program);

    /// Answers of the daemons that hold parts of a budget.
    struct HoldersAnswer {
        bool anyReleased = false;
        /// Tokens held by daemons that did not answer.
        TokenCount unansweredTokens = 0;
    };

    /// Asks the holders of parts of a budget to release what they do not need.
    HoldersAnswer askHolders(const ProgramId&, std::map<DaemonLifetime, TokenCount> holders);

    /// Releases what this daemon holds of a program's budget and does not need, at the request of another daemon.
    std::string releaseHold(const std::string& program);

    /// Hands all known accounts over to the other daemons. \returns whether they include every change made by this
    /// daemon and all others have received them.
    bool handOver(const std::string& instance);

    /// Accepts a handover from another daemon.
    std::string acceptHandover(const std::string& body);

    /// Asks the keepers, if necessary, which programs' accounts may be missing granted tokens.
    void refreshOutstandingGrants();

    /// Whether the program's account may be missing granted tokens.
    bool mayMissGrants(const ProgramId& program) const { return m_outstandingGrants.mayAffect(program); }

private:
    std::size_t ask(const std::vector<RelayAddress>& peers, const char* path, const std::string& body, Milliseconds timeout, const std::function<void(const RelayAddress&, const std::string&)>& onAnswer);
    AccountAttestation attestLocally(const ProgramId&);
    bool askKeepers(const ProgramId&, Knowledge&);
    bool knowsAllChanges() const;

    StoreClient& m_store;
    TurnLedger& m_ledger;
    LedgerWriter& m_writer;
    TurnJournalClient& m_journal;
    HttpClient& m_client;
    /// The other daemons that serve callers.
    std::vector<RelayAddress> m_peers;
    std::vector<RelayAddress> m_keepers;
    bool m_hasEntered = false;
    bool m_mayAttest = true;
    bool m_hasCleanStart;
    bool m_hasDirectCommit = false;
    Handovers m_handovers;
    TimePoint m_startedAt;
    OutstandingGrants m_outstandingGrants;
    bool m_isQueryingGrants = false;
    const Clock& m_clock;
    JsonLog& m_log;
};

} // namespace basilpoint
