#pragma once

#include "Forwarder.h"
#include "LedgerWriter.h"
#include "SharedReads.h"
#include "StoreClient.h"
#include "TurnJournalClient.h"

#include "basilpoint/Turns/GrantDoubt.h"
#include "basilpoint/Turns/Handovers.h"
#include "basilpoint/Turns/TurnLedger.h"

namespace basilpoint {

/// Serves turns: finds their history, keeps their program's budget, and records them.
class TurnController {
public:
    /// Asks, if need be, which programs' accounts may lack granted tokens.
    void refreshDoubt();

    /// Other daemons that serve callers, asked for what they know of a program while the store is out of reach.
    void setPeers(const std::vector<RelayAddress>&);

    /// Answers such a question.
    std::string giveWord(const std::string& program);

    /// This daemon stands in the list of daemons, so that it may change accounts.
    void entered(bool hasCleanStart);

    /// Another daemon has started and may change accounts.
    void peerStarted(const std::string& instance) { m_handovers.succeeded(instance); }

    /// Tells the other daemons all that this one knows of accounts. \returns whether that is all there is, and all know it.
    bool handOver(const std::string& instance);

    /// Takes what another daemon hands over.
    std::string noteHandover(const std::string& body);

    /// Gives back what this daemon holds of a program's budget and does not need, for another that lacks it.
    std::string releaseHold(const std::string& program);

    /// \param isFirstStart this daemon was there from the deployment's start.
    TurnController(Forwarder&, StoreClient&, TurnLedger&, LedgerWriter&, TurnJournalClient&, HttpClient&, bool isFirstStart, const Clock&, JsonLog&);

    /// Why a turn got no answer of a target.
    struct Refusal {
        /// HTTP status; 402, 404 and 503 promise that the turn has not run.
        int status = 503;
        std::string reason;
        /// The answer has begun and cannot be ended; its connection must be closed.
        bool isBrokenOff = false;
    };

    /// Serves one turn. \returns what the caller must be told; empty if it has its answer.
    std::optional<Refusal> serve(ForwardedCall&, ResponseWriter&);

private:
    struct Turn;
    struct Admission;

    std::variant<TurnAdmitted, Refusal> admit(const ForwardedCall&, Turn&);
    /// Finds out what the ledger needs to know; a refusal ends the admission.
    std::optional<Refusal> learn(Admission&, const TurnBudgetSpent&);
    std::optional<Refusal> learn(Admission&, const TurnNeedsGrants&);
    std::optional<Refusal> learn(Admission&, const TurnNotFound&);
    std::optional<Refusal> learn(Admission&, const TurnNeedsProgram&);
    std::optional<Refusal> learn(Admission&, const TurnNeedsOrigin&);
    void read(const ProgramId&, ReadMode);
    std::optional<ProgramId> readOrigin(const CallId& previous);
    std::optional<Refusal> findKept(const ForwardedCall&, const CallId& missing, TurnKnowledge&);
    std::optional<Refusal> findStoredMeanwhile(const CallId& missing, bool isPrevious, TurnKnowledge&);
    bool keep(ForwardedCall&, Turn&, ChangeId);
    void dropOnceStored(const JournalEntry&, ChangeId);
    bool isStoreFailing() const;
    /// What the other daemons know of a program.
    struct PeerKnowledge {
        bool anyFound = false;
        /// All daemons that may have changed the program's account have answered.
        bool isComplete = false;
        /// Tokens that changes of unknown fate may have taken from the account.
        TokenCount claimed = 0;
    };
    std::size_t askPeers(const char* path, const std::string& body, Milliseconds limit, const std::function<void(const RelayAddress&, const std::string&)>& onAnswer);
    PeerKnowledge readFromPeers(const ProgramId&);
    /// What the daemons that hold parts of a budget answered.
    struct HoldersAnswer {
        bool anyReleased = false;
        /// Held by daemons that did not answer.
        TokenCount deadTokens = 0;
    };
    HoldersAnswer askHolders(const ProgramId&, std::map<DaemonLifetime, TokenCount> holders);
    bool hasSeenAll() const;
    bool isReserved(const ForwardedCall&, Turn&);
    bool takeGrant(const ForwardedCall&, Turn&);
    /// Tokens that all grants of the program together may hand out now.
    TokenCount allowanceOf(const TurnRequest&);
    AccountWord ownWord(const ProgramId&);
    TurnEnd endOf(const Turn&) const;
    std::optional<TokenCount> outstandingOf(const ForwardedCall&, const TurnRequest&);
    bool mayHandOut(const Turn&, TokenCount) const;
    StreamHooks hooksFor(ForwardedCall&, Turn&);
    std::optional<Refusal> forward(ForwardedCall&, Turn&, ResponseWriter&);
    bool record(ForwardedCall&, Turn&, const TargetId&);

    Forwarder& m_forwarder;
    StoreClient& m_store;
    TurnLedger& m_ledger;
    LedgerWriter& m_writer;
    TurnJournalClient& m_journal;
    HttpClient& m_client;
    std::vector<RelayAddress> m_peers;
    bool m_hasEntered = false;
    bool m_hasCleanStart;
    Handovers m_handovers;
    TimePoint m_startedAt;
    GrantDoubt m_doubt;
    bool m_isAskingForNames = false;
    SharedReads<std::pair<ProgramId, ReadMode>> m_reads;
    const Clock& m_clock;
    JsonLog& m_log;
};

} // namespace basilpoint
