#include "TurnController.h"

#include "OrganisationScope.h"
#include "StoreCodec.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Turns/Errors.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace basilpoint {

// Added to the retention of records to allow for clock differences.
static constexpr Milliseconds retentionMargin { 10'000 };
// The smallest grant is a turn's maximum tokens divided by this; most turns would exceed a smaller one and be broken
// off.
static constexpr TokenCount minGrantDivisor = 3;
// Limit for the query of outstanding grants, which is made before each turn of a program that may have some.
static constexpr Milliseconds grantsTimeout { 150 };
static constexpr Milliseconds journalTimeout { 400 };
// Limit of an attempt to have keepers keep a turn, of which some may answer and others hang. The pause after it doubles.
static constexpr Milliseconds keepTimeout { 1'000 };
static constexpr Milliseconds minKeepPause { 50 };
static constexpr Milliseconds maxKeepPause { 400 };
// Pause after an attempt to reserve the tokens of a turn that has used up its grant; doubles.
static constexpr Milliseconds minReservePause { 100 };
static constexpr Milliseconds maxReservePause { 400 };
// How long a daemon waits for a journaled turn to be stored; after a longer outage the keepers store it.
static constexpr std::chrono::minutes maxOutage { 10 };
// Attempts to read from the store before the turn is refused.
static constexpr int maxReadAttempts = 3;
// Queries of one program's grants before the turn is refused.
static constexpr int maxGrantQueries = 2;
// Searches on the keepers for one turn; each returns all entries of a program.
static constexpr int maxSearches = 3;
// Requests for records that keepers have committed; the second may find records that a keeper other than the nearest
// committed.
static constexpr int maxRecalls = 2;
static constexpr Milliseconds readRetryInterval { 30 };
// Longest wait for memory for the history of a turn.
static constexpr Milliseconds maxMemoryWait { 300 };
// Copies of a history that are held at a time: in the request to the target, and in the ledger.
static constexpr std::size_t copiesOfHistory = 2;

// How long the account of a program is kept after a turn that is not itself kept.
static constexpr std::chrono::minutes accountRetention { 1 };

/// A turn from its admission to its end.
struct TurnController::Turn {
    TurnRequest request;
    TurnAdmitted admitted;
    /// Outcome of the reservation; null if the turn has none.
    LedgerWriter::SharedOutcome reserved;
    TokenCount handedOut = 0;
    std::string output;
    bool isEnded = false;
    bool isDenied = false;
    /// Refusal if no grant is obtained. Set if the budget is sufficient only with tokens held by daemons that do not
    /// answer.
    std::optional<Refusal> refusalWithoutGrant;
    /// Set if the turn runs under a grant.
    std::optional<TurnJournalClient::GrantRequest> grant;
    TokenCount granted = 0;
    /// Whether the account holds all tokens of the turn, so that a grant does not limit it.
    bool isHeld = false;
    /// Cause for which a hook stopped the stream; empty if none did.
    std::string_view stoppedBy;

    bool stop(const ForwardedCall& call, std::string_view cause)
    {
        stoppedBy = call.isCallerGone ? "caller-gone" : cause;
        return false;
    }
};

TurnController::TurnController(Forwarder& forwarder, StoreClient& store, TurnLedger& ledger, LedgerWriter& writer, TurnJournalClient& journal, AccountPeers& accounts, MemoryBudget& memory, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_forwarder(forwarder)
    , m_store(store)
    , m_ledger(ledger)
    , m_writer(writer)
    , m_journal(journal)
    , m_accounts(accounts)
    , m_memory(memory)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
{
}

template <typename Read>
static auto readWithRetries(Read read)
{
    for (int n = 1;; ++n) {
        try {
            return read();
        } catch (const KeyValueUnavailableError&) {
            if (n == maxReadAttempts)
                throw;
        }
        sleepFiber(readRetryInterval);
    }
}

// Reads records newer than \p after from the keepers. \returns the newest revision found; \p after if there is none.
std::int64_t TurnController::recall(const ProgramId& program, std::int64_t after)
{
    std::vector<KeyValue> found = m_store.recall(TurnLedger::programPrefix(program), after, m_ledger.commitDataCentreOf(program));
    if (!found.empty())
        m_ledger.recordsRead(program, recordsFrom(found));
    for (const KeyValue& it : found)
        after = std::max(after, it.modRevision);
    return after;
}

void TurnController::read(const ProgramId& program, ReadMode mode)
{
    m_reads.run({ program, mode }, [&] {
        KeySnapshot snapshot = readWithRetries([&] { return m_store.snapshot(TurnLedger::programPrefix(program), mode); });
        m_ledger.allRecordsRead(program, recordsFrom(snapshot.items));
    });
}

// Programs that go on after their budget is spent do so through many daemons.
void TurnController::readAccount(const ProgramId& program)
{
    auto account = readWithRetries([&] { return m_store.recentGet(TurnLedger::accountKey(program), m_ledger.commitDataCentreOf(program)); });
    if (account)
        m_ledger.recordsRead(program, recordsFrom({ *account }));
}

std::optional<ProgramId> TurnController::readOrigin(const CallId& turn)
{
    auto found = readWithRetries([&] { return m_store.get(TurnLedger::originKey(turn)); });
    return found ? std::optional(ProgramId(found->value)) : std::nullopt;
}

// Reads the store again after the keepers did not have the turn, since they drop a turn once it is stored, which may
// have happened between the two reads. The chain of an existing turn is complete, but may be unreadable for the
// moment.
std::optional<TurnController::Refusal> TurnController::recheckOrigin(const CallId& missing, bool isPrevious, TurnKnowledge& knowledge)
{
    auto origin = readOrigin(missing);
    if (!origin)
        return isPrevious ? Refusal { 404, "no-such-turn", "no such turn" } : Refusal { 503, "history-incomplete", "history not whole yet" };
    knowledge.origins[missing] = origin;
    knowledge.isProgramFresh = false;
    knowledge.freshOrigins.clear();
    return std::nullopt;
}

static TurnController::Refusal refusalOf(const TurnBudgetSpent& spent, TokenCount maxTokens)
{
    return { spent.isCertain ? 402 : 503, spent.isCertain ? "budget-spent" : "budget-not-certain", fmt::format("{}: budget {}, spent {}, held {}, needed {}", spent.isCertain ? "budget spent" : "budget not certain yet", spent.budget, spent.spent, spent.held, maxTokens) };
}

static ReadMode modeOf(const TurnNeedsProgram& needed)
{
    return needed.mayBeStale ? ReadMode::Stale : ReadMode::Current;
}

// Keepers may answer with entries of different programs, since an imported turn belongs to more than one.
void TurnController::adopt(const std::vector<JournalEntry>& entries)
{
    std::map<ProgramId, std::vector<TurnRecord>> turns;
    for (const JournalEntry& entry : entries)
        for (const AccountChange& it : entry.changes)
            if (it.record)
                turns[entry.program].push_back(*it.record);
    for (const auto& [program, records] : turns)
        m_ledger.adopt(program, records);
}

static bool contains(const JournalEntry& entry, const CallId& turn)
{
    return std::any_of(entry.changes.begin(), entry.changes.end(), [&](const AccountChange& it) { return it.record && it.record->turn == turn; });
}

static std::optional<ProgramId> programOf(const CallId& turn, const std::vector<JournalEntry>& entries)
{
    auto found = std::find_if(entries.begin(), entries.end(), [&](const JournalEntry& it) { return contains(it, turn); });
    return found == entries.end() ? std::nullopt : std::optional(found->program);
}

// Searches the keepers for a turn that the store does not have, since they keep turns until these are stored.
std::optional<TurnController::Refusal> TurnController::findOnKeepers(const ForwardedCall& call, const TurnRequest& request, const CallId& missing, TurnKnowledge& knowledge)
{
    auto entries = m_journal.findInAll(request.program, missing, std::min(call.deadline, m_clock.now() + journalTimeout));
    if (!entries)
        return Refusal { 503, "keepers-unavailable", "keepers out of reach" };
    bool isPrevious = missing == request.previous;
    if (entries->empty())
        return recheckOrigin(missing, isPrevious, knowledge);
    adopt(*entries);
    knowledge.origins[missing] = programOf(missing, *entries);
    return std::nullopt;
}

/// State of a turn's admission.
struct TurnController::Admission {
    const ForwardedCall& call;
    Turn& turn;
    TurnKnowledge knowledge {};
    bool areGrantsKnown = false;
    int unansweredGrantQueries = 0;
    bool hasJoinedRead = false;
    int searches = 0;
    bool hasSearchedKeepers = false;
    int recalls = 0;
    /// Revision of the newest record read from the keepers.
    std::int64_t recalledUpTo = 0;
};

std::optional<TurnController::Refusal> TurnController::learn(Admission& admission, const TurnBudgetSpent& spent)
{
    const TurnRequest& request = admission.turn.request;
    Refusal refusal = refusalOf(spent, request.maxTokens);
    if (spent.holders.empty() || m_store.isFailing())
        return refusal;
    AccountPeers::HoldersAnswer answer = m_accounts.askHolders(request.program, spent.holders);
    if (answer.anyReleased) {
        // The keeper that committed the release has the account.
        std::int64_t known = m_ledger.completeUpTo(request.program);
        if (recall(request.program, known) <= known)
            read(request.program, ReadMode::Current);
    } else if (answer.unansweredTokens < spent.lacking)
        return refusal;
    else
        admission.turn.refusalWithoutGrant = std::move(refusal);
    return std::nullopt;
}

std::optional<TurnController::Refusal> TurnController::learn(Admission& admission, const TurnNeedsGrants&)
{
    admission.knowledge.outstanding = outstandingOf(admission.call, admission.turn.request);
    admission.areGrantsKnown = admission.knowledge.outstanding.has_value();
    if (!admission.areGrantsKnown && ++admission.unansweredGrantQueries == maxGrantQueries)
        return Refusal { 503, "grants-not-known", "grants not known" };
    return std::nullopt;
}

std::optional<TurnController::Refusal> TurnController::learn(Admission& admission, const TurnNeedsReserve&)
{
    const TurnRequest& request = admission.turn.request;
    auto outstanding = m_journal.closeReserve(request.program, m_ledger.self(), m_ledger.allocateGrantSteps(), request.keepUntil, std::min(admission.call.deadline, m_clock.now() + journalTimeout));
    m_log.write(LogLine("reserve-closed").field("request", admission.call.attributes.call.text()).field("program", request.program.text()).field("closed", outstanding.has_value()).field("outstanding", outstanding.value_or(0)));
    if (!outstanding)
        return Refusal { 503, "reserve-not-closed", "part of the budget is reserved, and the keepers do not release it" };
    admission.knowledge.isReserveClosed = true;
    admission.knowledge.outstanding = outstanding;
    admission.areGrantsKnown = true;
    return std::nullopt;
}

std::optional<TurnController::Refusal> TurnController::learn(Admission& admission, const TurnNotFound& notFound)
{
    if (auto refusal = findOnKeepers(admission.call, admission.turn.request, notFound.missing, admission.knowledge))
        return refusal;
    if (++admission.searches > maxSearches)
        return Refusal { 503, "history-incomplete", "history not whole yet" };
    return std::nullopt;
}

std::optional<TurnController::Refusal> TurnController::learn(Admission& admission, const TurnNeedsProgram& needed)
{
    TurnKnowledge& knowledge = admission.knowledge;
    bool isOrigin = needed.program != admission.turn.request.program;
    if (m_store.isFailing())
        return learnWithoutStore(admission, needed.program);
    if (needed.isForBudget && !isOrigin) {
        readAccount(needed.program);
        knowledge.isBudgetFresh = true;
        return std::nullopt;
    }
    if (!isOrigin && learnFromKeepers(admission, needed))
        return std::nullopt;
    if (!admission.hasJoinedRead && m_reads.join({ needed.program, modeOf(needed) })) {
        // The records of the shared read are valid, but it may have begun too early to find all. If so, a separate read
        // follows.
        admission.hasJoinedRead = !needed.mayBeStale;
        knowledge.isProgramRead = knowledge.isProgramRead || (needed.mayBeStale && !isOrigin);
        return std::nullopt;
    }
    read(needed.program, modeOf(needed));
    if (isOrigin)
        knowledge.freshOrigins.insert(needed.program);
    knowledge.isProgramRead = knowledge.isProgramRead || !isOrigin;
    knowledge.isProgramFresh = knowledge.isProgramFresh || (!isOrigin && !needed.mayBeStale);
    return std::nullopt;
}

// Asks the keepers before the store if they are faster or if this may save a current read: missing records were
// mostly committed just before, or are kept by the keepers until a slow store confirms them. \returns whether the
// ledger may have enough records now.
bool TurnController::learnFromKeepers(Admission& admission, const TurnNeedsProgram& needed)
{
    bool isFirst = admission.recalls == 0;
    if ((needed.mayBeStale && !m_store.prefersRecall()) || admission.recalls == maxRecalls)
        return false;
    ++admission.recalls;
    std::int64_t before = std::max(admission.recalledUpTo, m_ledger.completeUpTo(needed.program));
    admission.recalledUpTo = recall(needed.program, before);
    bool isFound = admission.recalledUpTo > before;
    admission.knowledge.isProgramRead = admission.knowledge.isProgramRead || (isFirst && isFound);
    // Turns that the store did not confirm in time are kept by the keepers.
    return isFound || (m_store.fallbackDelay() == Milliseconds(0) && adoptFromKeepers(admission));
}

// Reads the records that keepers have committed, then those in other daemons' memory, then the turns kept by keepers.
std::optional<TurnController::Refusal> TurnController::learnWithoutStore(Admission& admission, const ProgramId& program)
{
    TurnKnowledge& knowledge = admission.knowledge;
    if (!std::exchange(knowledge.isProgramRead, true)) {
        bool isRecalled = recall(program, m_ledger.completeUpTo(program)) > m_ledger.completeUpTo(program);
        if (m_accounts.read(program).anyFound || isRecalled)
            return std::nullopt;
    }
    if (adoptFromKeepers(admission))
        return std::nullopt;
    return Refusal { 503, "store-unavailable", "store out of reach" };
}

// Searches the keepers for the previous turn, which they keep until the store has confirmed it.
bool TurnController::adoptFromKeepers(Admission& admission)
{
    const CallId& previous = admission.turn.request.previous;
    if (previous.empty() || std::exchange(admission.hasSearchedKeepers, true))
        return false;
    auto entries = m_journal.find(admission.turn.request.program, previous, std::min(admission.call.deadline, m_clock.now() + journalTimeout));
    if (!entries || entries->empty())
        return false;
    adopt(*entries);
    return true;
}

std::optional<TurnController::Refusal> TurnController::learn(Admission& admission, const TurnNeedsOrigin& needed)
{
    if (m_store.isFailing())
        return Refusal { 503, "store-unavailable", "store out of reach" };
    admission.knowledge.origins[needed.turn] = readOrigin(needed.turn);
    return std::nullopt;
}

std::variant<TurnAdmitted, TurnController::Refusal> TurnController::admit(const ForwardedCall& call, Turn& turn)
{
    if (!m_accounts.hasEntered())
        return Refusal { 503, "not-entered", "not in the list of daemons yet" };
    Admission admission { call, turn };
    try {
        for (;;) {
            // These may have changed during the last wait.
            admission.knowledge.mayReserve = !m_store.isFailing() && !turn.refusalWithoutGrant;
            admission.knowledge.holdsAhead = m_store.isSlow();
            admission.knowledge.reservesForGrants = reservesForGrants();
            if (m_accounts.mayMissGrants(turn.request.program) && !admission.areGrantsKnown)
                admission.knowledge.outstanding.reset();
            TurnDecision decision = m_ledger.begin(turn.request, admission.knowledge, m_clock.now());
            if (auto* admitted = std::get_if<TurnAdmitted>(&decision))
                return std::move(*admitted);
            auto refusal = std::visit(
                [&](const auto& it) -> std::optional<Refusal> {
                    if constexpr (std::is_same_v<std::decay_t<decltype(it)>, TurnAdmitted>)
                        return std::nullopt;
                    else
                        return learn(admission, it);
                },
                decision);
            if (refusal)
                return *refusal;
            if (call.isOver() || m_clock.now() >= call.deadline)
                return Refusal { 503, "no-time-left", "no time left" };
        }
    } catch (const KeyValueUnavailableError& error) {
        return Refusal { 503, error.code(), error.what() };
    } catch (const DamagedRecordError& error) {
        return Refusal { 503, error.code(), error.what() };
    }
}

// Whether tokens may be handed out, because the reservation is stored or a grant has been taken while the store is
// slow or unreachable.
bool TurnController::ensureReserved(const ForwardedCall& call, Turn& turn)
{
    if (turn.grant)
        return true;
    if (!turn.reserved)
        return !turn.admitted.needsGrant || takeGrant(call, turn);
    TimePoint now = m_clock.now();
    TimePoint fallbackAt = std::min(call.deadline, now + m_store.fallbackDelay());
    auto isOver = [&call] { return call.isOver(); };
    auto outcome = m_writer.await(turn.reserved, fallbackAt, isOver);
    // While grants may be outstanding, a reservation may be denied only because an attestation voided it.
    bool mayTakeGrant = !outcome || (outcome == ChangeOutcome::Denied && m_accounts.mayMissGrants(turn.request.program));
    if (mayTakeGrant && !call.isOver() && takeGrant(call, turn))
        return true;
    if (!outcome)
        outcome = m_writer.await(turn.reserved, call.deadline, [&] { return call.isOver() || m_store.isFailing(); });
    turn.isDenied = outcome == ChangeOutcome::Denied;
    return outcome == ChangeOutcome::Stored;
}

// Without enough keepers nothing could be granted from the reserve, nor the reserve be closed.
bool TurnController::reservesForGrants() const
{
    return m_store.hasManyDaemons() && m_journal.hasEnoughKeepers();
}

TurnEnd TurnController::endOf(const Turn& turn) const
{
    TurnEnd end;
    end.reservation = turn.admitted.reservation;
    end.grant = turn.grant ? turn.grant->step : 0;
    end.mayMissGrants = m_accounts.mayMissGrants(turn.request.program);
    end.neededGrant = turn.admitted.needsGrant;
    end.holdsAhead = m_store.isSlow();
    end.reservesForGrants = reservesForGrants();
    return end;
}

std::optional<TokenCount> TurnController::outstandingOf(const ForwardedCall& call, const TurnRequest& request)
{
    auto outstanding = m_journal.outstanding(request.program, std::min(call.deadline, m_clock.now() + grantsTimeout));
    m_metrics.count(outstanding ? "grants_queries_total{known=\"yes\"}" : "grants_queries_total{known=\"no\"}");
    m_log.write(LogLine("grants-outstanding").field("request", call.attributes.call.text()).field("program", request.program.text()).field("known", outstanding.has_value()).field("tokens", outstanding.value_or(0)));
    return outstanding;
}

// While the account cannot be read, the grants of all daemons together must not exceed the remaining budget, if it is
// known for certain. Otherwise they must not exceed one turn's maximum tokens, by which the budget may be exceeded.
bool TurnController::takeGrant(const ForwardedCall& call, Turn& turn)
{
    if (m_grantsInFlight >= m_store.maxConcurrentGrants()) {
        m_log.write(LogLine("grant-not-asked").field("request", call.attributes.call.text()).field("underWay", m_grantsInFlight));
        return false;
    }
    struct InFlightCount {
        std::size_t& count;

        explicit InFlightCount(std::size_t& n)
            : count(n)
        {
            ++count;
        }
        ~InFlightCount() { --count; }
    } inFlight(m_grantsInFlight);
    return requestGrant(call, turn);
}

bool TurnController::requestGrant(const ForwardedCall& call, Turn& turn)
{
    const TurnRequest& asked = turn.request;
    // A grant that may be too small to complete the turn is taken during outages only.
    TokenCount minGrant = m_store.isFailing() ? asked.maxTokens / minGrantDivisor : asked.maxTokens;
    TurnJournalClient::GrantRequest request { asked.program, m_ledger.self(), m_ledger.allocateGrantSteps(), asked.maxTokens, minGrant, asked.keepUntil, m_ledger.unusedOf(asked.program, asked.budget) };
    TokenCount allowance = 0;
    auto tokens = m_journal.grant(request, std::min(call.deadline, m_clock.now() + journalTimeout), [&] { return allowance = allowanceOf(asked); });
    m_log.write(LogLine("grant").field("request", call.attributes.call.text()).field("program", request.program.text()).field("allowance", allowance).field("tokens", tokens.value_or(0)));
    if (!tokens)
        return false;
    turn.grant = request;
    turn.granted = *tokens;
    return true;
}

TokenCount TurnController::allowanceOf(const TurnRequest& asked)
{
    // Daemons give no binding attestations while accounts can be changed.
    if (!m_store.isFailing())
        return asked.maxTokens;
    if (m_store.hasManyDaemons())
        return m_ledger.grantAllowance(asked, m_clock.now());
    AccountPeers::Knowledge known = m_accounts.read(asked.program);
    if (!known.isComplete)
        return asked.maxTokens;
    TokenCount remaining = m_ledger.remainingOf(asked.program, asked.budget);
    return std::max(asked.maxTokens, remaining - std::min(remaining, known.unconfirmedTokens));
}

// Tokens beyond a grant require a reservation. It may be under way already, or may be made once the store is available again.
bool TurnController::awaitTokens(const ForwardedCall& call, Turn& turn, TokenCount tokens)
{
    if (!turn.grant || turn.isHeld || turn.handedOut + tokens <= turn.granted)
        return true;
    m_metrics.count("grants_used_up_total");
    awaitReservation(call, turn);
    m_log.write(LogLine("grant-used-up").field("request", call.attributes.call.text()).field("program", turn.request.program.text()).field("granted", turn.granted).field("handedOut", turn.handedOut).field("held", turn.isHeld).field("timeLeftMs", std::chrono::duration_cast<Milliseconds>(call.deadline - m_clock.now())));
    return turn.isHeld;
}

// A reservation that is denied may succeed later: turns that ran under earlier grants are charged once the store is back,
// and until then their grants are withheld from the program as well as their holds.
void TurnController::awaitReservation(const ForwardedCall& call, Turn& turn)
{
    for (Milliseconds pause = minReservePause; !call.isOver() && m_clock.now() < call.deadline; pause = std::min(2 * pause, maxReservePause)) {
        if (!turn.reserved && !m_store.isFailing())
            reserveDespiteGrant(call, turn);
        if (auto reserved = std::exchange(turn.reserved, nullptr))
            turn.isHeld = m_writer.await(reserved, call.deadline, [&] { return call.isOver(); }) == ChangeOutcome::Stored;
        if (turn.isHeld)
            return;
        sleepFiber(std::min(pause, std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(call.deadline - m_clock.now()))));
    }
}

// Admits the turn again, now that accounts can be changed. The grant stays, since its tokens are charged with the turn.
void TurnController::reserveDespiteGrant(const ForwardedCall& call, Turn& turn)
{
    Turn again;
    again.request = turn.request;
    // Its history is known.
    again.request.previous = CallId();
    auto decision = admit(call, again);
    auto* admitted = std::get_if<TurnAdmitted>(&decision);
    if (!admitted)
        return;
    again.admitted = std::move(*admitted);
    // The store may have failed meanwhile.
    bool isReplaced = !again.admitted.needsGrant;
    TurnEnd end = endOf(isReplaced ? turn : again);
    end.grant = 0;
    m_ledger.end(turn.request, 0, std::nullopt, end);
    if (!isReplaced)
        return;
    turn.isHeld = !again.admitted.reservation;
    if (again.admitted.reservation)
        turn.reserved = m_writer.expect(*again.admitted.reservation);
    turn.admitted = std::move(again.admitted);
    m_writer.startWrites();
}

bool TurnController::record(ForwardedCall& call, Turn& turn, const TargetId& target)
{
    turn.isEnded = true;
    TurnRecord record { turn.request.turn, turn.request.previous, call.request.body, turn.output, target };
    ChangeId change = *m_ledger.end(turn.request, turn.handedOut, std::move(record), endOf(turn));
    auto stored = m_writer.expect(change);
    m_writer.startWrites();
    TimePoint now = m_clock.now();
    auto outcome = m_writer.await(stored, std::min(call.deadline, now + m_store.fallbackDelay()), [&] { return call.isOver(); });
    if (outcome || call.isOver())
        return outcome == ChangeOutcome::Stored;
    return keepOnKeepers(call, turn, change, stored);
}

// Keepers that stop, or that are not complete yet, refuse entries for a moment.
bool TurnController::appendUntilKept(const std::vector<JournalEntry>& entries, const LedgerWriter::SharedOutcome& stored, TimePoint deadline)
{
    for (Milliseconds pause = minKeepPause;; pause = std::min(2 * pause, maxKeepPause)) {
        if (m_journal.append(entries, std::min(deadline, m_clock.now() + keepTimeout)))
            return true;
        if (*stored || m_clock.now() + pause >= deadline)
            return false;
        m_metrics.count("turns_journal_retries_total");
        sleepFiber(pause);
    }
}

// Used while the store is slow or unreachable. The turn is recorded once the store or enough keepers have it.
bool TurnController::keepOnKeepers(ForwardedCall& call, Turn& turn, ChangeId change, const LedgerWriter::SharedOutcome& stored)
{
    if (m_ledger.isEntryTooLarge(turn.request.program, change)) {
        m_log.write(LogLine("turn-too-large-for-keepers").field("turn", turn.request.turn.text()).field("program", turn.request.program.text()));
        return m_writer.await(stored, call.deadline, [&] { return call.isOver(); }) == ChangeOutcome::Stored;
    }
    auto entry = m_ledger.entryFor(turn.request.program, change);
    if (!entry)
        return true;
    auto isKept = std::make_shared<bool>(false);
    TimePoint deadline = call.deadline;
    std::vector<JournalEntry> entries { *entry };
    if (turn.grant)
        entries.push_back(TurnJournalClient::grantEnd(*std::exchange(turn.grant, std::nullopt), turn.handedOut));
    spawnFiber([this, entries, stored, isKept, deadline] {
        const JournalEntry& entry = entries.front();
        *isKept = appendUntilKept(entries, stored, deadline);
        m_metrics.count(*isKept ? "turns_journaled_total{kept=\"yes\"}" : "turns_journaled_total{kept=\"no\"}");
        m_log.write(LogLine("turn-journaled").field("turn", entry.changes.back().record->turn.text()).field("program", entry.program.text()).field("step", entry.step()).field("kept", *isKept));
        m_writer.wakeWaiters();
        dropOnceStored(entry, stored);
    });
    auto outcome = m_writer.await(stored, deadline, [&] { return call.isOver() || *isKept; });
    return *isKept || outcome == ChangeOutcome::Stored;
}

// What was handed out is covered by the hold or by a grant, both of which were stored before the first event. So nobody waits
// for the settlement, and a daemon that ends before it is stored loses capacity of the budget, not its limit.
void TurnController::settle(Turn& turn)
{
    turn.isEnded = true;
    auto change = m_ledger.end(turn.request, turn.handedOut, std::nullopt, endOf(turn));
    if (change && turn.grant)
        spawnFiber([this, stored = m_writer.expect(*change), grant = *std::exchange(turn.grant, std::nullopt), used = turn.handedOut] {
            m_journal.endGrant(grant, used, m_clock.now() + journalTimeout);
            if (m_writer.await(stored, m_clock.now() + maxOutage, [] { return false; }) == ChangeOutcome::Stored)
                m_journal.grantStored(grant.program, grant.daemon, grant.step, grant.keepUntil);
        });
    m_writer.startWrites();
}

void TurnController::dropOnceStored(const JournalEntry& entry, const LedgerWriter::SharedOutcome& stored)
{
    auto outcome = m_writer.await(stored, m_clock.now() + maxOutage, [] { return false; });
    m_log.write(LogLine("journaled-turn-stored").field("turn", entry.changes.back().record->turn.text()).field("program", entry.program.text()).field("step", entry.step()).field("stored", outcome == ChangeOutcome::Stored));
    if (outcome != ChangeOutcome::Stored)
        return;
    m_journal.drop(entry.program, { entry.daemon, entry.step() });
    const AccountChange& settled = entry.changes.back();
    if (settled.grant != 0)
        m_journal.grantStored(entry.program, entry.daemon, settled.grant, settled.keepUntil);
}

// Counted in milliseconds as well, since the summary has no histograms.
void TurnController::countEnd(std::string_view outcome, std::chrono::nanoseconds waited)
{
    m_metrics.observe("turn_end_wait_seconds", waited);
    m_metrics.count(fmt::format("turn_ends_total{{outcome=\"{}\"}}", outcome));
    m_metrics.count(fmt::format("turn_end_wait_milliseconds_total{{outcome=\"{}\"}}", outcome), std::chrono::duration_cast<Milliseconds>(waited).count());
}

StreamHooks TurnController::hooksFor(ForwardedCall& call, Turn& turn)
{
    StreamHooks hooks;
    hooks.beforeFirstEvent = [this, &call, &turn] { return ensureReserved(call, turn) || turn.stop(call, "reservation-not-recorded"); };
    hooks.onEvent = [this, &call, &turn](const StreamEvent& event) {
        const ForwardingService* service = call.table->service(call.query.service);
        TokenCount tokens = service && service->engine ? service->engine->tokensPerEvent : 1;
        // The last event may have fewer tokens than the others.
        if (turn.request.maxTokens > 0 && turn.handedOut >= turn.request.maxTokens)
            return turn.stop(call, "turn-too-long");
        if (!awaitTokens(call, turn, tokens))
            return turn.stop(call, "grant-used-up");
        turn.handedOut += tokens;
        if (turn.request.isKept)
            turn.output.append(event.data).append("\n");
        return true;
    };
    hooks.beforeEnd = [this, &call, &turn](const TargetId& target) {
        TimePoint start = m_clock.now();
        if (!turn.request.isKept) {
            settle(turn);
            return true;
        }
        bool isRecorded = record(call, turn, target) || turn.stop(call, "end-not-recorded");
        countEnd(isRecorded ? "recorded" : turn.stoppedBy, m_clock.now() - start);
        return isRecorded;
    };
    return hooks;
}

std::optional<TurnController::Refusal> TurnController::serve(ForwardedCall& call, ResponseWriter& writer)
{
    const CallAttributes& attributes = call.attributes;
    Turn turn;
    // Turns without a program id belong to a program named after their session.
    ProgramId program = attributes.program.empty() ? ProgramId("line-" + attributes.session) : attributes.program;
    bool isKept = call.route.keepsTurns();
    Milliseconds retention = isKept ? call.route.turnRetention : accountRetention;
    auto keepFor = std::chrono::duration_cast<Milliseconds>(call.deadline - call.arrivedAt) + retention + retentionMargin;
    OrganisationScope scope(call.organisation.get(), call.identifiesCallers());
    turn.request = { scope.scoped(program), scope.scoped(attributes.call), isKept ? scope.scoped(attributes.previousTurn) : CallId(), attributes.budget.value_or(ProgramAccount::unlimited), attributes.maxTokens, m_clock.wallNow() + keepFor, isKept };
    // Before the history is read and tokens are reserved in vain.
    if (!m_forwarder.hasPath(call))
        return Refusal { 503, "no-target", "no target within reach" };
    auto decision = admit(call, turn);
    if (auto* refusal = std::get_if<Refusal>(&decision))
        return *refusal;
    turn.admitted = std::move(std::get<TurnAdmitted>(decision));
    m_log.write(LogLine("turn-admitted").field("request", attributes.call.text()).field("program", turn.request.program.text()).field("previous", turn.request.previous.text()).field("budget", turn.request.budget).field("most", turn.request.maxTokens).field("reserving", turn.admitted.reservation.has_value()).field("historyBytes", turn.admitted.history.size()).field("lastTarget", turn.admitted.lastTarget.text()).field("storeFailing", m_store.isFailing()));
    std::optional<Refusal> refusal;
    MemoryBudget::Share memory(m_memory);
    auto maxWait = std::min(maxMemoryWait, std::chrono::duration_cast<Milliseconds>(call.deadline - m_clock.now()));
    if (!memory.awaitRoom(copiesOfHistory * turn.admitted.history.size(), maxWait, HttpServer::copiesOfBody * call.request.body.size()))
        refusal = Refusal { 503, "memory-short", "requests in progress take all memory" };
    if (turn.admitted.reservation) {
        turn.reserved = m_writer.expect(*turn.admitted.reservation);
        m_writer.startWrites();
    }
    // While the store fails, the turn needs a grant, which is taken before an engine does work that may be wasted.
    bool mustReserveFirst = !turn.admitted.mayRunAhead || turn.admitted.needsGrant || m_store.isFailing();
    if (!refusal && mustReserveFirst && !ensureReserved(call, turn))
        // A denied reservation may lack only tokens that are reserved for grants.
        refusal = turn.refusalWithoutGrant ? *turn.refusalWithoutGrant : turn.isDenied && !m_accounts.mayMissGrants(turn.request.program) && !m_store.hasManyDaemons() ? Refusal { 402, "budget-spent", "budget spent" }
                                                                                                                                                                       : Refusal { 503, "reservation-not-recorded", "reservation not recorded" };
    if (!refusal && isKept) {
        if (!turn.admitted.history.empty()) {
            call.body = std::move(turn.admitted.history);
            call.body->append(call.request.body);
        }
        call.query.cacheHolder = turn.admitted.lastTarget;
        call.query.cachedTokens = turn.admitted.lastTarget.empty() ? 0 : attributes.promptTokens;
    }
    if (!refusal)
        refusal = forward(call, turn, writer);
    if (!turn.isEnded && isKept)
        m_ledger.end(turn.request, turn.handedOut, std::nullopt, endOf(turn));
    else if (!turn.isEnded)
        settle(turn);
    if (turn.grant)
        spawnFiber([this, grant = *turn.grant, used = turn.handedOut] { m_journal.endGrant(grant, used, m_clock.now() + journalTimeout); });
    m_writer.startWrites();
    return refusal;
}

TurnController::Refusal TurnController::Refusal::ofCallNotRun(const ForwardedCall& call)
{
    if (call.noRoom)
        return { 503, toString(call.noRoom->refusal), "no engine has room for the call in time", false, call.noRoom->retryAfter };
    return { 503, "no-target", "no target took the call" };
}

std::optional<TurnController::Refusal> TurnController::forward(ForwardedCall& call, Turn& turn, ResponseWriter& writer)
{
    ForwardEnd end = m_forwarder.forward(call, writer, hooksFor(call, turn));
    switch (end) {
    case ForwardEnd::Delivered:
        return std::nullopt;
    case ForwardEnd::NotRun:
        return Refusal::ofCallNotRun(call);
    case ForwardEnd::MayHaveRun:
        if (turn.isDenied)
            return Refusal { m_clock.now() >= call.deadline ? 504 : 502, "budget-spent-meanwhile", "budget spent meanwhile" };
        return Refusal { m_clock.now() >= call.deadline ? 504 : 502, turn.stoppedBy.empty() ? "no-answer" : turn.stoppedBy, "no answer" };
    case ForwardEnd::BrokenOff:
        return Refusal { 502, turn.stoppedBy.empty() ? causeOfBrokenStream(call, m_clock.now()) : turn.stoppedBy, "stream broke off", true };
    }
    assert(false && "unhandled enumerator");
    return std::nullopt;
}

} // namespace basilpoint
