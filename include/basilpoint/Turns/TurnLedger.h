#pragma once

#include "basilpoint/Turns/AccountChange.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace basilpoint {

/// A turn that a caller asks for.
struct TurnRequest {
    ProgramId program;
    CallId turn;
    /// Turn to continue; empty at the start of a chain.
    CallId previous;
    TokenCount budget = ProgramAccount::unlimited;
    /// Most tokens that the turn generates.
    TokenCount mostTokens = 0;
    /// Until when the turn, its chain and the program's account are kept.
    WallTimePoint keepUntil;
};

/// One change that must be stored before something may go on.
using ChangeId = Number<struct ChangeTag>;

/// The turn may run.
struct TurnAdmitted {
    /// Inputs and outputs of the chain before the turn.
    std::string history;
    /// Target that ran the turn to continue; empty if that is not known.
    TargetId lastTarget;
    /// Reservation that must be stored before a token reaches the caller; empty if it is already.
    std::optional<ChangeId> reservation;
    /// Whether the turn may be handed to an engine before the reservation is stored.
    bool mayRunAhead = true;
    /// Whether the turn has no tokens of its own yet and may hand out none before it has a grant.
    bool needsGrant = false;
};

/// The program's records must be read first; then ask again.
struct TurnNeedsProgram {
    ProgramId program;
    /// Whether records that are some time old may do; what is found in them is certain, what is missing is not.
    bool mayBeStale = false;
};

/// The program that holds the turn \p previous must be looked up; then ask again.
struct TurnNeedsOrigin {
    CallId previous;
};

/// Tokens were granted while accounts could not be read; how many must be known first; then ask again.
struct TurnNeedsGrants { };

/// The budget does not hold one more turn.
struct TurnBudgetSpent {
    /// False if that is so only because of granted tokens, of which not all may be used.
    bool isCertain = true;
    TokenCount budget = 0;
    TokenCount spent = 0;
    /// Tokens that daemons, also dead ones, hold.
    TokenCount held = 0;
    /// Tokens that the turn lacks.
    TokenCount lacking = 0;
    /// What other daemons hold, if that is all that the turn lacks and they should be asked for it; each may be dead.
    std::map<DaemonLifetime, TokenCount> holders;
};

/// The store does not have a turn that the history needs.
struct TurnNotFound {
    /// The turn to continue, or one before it in its chain.
    CallId missing;
};

using TurnDecision = std::variant<TurnAdmitted, TurnNeedsProgram, TurnNeedsOrigin, TurnNeedsGrants, TurnBudgetSpent, TurnNotFound>;

/// What a request has learned from the store so far, so that it never asks twice.
struct TurnKnowledge {
    /// The program's records were read for this request, though they may have been old.
    bool isProgramRead = false;
    /// The program's records were read for this request as they were then.
    bool isProgramFresh = false;
    /// Program that holds the turn to continue, if another one; set once it was looked up.
    std::optional<ProgramId> origin;
    bool isOriginKnown = false;
    bool isOriginFresh = false;
    /// Tokens that were granted and may be missing in the account; empty if they must be looked up.
    std::optional<TokenCount> outstanding = 0;
    /// Whether accounts can be changed now; if not, a turn beyond this daemon's hold needs a grant.
    bool mayReserve = true;
    /// Whether changes take long, so that tokens for the turn after this one should be held as well.
    bool holdsAhead = false;
};

/// What else is known as a turn ends.
struct TurnEnd {
    /// Reservation that began with the turn; taken back if it is not stored yet.
    std::optional<ChangeId> reservation;
    /// Step of the grant under which the turn ran; 0 if it ran under none.
    std::uint64_t grant = 0;
    /// Whether the turn was admitted as one that needs a grant.
    bool neededGrant = false;
    /// Whether the account may lack tokens that were granted elsewhere, so that no more may be held than is needed.
    bool mayMissGrants = false;
    /// Whether changes take long, so that tokens for two turns should be held.
    bool holdsAhead = false;
};

/// One stored record as the store has it.
struct StoredRecord {
    std::string key;
    std::string value;
    std::int64_t revision = 0;
};

/// What a daemon guarantees about a program's account while it cannot be changed.
struct AccountAttestation {
    /// The program's records as they are known here.
    std::vector<StoredRecord> records;
    /// Tokens that changes of this daemon, sent but not confirmed, may yet take from the account.
    TokenCount unconfirmedTokens = 0;
    /// Whether no other change of the account was made through this daemon.
    bool isComplete = false;
    /// Whether this lifetime of the daemon has changed no account; an earlier one may have.
    bool hasNoChanges = false;
    /// Whether the word is complete but for what earlier lifetimes have changed with the keepers' knowledge.
    bool isCompleteWithKeepers = false;
};

/// A program's account as the store has it.
struct KnownAccount {
    ProgramId program;
    StoredRecord record;
};

/// Writes of one program that happen together.
struct LedgerBatch {
    std::uint64_t number = 0;
    std::vector<std::pair<std::string, std::int64_t>> conditions;
    std::vector<std::pair<std::string, std::string>> puts;
    /// Data centre by whose keeper all commit the program's changes.
    DataCentreId commitDataCentre {};

    std::size_t entries() const { return conditions.size() + puts.size(); }
};

/// What became of a change.
enum class ChangeOutcome {
    Stored,
    /// The budget did not hold the reservation.
    Denied,
};

/// Limits of a ledger.
struct LedgerSettings {
    /// Conditions and writes in one batch: as many as one call to the store takes, less one that its sender may add.
    std::size_t maxBatchEntries = 31;
    /// Batches on their way at once; each is of one program, so that no other one's fails with it.
    std::size_t maxBatches = 32;
    /// Bytes of turns and accounts that are kept in memory.
    std::size_t maxCachedBytes = 12 * 1024 * 1024;
    /// Data centre of this daemon.
    DataCentreId dataCentre {};
};

/// Turns and budgets of the programs that this daemon serves.
///
/// The store holds what lasts: an account for each program, changed under its revision, and a record
/// for each whole turn. A daemon takes a hold on part of a budget and hands out tokens against it, so
/// that the sum over all daemons never passes the budget, whichever of them dies when. A hold whose
/// daemon died stays charged.
class TurnLedger {
public:
    TurnLedger(DaemonLifetime self, LedgerSettings);

    /// Decides on a turn. An admitted turn must be ended by end().
    TurnDecision begin(const TurnRequest&, const TurnKnowledge&, TimePoint now);

    /// Some of the program's records, as the store has or had them.
    void programRead(const ProgramId&, const std::vector<StoredRecord>&);

    /// All of the program's records, as the store had them at one time.
    void wholeProgramRead(const ProgramId&, const std::vector<StoredRecord>&);

    /// Data centre by whose keeper the program's changes are committed; this daemon's own if it knows no account.
    DataCentreId commitDataCentreOf(const ProgramId&) const;

    /// Revision of the program's account up to which all its records are known here; 0 if that is not known.
    std::int64_t completeUpTo(const ProgramId&) const;

    /// An admitted turn ended. \p record is set if it was answered whole.
    /// \returns the change that must be stored before the caller may see the end; empty if none must.
    std::optional<ChangeId> end(const TurnRequest&, TokenCount handedOut, std::optional<TurnRecord> record, const TurnEnd& = {});

    /// All that is not stored yet of the program, if \p change is not; for keeping it elsewhere meanwhile.
    /// Applied by another, its changes take no hold.
    std::optional<JournalEntry> entryFor(const ProgramId&, ChangeId change) const;

    /// What is known here of the program, for grants by it. If the word \p isBinding, unsent changes take nothing
    /// from the account from now on, so that it stays true until the store is back and grants are counted again.
    AccountAttestation attest(const ProgramId&, bool isBinding);

    /// Tokens that the program's account, as known here, neither has spent nor lets a daemon hold.
    TokenCount remainingOf(const ProgramId&, TokenCount budget) const;

    /// Turns of \p program that are kept elsewhere until they are stored.
    void adopt(const ProgramId&, const std::vector<TurnRecord>&);

    /// Gives back what no turn that runs here needs. \returns the change that must be stored; empty if nothing is held.
    std::optional<ChangeId> releaseHold(const ProgramId&);

    /// Three steps of their own: for a grant, its end and its storing.
    std::uint64_t allocateGrantSteps() { return std::exchange(m_nextStep, m_nextStep + 3); }

    const DaemonLifetime& self() const { return m_self; }

    /// Writes to be made now; empty if there are none, or enough are on their way.
    std::optional<LedgerBatch> nextBatch();

    /// The batch was stored at \p revision.
    void batchStored(std::uint64_t number, std::int64_t revision);
    /// A condition of the batch did not hold; \p current holds the conditions' keys that exist.
    void batchRefused(std::uint64_t number, const std::vector<StoredRecord>& current);
    /// The batch's fate is unknown; its changes go into another batch.
    void batchOutcomeUnknown(std::uint64_t number);

    /// Changes whose fate became known since the last call.
    std::vector<std::pair<ChangeId, ChangeOutcome>> takeOutcomes();

    /// Accounts that are known here and must still be kept.
    std::vector<KnownAccount> knownAccounts(WallTimePoint now) const;

    /// Whether something is to be stored, or is on its way.
    bool hasWork() const { return !m_waiting.empty() || !m_batches.empty(); }
    std::size_t cachedBytes() const { return m_cachedBytes; }
    std::size_t programs() const { return m_programs.size(); }

    /// Prefix of all records of \p program.
    static std::string programPrefix(const ProgramId&);
    /// Prefix of the program whose record \p key holds; empty if it is none of a program's.
    static std::string programPrefixOf(const std::string& key);
    /// Key of one turn's record.
    static std::string turnKey(const ProgramId&, const CallId& turn);
    /// Key of a program's account.
    static std::string accountKey(const ProgramId&);
    /// Key that holds the program of \p turn.
    static std::string originKey(const CallId& turn);

private:
    /// A change that is not stored yet.
    struct Change {
        ChangeId id;
        AccountChange change;
        /// Its turn has ended; it is dropped unless it turns out to be stored.
        bool isCancelled = false;
        /// It was made before this daemon gave its word, and must not take effect any more.
        bool isVoided = false;
        /// It was in a batch, which may have taken effect.
        bool wasSent = false;
        /// Of a reservation: what its own turn needs; the rest is for the next one.
        TokenCount needed = 0;
    };

    struct Program {
        ProgramAccount account;
        std::int64_t revision = 0;
        /// All turns that were stored up to this revision are known here.
        std::int64_t completeUpTo = 0;
        bool isKnown = false;
        std::map<CallId, std::shared_ptr<const TurnRecord>> turns;
        /// Chains that were begun under another program and are not stored under this one yet.
        std::set<CallId> imported;
        std::deque<Change> changes;
        bool isInBatch = false;
        /// Most tokens of turns that run here.
        TokenCount running = 0;
        /// Tokens of ended turns whose settlement is not stored yet.
        TokenCount unsettled = 0;
        /// Least hold that a batch leaves which was made on the account as it is known, and may have taken effect; no
        /// more than this may be used until a newer account is known.
        std::optional<TokenCount> holdAfterBatch;
        /// Most tokens that a batch which was made on the account as it is known may take from it, though its changes
        /// may be dropped since. One such batch takes effect at most.
        TokenCount unconfirmedTokens = 0;
        bool isQueued = false;
        /// When the store last showed that the budget is spent.
        TimePoint seenSpentAt = TimePoint::min();
        /// When other daemons were last to be asked for what they hold.
        TimePoint askedHoldersAt = TimePoint::min();
        std::list<ProgramId>::iterator recent;
        std::size_t bytes = 0;
    };
    struct Part {
        ProgramId program;
        ProgramAccount account;
        /// Revision of the account that the changes were applied to.
        std::int64_t revision = 0;
        /// Last change that the account holds.
        std::uint64_t step = 0;
        std::vector<CallId> imported;
    };
    Program& touch(const ProgramId&);
    TokenCount usableHold(const Program&) const;
    TokenCount freeHold(const Program&) const;
    /// \param missing set to the turn that the program lacks, if the history is not whole.
    static std::optional<std::string> historyOf(const Program&, const CallId& turn, CallId& missing);
    std::variant<std::string, TurnDecision> findHistory(Program&, const TurnRequest&, const TurnKnowledge&);
    TurnDecision reserve(Program&, const TurnRequest&, const TurnKnowledge&, TurnAdmitted admitted, TimePoint now);
    void queue(const ProgramId&, Program&);
    static std::vector<StoredRecord> recordsOf(const ProgramId&, const Program&);
    bool holdCoversTurns(const Program&) const;
    static void clearVoidedHolds(Program&);
    void confirmHeldReservations(Program&);
    void dropDenied(Program&);
    /// What goes into one batch of the program's changes; nothing if none is left.
    std::optional<std::pair<LedgerBatch, Part>> makeBatch(const ProgramId&, Program&);
    /// \returns whether all imported chains fit into the batch.
    bool addImports(LedgerBatch&, Part&, const Program&) const;
    void putTurn(LedgerBatch&, const ProgramId&, const TurnRecord&) const;
    void cancel(Program&, ChangeId);
    std::map<DaemonLifetime, TokenCount> holdersToAsk(Program&, const TurnRequest&, TimePoint now) const;
    ChangeId addChange(const ProgramId&, Program&, AccountChange);
    /// Drops all changes up to \p step, which the account holds.
    void dropStored(Program&, std::uint64_t step);
    /// Whatever was sent on an older account took effect before the one that is known now, or never will.
    static void resetBatchEffects(Program&);
    void rebase(Program&, const ProgramAccount&, std::int64_t revision);
    void endBatch(std::uint64_t number, const std::function<void(const Part&, Program&)>&);
    void addTurn(Program&, TurnRecord);
    void evict();

    DaemonLifetime m_self;
    LedgerSettings m_settings;
    std::unordered_map<ProgramId, Program> m_programs;
    /// Least recently used first.
    std::list<ProgramId> m_recent;
    std::deque<ProgramId> m_waiting;
    std::map<std::uint64_t, Part> m_batches;
    std::vector<std::pair<ChangeId, ChangeOutcome>> m_outcomes;
    std::uint64_t m_nextBatch = 1;
    std::uint64_t m_nextChange = 1;
    /// Steps rise over all programs, so that one that was forgotten and read again goes on above its last.
    std::uint64_t m_nextStep = 1;
    std::size_t m_cachedBytes = 0;
    /// Latest time that a caller told.
    TimePoint m_now = TimePoint::min();
    /// When a program's account was last forgotten.
    std::optional<TimePoint> m_evictedAt;
};

} // namespace basilpoint
