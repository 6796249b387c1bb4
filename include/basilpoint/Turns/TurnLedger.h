#pragma once

#include "basilpoint/Turns/AccountChange.h"
#include "basilpoint/Turns/SplitTurn.h"

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

/// A turn that a caller requests.
struct TurnRequest {
    ProgramId program;
    CallId turn;
    /// Turn to continue; empty at the start of a chain.
    CallId previous;
    /// The program's budget in tokens.
    TokenCount budget = ProgramAccount::unlimited;
    /// Maximum number of tokens that the turn generates.
    TokenCount maxTokens = 0;
    /// When the turn, its chain and the program's account expire.
    WallTimePoint keepUntil;
    /// Whether the turn is recorded, so that others can continue it. A turn that is not kept continues none, even if its program
    /// has had turns before.
    bool isKept = true;
};

/// Identifies a change, so that callers can wait until it is stored.
using ChangeId = Number<struct ChangeTag>;

/// The turn may run.
struct TurnAdmitted {
    /// Concatenated inputs and outputs of the preceding turns of the chain.
    std::string history;
    /// Target that ran the previous turn; empty if it is not known.
    TargetId lastTarget;
    /// Reservation that must be stored before a token reaches the caller; not set if the daemon's hold is sufficient.
    std::optional<ChangeId> reservation;
    /// Whether an engine may start the turn before the reservation is stored.
    bool mayRunAhead = true;
    /// Whether the turn has no reservation and must take a grant before it hands out tokens.
    bool needsGrant = false;
};

/// The program's records must be read before begin() is called again.
struct TurnNeedsProgram {
    ProgramId program;
    /// Whether a stale read is sufficient: what it finds is valid, but it may miss recent records.
    bool mayBeStale = false;
    /// Whether only the account is needed, as of a moment ago, to be certain that the budget is spent.
    bool isForBudget = false;
};

/// The program that contains \ref turn, a turn of the chain, must be looked up before begin() is called again.
struct TurnNeedsOrigin {
    CallId turn;
};

/// The number of outstanding granted tokens must be queried before begin() is called again.
struct TurnNeedsGrants { };

/// The turn needs tokens that are reserved for grants. The keepers must close the reserve before begin() is called again.
struct TurnNeedsReserve { };

/// The remaining budget is too small for the turn.
struct TurnBudgetSpent {
    /// False if the budget is too small only because of outstanding grants, whose tokens may not all be used.
    bool isCertain = true;
    TokenCount budget = 0;
    TokenCount spent = 0;
    /// Tokens held by all daemons, including terminated ones.
    TokenCount held = 0;
    /// Tokens by which the remaining budget is too small.
    TokenCount lacking = 0;
    /// Holds of other daemons that should be asked to release them, if that could make room for the turn. Some of the
    /// daemons may have terminated.
    std::map<DaemonLifetime, TokenCount> holders;
};

/// The store does not have a turn of the chain.
struct TurnNotFound {
    /// The previous turn, or an earlier one of its chain.
    CallId missing;
};

using TurnDecision = std::variant<TurnAdmitted, TurnNeedsProgram, TurnNeedsOrigin, TurnNeedsGrants, TurnNeedsReserve, TurnBudgetSpent, TurnNotFound>;

/// What a request has read from the store so far, which prevents repeated reads.
struct TurnKnowledge {
    /// The program's records were read for this request, possibly by a stale read.
    bool isProgramRead = false;
    /// The program's records were read for this request by a current read.
    bool isProgramFresh = false;
    /// The program's account was read for this request, as of a moment ago.
    bool isBudgetFresh = false;
    /// Programs that contain turns of the chain, as far as they were looked up; empty if no such program was found.
    std::map<CallId, std::optional<ProgramId>> origins;
    /// Other programs whose records were read for this request by a current read.
    std::set<ProgramId> freshOrigins;
    /// Granted tokens that the account may not include; not set if they must be queried.
    std::optional<TokenCount> outstanding = 0;
    /// Whether accounts can be changed now; if not, a turn that exceeds this daemon's hold needs a grant.
    bool mayReserve = true;
    /// Whether writes are slow, so that tokens for the next turn should be reserved as well.
    bool holdsAhead = false;
    /// Whether new accounts get a reserve for grants, since no daemon attests accounts.
    bool reservesForGrants = false;
    /// The keepers take no further grants from the program's reserve; \ref outstanding was queried after that.
    bool isReserveClosed = false;
};

/// Circumstances in which a turn ends.
struct TurnEnd {
    /// Reservation made for the turn; cancelled if it is not stored yet.
    std::optional<ChangeId> reservation;
    /// Step of the grant under which the turn ran; 0 for none.
    std::uint64_t grant = 0;
    /// Whether the turn was admitted with \ref TurnAdmitted::needsGrant.
    bool neededGrant = false;
    /// Whether the account may be missing tokens granted to other daemons, so that no hold may be kept for the next
    /// turn.
    bool mayMissGrants = false;
    /// Whether writes are slow, so that tokens for two turns should be held.
    bool holdsAhead = false;
    /// As \ref TurnKnowledge::reservesForGrants.
    bool reservesForGrants = false;
};

/// A record in the store.
struct StoredRecord {
    std::string key;
    std::string value;
    std::int64_t revision = 0;
};

/// A daemon's attestation of what it knows about a program's account, given while the store is unreachable.
///
/// If the attestations of all daemons are complete, nothing else can change the account, and a grant may use all that
/// they show to be left of the budget.
struct AccountAttestation {
    /// The program's records as known to the daemon.
    std::vector<StoredRecord> records;
    /// Tokens that may still be taken from the account by changes that the daemon sent and has no confirmation of.
    TokenCount unconfirmedTokens = 0;
    /// Whether the attestation includes every change of the account made through this daemon.
    bool isComplete = false;
    /// Whether this lifetime of the daemon has not changed any account; an earlier one may have.
    bool hasNoChanges = false;
    /// Whether only changes of earlier lifetimes can be missing, all of which the keepers know.
    bool isCompleteWithKeepers = false;
};

/// A program's account record in the store.
struct KnownAccount {
    ProgramId program;
    StoredRecord record;
};

/// Writes of one program that are committed atomically.
struct LedgerBatch {
    std::uint64_t number = 0;
    /// Keys with the revisions that they must have; 0 if the key must not exist.
    std::vector<std::pair<std::string, std::int64_t>> conditions;
    std::vector<std::pair<std::string, std::string>> puts;
    /// Turns whose pieces must be stored before the batch, with the keys of these up to their names.
    std::vector<std::pair<std::string, SplitTurn>> splitTurns {};
    /// Data centre whose keeper commits the program's changes.
    DataCentreId commitDataCentre {};

    std::size_t entries() const { return conditions.size() + puts.size(); }
};

/// Outcome of a change.
enum class ChangeOutcome {
    Stored,
    /// The reservation exceeded the budget.
    Denied,
    /// The store takes no record of the turn, whose tokens are charged all the same.
    Rejected,
};

/// Limits of a ledger.
struct LedgerSettings {
    /// Conditions and writes in one batch: the limit of a store call, less one write that the sender may add.
    std::size_t maxBatchEntries = 31;
    /// Batches in flight. Each contains changes of one program, so that a failed condition affects no other program.
    std::size_t maxBatches = 32;
    /// Bytes of the largest turn that is stored as one value, and of all turns in one batch unless it has one only.
    std::size_t maxValueBytes = 1'000'000;
    /// Bytes of turns and accounts cached in memory.
    std::size_t maxCachedBytes = 12 * 1024 * 1024;
    /// Data centre of this daemon.
    DataCentreId dataCentre {};
};

/// Turns and budgets of the programs that this daemon serves.
///
/// The store contains an account for each program, whose writes are conditional on its revision, and a record for each
/// completed turn. A daemon takes a hold on part of a budget and hands out tokens against it, so that the sum over all
/// daemons never exceeds the budget, even if daemons terminate at any time. The hold of a terminated daemon stays
/// charged.
class TurnLedger {
public:
    TurnLedger(DaemonLifetime self, LedgerSettings);

    /// Decides whether a turn may run. An admitted turn must be ended by end().
    TurnDecision begin(const TurnRequest&, const TurnKnowledge&, TimePoint now);

    /// Takes some of the program's records, as read from the store at any time.
    void recordsRead(const ProgramId&, const std::vector<StoredRecord>&);

    /// Takes all of the program's records, read from the store at one revision.
    void allRecordsRead(const ProgramId&, const std::vector<StoredRecord>&);

    /// Data centre whose keeper commits the program's changes; this daemon's own if the account is not known.
    DataCentreId commitDataCentreOf(const ProgramId&) const;

    /// Revision of the program's account up to which all its records are known here; 0 for none.
    std::int64_t completeUpTo(const ProgramId&) const;

    /// Ends an admitted turn. \p record is set if it is kept and was answered completely.
    /// \returns the change that charges the turn, if it has a record or ran under a grant. One with a record must be stored before
    /// the caller may see the end of the answer.
    std::optional<ChangeId> end(const TurnRequest&, TokenCount handedOut, std::optional<TurnRecord> record, const TurnEnd& = {});

    /// Journal entry with the program's changes up to \p change that are not stored yet; empty if \p change is stored.
    /// Its changes take no hold when another process applies them.
    std::optional<JournalEntry> entryFor(const ProgramId&, ChangeId change) const;

    /// Whether the turns in that entry are too large for the journal.
    bool isEntryTooLarge(const ProgramId&, ChangeId change) const;

    /// Attests the program's account, so that grants can be based on it. If \p isBinding, changes that are still
    /// waiting take no more tokens as holds, so that the attestation stays valid until the store is reachable and
    /// outstanding grants are counted again.
    AccountAttestation attest(const ProgramId&, bool isBinding);

    /// Tokens of the program's account, as known here, that are neither spent nor held.
    TokenCount remainingOf(const ProgramId&, TokenCount budget) const;

    /// As \ref remainingOf, with the tokens that are reserved for grants.
    TokenCount unusedOf(const ProgramId&, TokenCount budget) const;

    /// Takes turns of the program that keepers keep until they are stored.
    void adopt(const ProgramId&, const std::vector<TurnRecord>&);

    /// Releases the part of this daemon's hold that no running turn needs. \returns the change that must be stored;
    /// empty if there is nothing to release.
    std::optional<ChangeId> releaseHold(const ProgramId&);

    /// Maximum total tokens of all grants of the program that is certain without attestations: one turn's tokens, and those
    /// that the account reserves for grants.
    TokenCount grantAllowance(const TurnRequest&, TimePoint now) const;

    /// Allocates three consecutive steps for the Grant, GrantEnd and GrantStored changes of a grant. \returns the
    /// first.
    std::uint64_t allocateGrantSteps() { return std::exchange(m_nextStep, m_nextStep + 3); }

    const DaemonLifetime& self() const { return m_self; }

    /// Writes to be sent now; empty if there are none or too many are in flight.
    std::optional<LedgerBatch> nextBatch();

    /// The batch was stored at \p revision.
    void batchStored(std::uint64_t number, std::int64_t revision);
    /// A condition of the batch failed; \p current contains the records of its conditions' keys that exist.
    void batchRefused(std::uint64_t number, const std::vector<StoredRecord>& current);
    /// The store rejects the batch for what it contains. Its turns are stored one by one from then on, and the one at fault is
    /// given up, with those that continue it.
    /// \returns whether further batches may differ; if not, the batch has no turn to be given up.
    bool batchRejected(std::uint64_t number);
    /// The outcome of the batch is unknown; its changes go into another batch.
    void batchOutcomeUnknown(std::uint64_t number);

    /// Changes whose outcome became known since the last call.
    std::vector<std::pair<ChangeId, ChangeOutcome>> takeOutcomes();

    /// Accounts that are known here and may not have expired at \p now.
    std::vector<KnownAccount> knownAccounts(TimePoint now) const;

    /// Makes the settlements of turns that are not kept ready to be written, if they have been deferred for \ref maxDeferral.
    void writeDeferred(TimePoint now);

    /// Longest time for which a settlement is deferred.
    static constexpr Milliseconds maxDeferral { 1'000 };

    /// Whether changes are waiting or in flight. Deferred changes are not waiting yet.
    bool hasWork() const { return !m_waiting.empty() || !m_batches.empty(); }
    std::size_t cachedBytes() const { return m_cachedBytes; }
    std::size_t programs() const { return m_programs.size(); }

    /// Prefix of all records of \p program.
    static std::string programPrefix(const ProgramId&);
    /// Prefix of the program that the record with \p key belongs to; empty if it belongs to none.
    static std::string programPrefixOf(const std::string& key);
    /// Key of one turn's record.
    static std::string turnKey(const ProgramId&, const CallId& turn);
    /// Key of a program's account.
    static std::string accountKey(const ProgramId&);
    /// Key of the record that names the program of \p turn.
    static std::string originKey(const CallId& turn);

private:
    /// A change that is not stored yet.
    struct Change {
        ChangeId id;
        AccountChange change;
        /// The turn of the reservation has ended; the change is dropped unless it turns out to be stored.
        bool isCancelled = false;
        /// Made before a binding attestation; must take no more tokens as a hold.
        bool isVoided = false;
        /// Was part of a batch, which may have taken effect.
        bool wasSent = false;
        /// Tokens of a reservation that its own turn needs; the rest is for the next turn.
        TokenCount needed = 0;
        /// Whether a reservation may be reduced to what the daemon's hold lacks for its turn.
        bool mayReduce = false;
    };

    struct Program {
        ProgramAccount account;
        std::int64_t revision = 0;
        /// Time of the last call of begin() when \ref account was read or stored.
        TimePoint accountAt = TimePoint::min();
        /// All turns stored up to this revision are known here.
        std::int64_t completeUpTo = 0;
        bool isKnown = false;
        std::map<CallId, std::shared_ptr<const TurnRecord>> turns;
        /// Imported chains in \ref turns that no change contains yet, since no turn that continues them has ended.
        std::set<CallId> imported;
        std::deque<Change> changes;
        bool isInBatch = false;
        /// The store has rejected a batch, so that each has one turn until one is stored.
        bool isStoredSingly = false;
        /// Number of admitted turns that have not ended.
        std::size_t admitted = 0;
        /// Maximum tokens of the turns that run here.
        TokenCount running = 0;
        /// Tokens used by ended turns whose settlement is not stored yet.
        TokenCount unsettled = 0;
        /// Smallest hold left by any batch that was based on the known account and may have taken effect. No more than
        /// this may be used until a newer account is known.
        std::optional<TokenCount> holdAfterBatch;
        /// Maximum number of tokens that a batch based on the known account may take from it, even if its changes have
        /// been dropped since. At most one such batch takes effect.
        TokenCount unconfirmedTokens = 0;
        bool isQueued = false;
        /// When a current read last showed that the budget is spent.
        TimePoint seenSpentAt = TimePoint::min();
        /// When other daemons were last asked to release their holds.
        TimePoint askedHoldersAt = TimePoint::min();
        /// Position in \ref m_recent.
        std::list<ProgramId>::iterator recent;
        /// Time of the last call of begin() when the program was last used.
        TimePoint usedAt = TimePoint::min();
        std::size_t bytes = 0;
    };

    /// State of a batch in flight.
    struct BatchState {
        ProgramId program;
        /// The account after the batch.
        ProgramAccount account;
        /// Revision of the account that the changes were applied to.
        std::int64_t revision = 0;
        /// Step of the last change included in the account.
        std::uint64_t step = 0;
    };

    /// With less than this many turns' worth of budget remaining, a daemon releases what no running turn needs.
    static constexpr TokenCount turnsLeftToKeep = 1;

    Program& touch(const ProgramId&);
    TokenCount usableHold(const Program&) const;
    TokenCount freeHold(const Program&) const;
    /// Part of this daemon's hold that is free once all ended turns are settled.
    TokenCount spareHold(const Program&) const;
    /// \param missing set to a turn of the chain that the program does not have, if the history is incomplete.
    static std::optional<std::string> historyOf(const Program&, const CallId& turn, CallId& missing);
    std::variant<std::string, TurnDecision> findHistory(Program&, const TurnRequest&, const TurnKnowledge&);
    /// Copies the chain of \p turn into a program that lacks it. \returns what must be known first; empty if it was copied.
    std::optional<TurnDecision> importChain(const TurnRequest&, const ProgramId& into, const CallId& turn, const TurnKnowledge&, std::size_t depth);
    /// Adds changes that store the imported chains which \p turn belongs to or continues.
    void addImports(const TurnRequest&, Program&, const CallId& turn, std::optional<TokenCount> reserve);
    TurnDecision reserve(Program&, const TurnRequest&, const TurnKnowledge&, TurnAdmitted admitted, TimePoint now);
    void queue(const ProgramId&, Program&);
    std::vector<StoredRecord> recordsOf(const ProgramId&, const Program&) const;
    bool isSplit(const TurnRecord& record) const { return SplitTurn::bytesOf(record) > m_settings.maxValueBytes; }
    bool holdCoversTurns(const Program&) const;
    static void clearVoidedHolds(Program&);
    void confirmHeldReservations(Program&);
    void dropDenied(Program&);
    /// Makes a batch of the program's changes; empty if there are none.
    std::optional<std::pair<LedgerBatch, BatchState>> makeBatch(const ProgramId&, Program&);
    void putTurn(LedgerBatch&, const ProgramId&, const Program&, const TurnRecord&) const;
    void cancel(Program&, ChangeId);
    std::map<DaemonLifetime, TokenCount> holdersToAsk(Program&, const TurnRequest&, TimePoint now) const;
    ChangeId addChange(const ProgramId&, Program&, AccountChange);
    /// Adds a settlement that need not be written now, to the last one if possible.
    ChangeId deferChange(const ProgramId&, Program&, AccountChange);
    /// Drops all changes up to \p step, which the account includes.
    void dropStored(Program&, std::uint64_t step);
    /// Resets the effects of batches based on an older account: they took effect before the known one or never will.
    static void resetBatchEffects(Program&);
    void rebase(Program&, const ProgramAccount&, std::int64_t revision);
    void endBatch(std::uint64_t number, const std::function<void(const BatchState&, Program&)>&);
    void addTurn(Program&, TurnRecord);
    void removeTurn(Program&, const CallId& turn);
    /// Gives up the first unstored turn and those that continue it; their changes charge its tokens only.
    void giveUpFirstTurn(Program&);
    void evict();

    DaemonLifetime m_self;
    LedgerSettings m_settings;
    std::unordered_map<ProgramId, Program> m_programs;
    /// Least recently used first.
    std::list<ProgramId> m_recent;
    std::deque<ProgramId> m_waiting;
    /// Programs with deferred changes, and when these were made; may name programs whose changes have been written since.
    std::deque<std::pair<TimePoint, ProgramId>> m_deferred;
    std::map<std::uint64_t, BatchState> m_batches;
    std::vector<std::pair<ChangeId, ChangeOutcome>> m_outcomes;
    std::uint64_t m_nextBatch = 1;
    std::uint64_t m_nextChange = 1;
    /// Common to all programs, so that a program evicted and read again continues above its last step.
    std::uint64_t m_nextStep = 1;
    std::size_t m_cachedBytes = 0;
    /// Time of the last call of begin().
    TimePoint m_now = TimePoint::min();
    /// When a program was last evicted from the cache.
    std::optional<TimePoint> m_evictedAt;
};

} // namespace basilpoint
