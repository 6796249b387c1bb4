#pragma once

#include "AccountPeers.h"
#include "Forwarder.h"
#include "LedgerWriter.h"
#include "SharedReads.h"
#include "StoreClient.h"
#include "TurnJournalClient.h"

#include "basilpoint/Turns/TurnLedger.h"

namespace basilpoint {

/// Serves turns: finds their history, enforces their program's budget, and stores their records. Of turns on routes that keep
/// none it only enforces the budget.
class TurnController {
public:
    TurnController(Forwarder&, StoreClient&, TurnLedger&, LedgerWriter&, TurnJournalClient&, AccountPeers&, MemoryBudget&, const Clock&, JsonLog&, Metrics&);

    /// Why a turn was not answered by a target.
    struct Refusal {
        /// HTTP status; 402, 404 and 503 guarantee that the turn has not run.
        int status = 503;
        /// Stable identifier in kebab-case of the reason, or of what broke the answer off.
        std::string_view code;
        std::string reason;
        /// Whether the answer has begun and cannot be completed, so that its connection must be closed.
        bool isBrokenOff = false;
        /// When the caller should try again; if empty, after a share of the time that it has left.
        std::optional<Milliseconds> retryAfter {};

        /// Of a call that no target has run.
        static Refusal ofCallNotRun(const ForwardedCall&);
    };

    /// Serves one turn. \returns the refusal to send to the caller; empty if the turn was answered.
    std::optional<Refusal> serve(ForwardedCall&, ResponseWriter&);

private:
    struct Turn;
    struct Admission;

    std::variant<TurnAdmitted, Refusal> admit(const ForwardedCall&, Turn&);
    /// Obtains what the ledger asks for. \returns a refusal to end the admission.
    std::optional<Refusal> learn(Admission&, const TurnBudgetSpent&);
    std::optional<Refusal> learn(Admission&, const TurnNeedsGrants&);
    std::optional<Refusal> learn(Admission&, const TurnNeedsReserve&);
    std::optional<Refusal> learn(Admission&, const TurnNotFound&);
    std::optional<Refusal> learn(Admission&, const TurnNeedsProgram&);
    std::optional<Refusal> learn(Admission&, const TurnNeedsOrigin&);
    std::optional<Refusal> learnWithoutStore(Admission&, const ProgramId&);
    bool learnFromKeepers(Admission&, const TurnNeedsProgram&);
    std::int64_t recall(const ProgramId&, std::int64_t after);
    void read(const ProgramId&, ReadMode);
    /// Reads the program's account as of a moment ago.
    void readAccount(const ProgramId&);
    bool adoptFromKeepers(Admission&);
    /// Passes turns found on the keepers to the ledger.
    void adopt(const std::vector<JournalEntry>&);
    std::optional<ProgramId> readOrigin(const CallId& turn);
    std::optional<Refusal> findOnKeepers(const ForwardedCall&, const TurnRequest&, const CallId& missing, TurnKnowledge&);
    std::optional<Refusal> recheckOrigin(const CallId& missing, bool isPrevious, TurnKnowledge&);
    /// \returns whether keepers keep the entries, before the deadline and before the store has them.
    bool appendUntilKept(const std::vector<JournalEntry>&, const LedgerWriter::SharedOutcome& stored, TimePoint deadline);
    bool keepOnKeepers(ForwardedCall&, Turn&, ChangeId, const LedgerWriter::SharedOutcome&);
    /// Ends a turn that is not kept.
    void settle(Turn&);
    void dropOnceStored(const JournalEntry&, const LedgerWriter::SharedOutcome&);
    bool ensureReserved(const ForwardedCall&, Turn&);
    bool takeGrant(const ForwardedCall&, Turn&);
    bool requestGrant(const ForwardedCall&, Turn&);
    /// Maximum total tokens of all grants of the program at present.
    TokenCount allowanceOf(const TurnRequest&);
    TurnEnd endOf(const Turn&) const;
    bool reservesForGrants() const;
    std::optional<TokenCount> outstandingOf(const ForwardedCall&, const TurnRequest&);
    /// Suspends until the tokens may be handed out. \returns whether they may.
    bool awaitTokens(const ForwardedCall&, Turn&, TokenCount);
    /// Suspends until the tokens of a turn that runs under a grant are reserved as well, or until its time is over.
    void awaitReservation(const ForwardedCall&, Turn&);
    /// Tries to reserve the tokens of such a turn.
    void reserveDespiteGrant(const ForwardedCall&, Turn&);
    void countEnd(std::string_view outcome, std::chrono::nanoseconds waited);
    StreamHooks hooksFor(ForwardedCall&, Turn&);
    std::optional<Refusal> forward(ForwardedCall&, Turn&, ResponseWriter&);
    bool record(ForwardedCall&, Turn&, const TargetId&);

    Forwarder& m_forwarder;
    StoreClient& m_store;
    TurnLedger& m_ledger;
    LedgerWriter& m_writer;
    TurnJournalClient& m_journal;
    AccountPeers& m_accounts;
    /// Memory of the requests in progress.
    MemoryBudget& m_memory;
    SharedReads<std::pair<ProgramId, ReadMode>> m_reads;
    std::size_t m_grantsInFlight = 0;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
};

} // namespace basilpoint
