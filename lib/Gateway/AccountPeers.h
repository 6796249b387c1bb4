#pragma once

#include "LedgerWriter.h"
#include "RelayDirectory.h"
#include "StoreClient.h"
#include "TurnJournalClient.h"

#include "basilpoint/Turns/Handovers.h"
#include "basilpoint/Turns/OutstandingGrants.h"

#include <algorithm>

namespace basilpoint {

/// Name of one life of a daemon: that of its instance, and what no other life has.
DaemonLifetime lifetimeOf(const std::string& instance, const std::string& unique);

/// Those of \p peers on whose instances daemons run, or ran, that are among \p holders.
std::vector<RelayAddress> peersOf(const std::map<DaemonLifetime, TokenCount>& holders, const std::vector<RelayAddress>& peers);

/// What the daemons that serve callers tell each other about programs' accounts, beside the store.
class AccountPeers {
public:
    /// \param isFirstStart this daemon was there from the deployment's start.
    AccountPeers(StoreClient&, TurnLedger&, LedgerWriter&, TurnJournalClient&, HttpClient&, bool isFirstStart, const Clock&, JsonLog&);

    /// Takes the list of the other daemons.
    void setRelays(const std::vector<RelayAddress>&);

    /// This daemon stands in the list of daemons, so that it may change accounts.
    void entered(const RelayDirectory::Start&);
    bool hasEntered() const { return m_hasEntered; }

    /// Another daemon has started and may change accounts.
    void peerStarted(const std::string& instance) { m_handovers.lifetimeStarted(instance); }

    /// What the other daemons know of a program.
    struct Knowledge {
        bool anyFound = false;
        /// All daemons that may have changed the program's account have answered.
        bool isComplete = false;
        /// Tokens that changes of unknown fate may have taken from the account.
        TokenCount unconfirmedTokens = 0;

        /// All such changes were made on one state of the account, so one of them takes effect at most.
        void addUnconfirmed(const AccountAttestation& attestation) { unconfirmedTokens = std::max(unconfirmedTokens, attestation.unconfirmedTokens); }
    };

    /// Asks the others for what they know of a program, while the store is out of reach; the ledger takes it.
    Knowledge read(const ProgramId&);

    /// Answers such a question.
    std::string attest(const std::string& program);

    /// What the daemons that hold parts of a budget answered.
    struct HoldersAnswer {
        bool anyReleased = false;
        /// Held by daemons that did not answer.
        TokenCount unansweredTokens = 0;
    };

    /// Asks those who hold parts of a budget to give back what they do not need.
    HoldersAnswer askHolders(const ProgramId&, std::map<DaemonLifetime, TokenCount> holders);

    /// Gives back what this daemon holds of a program's budget and does not need, for another that lacks it.
    std::string releaseHold(const std::string& program);

    /// Tells the other daemons all that this one knows of accounts. \returns whether that is all there is, and all know it.
    bool handOver(const std::string& instance);

    /// Takes what another daemon hands over.
    std::string acceptHandover(const std::string& body);

    /// Asks, if need be, which programs' accounts may lack granted tokens.
    void refreshOutstandingGrants();

    /// Whether the program's account may lack granted tokens.
    bool mayMissGrants(const ProgramId& program) const { return m_outstandingGrants.mayAffect(program); }

private:
    std::size_t ask(const std::vector<RelayAddress>& peers, const char* path, const std::string& body, Milliseconds limit, const std::function<void(const RelayAddress&, const std::string&)>& onAnswer);
    AccountAttestation attestOwn(const ProgramId&);
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
