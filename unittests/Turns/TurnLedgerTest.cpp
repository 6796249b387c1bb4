#include "LedgerStore.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

constexpr TokenCount maxTokens = 100;

struct Fixture {
    TurnRequest request(const std::string& turn, const std::string& previous = "", const std::string& program = "p", TokenCount budget = 1'000)
    {
        return { ProgramId(program), CallId(turn), CallId(previous), budget, maxTokens, WallTimePoint(std::chrono::hours(1)) };
    }

    /// Begins a turn, reading records from the store as the ledger requests them.
    TurnDecision begin(TurnLedger& ledger, const TurnRequest& turn)
    {
        TurnKnowledge knowledge;
        for (;;) {
            TurnDecision decision = ledger.begin(turn, knowledge, now);
            if (auto* needed = std::get_if<TurnNeedsProgram>(&decision)) {
                ledger.recordsRead(needed->program, store.recordsWithPrefix(TurnLedger::programPrefix(needed->program)));
                bool isOrigin = needed->program != turn.program;
                if (isOrigin)
                    knowledge.freshOrigins.insert(needed->program);
                knowledge.isProgramFresh = knowledge.isProgramFresh || !isOrigin;
                knowledge.isProgramRead = knowledge.isProgramRead || !isOrigin;
            } else if (auto* origin = std::get_if<TurnNeedsOrigin>(&decision)) {
                std::string key = TurnLedger::originKey(origin->turn);
                knowledge.origins[origin->turn] = store.has(key) ? std::optional(ProgramId(store.valueOf(key))) : std::nullopt;
            } else
                return decision;
        }
    }

    TurnAdmitted admit(TurnLedger& ledger, const TurnRequest& turn)
    {
        TurnDecision decision = begin(ledger, turn);
        BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(decision));
        return std::get<TurnAdmitted>(decision);
    }

    void run(TurnLedger& ledger, const TurnRequest& turn, TokenCount used = 30)
    {
        admit(ledger, turn);
        flush(ledger, store);
        ledger.end(turn, used, TurnRecord { turn.turn, turn.previous, "in " + turn.turn.text() + ";", "out " + turn.turn.text() + ";", TargetId("t") });
        flush(ledger, store);
    }

    ProgramAccount account(const std::string& program = "p") { return decodeAccount(store.valueOf(TurnLedger::accountKey(ProgramId(program)))); }

    TimePoint now { std::chrono::hours(1) };
    LedgerStore store;
    TurnLedger a { DaemonLifetime("a"), {} };
    TurnLedger b { DaemonLifetime("b"), {} };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TurnLedgerTest, Fixture)

BOOST_AUTO_TEST_CASE(historyIsTheChainOldestFirst)
{
    run(a, request("1"));
    run(a, request("2", "1"));
    run(a, request("3", "1"));
    TurnAdmitted admitted = admit(a, request("4", "2"));
    BOOST_TEST(admitted.history == "in 1;out 1;in 2;out 2;");
    BOOST_TEST(admitted.lastTarget.text() == "t");
}

// Guards against a record that the store never takes and that keeps all later turns of its program from being stored.
BOOST_AUTO_TEST_CASE(turnThatTheStoreRejectsIsGivenUpAloneAndCharged)
{
    admit(a, request("0", "", "p", 3'000));
    flush(a, store);
    std::map<std::string, ChangeId> ends;
    for (const char* it : { "1", "bad", "2" }) {
        admit(a, request(it, "", "p", 3'000));
        ends[it] = *a.end(request(it, "", "p", 3'000), 30, TurnRecord { CallId(it), CallId(), "in", "out", TargetId("t") });
    }
    std::map<ChangeId, ChangeOutcome> outcomes;
    int batches = 0;
    while (auto batch = a.nextBatch()) {
        BOOST_REQUIRE(++batches < 10);
        bool isRejected = std::any_of(batch->puts.begin(), batch->puts.end(), [&](const auto& it) { return it.first == TurnLedger::turnKey(ProgramId("p"), CallId("bad")); });
        if (isRejected)
            BOOST_TEST(a.batchRejected(batch->number));
        else
            a.batchStored(batch->number, store.commit(*batch));
        for (auto [id, outcome] : a.takeOutcomes())
            outcomes[id] = outcome;
    }
    BOOST_TEST((outcomes.at(ends["1"]) == ChangeOutcome::Stored));
    BOOST_TEST((outcomes.at(ends["bad"]) == ChangeOutcome::Rejected));
    BOOST_TEST((outcomes.at(ends["2"]) == ChangeOutcome::Stored));
    BOOST_TEST(account().spent == 90U);
    BOOST_TEST(!store.has(TurnLedger::turnKey(ProgramId("p"), CallId("bad"))));
    // No turn continues one that is not stored.
    BOOST_TEST(std::holds_alternative<TurnNotFound>(begin(a, request("3", "bad", "p", 3'000))));
    BOOST_TEST(std::holds_alternative<TurnAdmitted>(begin(a, request("3", "2", "p", 3'000))));
}

BOOST_AUTO_TEST_CASE(rejectedBatchWithoutTurnsDoesNotDiffer)
{
    admit(a, request("1"));
    auto batch = a.nextBatch();
    BOOST_REQUIRE(batch);
    BOOST_TEST(!a.batchRejected(batch->number));
}

// Guards against turns of routes that keep none running without a budget, or with a write for each of them.
BOOST_AUTO_TEST_CASE(turnsThatAreNotKeptAreChargedWithFewerWrites)
{
    int writes = 0;
    auto write = [&] {
        while (auto batch = a.nextBatch()) {
            ++writes;
            BOOST_TEST(batch->puts.size() == 1U);
            a.batchStored(batch->number, store.commit(*batch));
        }
        a.takeOutcomes();
    };
    TokenCount spent = 0;
    for (int n = 0; n < 8; ++n) {
        TurnRequest turn = request(std::to_string(n), "", "p", 3'000);
        turn.isKept = false;
        admit(a, turn);
        write();
        BOOST_TEST(!a.end(turn, 30, std::nullopt));
        write();
        spent += 30;
    }
    a.writeDeferred(now + TurnLedger::maxDeferral);
    write();
    BOOST_TEST(account().spent == spent);
    // A kept turn makes one write, the first turn another one.
    BOOST_TEST(writes < 8);
}

BOOST_AUTO_TEST_CASE(deferredSettlementsAreWrittenAfterTheLimit)
{
    TurnRequest turn = request("1", "", "p", 3'000);
    turn.isKept = false;
    admit(a, turn);
    flush(a, store);
    a.end(turn, 30, std::nullopt);
    a.writeDeferred(now + TurnLedger::maxDeferral - Milliseconds(1));
    BOOST_TEST(!a.hasWork());
    a.writeDeferred(now + TurnLedger::maxDeferral);
    BOOST_TEST(a.hasWork());
    flush(a, store);
    BOOST_TEST(account().spent == 30U);
}

// Guards against a program refused elsewhere because of a hold that nobody gives back.
BOOST_AUTO_TEST_CASE(releasedHoldIncludesDeferredSettlements)
{
    TurnRequest turn = request("1", "", "p", 500);
    turn.isKept = false;
    admit(a, turn);
    flush(a, store);
    a.end(turn, 30, std::nullopt);
    // Holds the rest of the budget.
    for (const char* it : { "2", "3", "4" }) {
        admit(b, request(it, "", "p", 500));
        flush(b, store);
    }
    a.releaseHold(turn.program);
    flush(a, store);
    BOOST_TEST(account().spent == 30U);
    BOOST_TEST(!account().holds[a.self()].tokens);
}

BOOST_AUTO_TEST_CASE(programOfTurnsThatAreNotKeptDoesNotCountAsNewWhereItIsUnknown)
{
    TurnRequest turn = request("1");
    BOOST_TEST(a.grantAllowance(turn, now) > maxTokens);
    turn.isKept = false;
    BOOST_TEST(a.grantAllowance(turn, now) == maxTokens);
}

// With a slow store, the next turn begins before the settlement of the previous one is stored.
BOOST_AUTO_TEST_CASE(storedSettlementConfirmsTheReservationOfTheNextTurn)
{
    run(a, request("1"));
    admit(a, request("2", "1"));
    a.end(request("2", "1"), 30, TurnRecord { CallId("2"), CallId("1"), "in 2;", "out 2;", {} });
    auto settlement = a.nextBatch();
    BOOST_REQUIRE(settlement.has_value());
    TurnAdmitted next = admit(a, request("3", "2"));
    BOOST_REQUIRE(next.reservation.has_value());
    a.batchStored(settlement->number, store.commit(*settlement));
    std::map<ChangeId, ChangeOutcome> outcomes;
    for (auto [id, outcome] : a.takeOutcomes())
        outcomes[id] = outcome;
    BOOST_REQUIRE(outcomes.contains(*next.reservation));
    BOOST_TEST((outcomes.at(*next.reservation) == ChangeOutcome::Stored));
    BOOST_TEST(!a.nextBatch().has_value());
    BOOST_TEST(account().held() == maxTokens);
}

// With a slow store and ample budget, the next turn uses tokens held in advance and needs no write of its own.
BOOST_AUTO_TEST_CASE(whileWritesAreSlowTheNextTurnNeedsNoReservation)
{
    auto first = request("1", "", "p", 2'000);
    auto second = request("2", "1", "p", 2'000);
    TurnKnowledge slow;
    slow.holdsAhead = true;
    auto decision = a.begin(first, slow, now);
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(decision));
    flush(a, store);
    TurnEnd end;
    end.holdsAhead = true;
    a.end(first, 90, TurnRecord { CallId("1"), {}, "in 1;", "out 1;", {} }, end);
    auto settlement = a.nextBatch();
    BOOST_REQUIRE(settlement.has_value());
    auto next = a.begin(second, slow, now);
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(next));
    BOOST_TEST(!std::get<TurnAdmitted>(next).reservation.has_value());
    a.batchStored(settlement->number, store.commit(*settlement));
    BOOST_TEST(account().held() == 2 * maxTokens);
    // Once writes are fast again, one turn's worth stays held.
    a.end(second, 90, TurnRecord { CallId("2"), CallId("1"), "in 2;", "out 2;", {} });
    flush(a, store);
    BOOST_TEST(account().held() == maxTokens);
}

BOOST_AUTO_TEST_CASE(reservationOmitsTheNextTurnsTokensIfAnotherDaemonTookThem)
{
    auto mine = request("1", "", "p", 400);
    TurnKnowledge slow;
    slow.holdsAhead = true;
    slow.isProgramRead = slow.isProgramFresh = true;
    auto decision = a.begin(mine, slow, now);
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(decision));
    ChangeId reservation = *std::get<TurnAdmitted>(decision).reservation;
    // Meanwhile another daemon reserves three of the four turns' worth of budget.
    for (const char* turn : { "x", "y", "z" })
        admit(b, request(turn, "", "p", 400));
    flush(b, store);
    auto outcomes = flush(a, store);
    BOOST_TEST((outcomes.at(reservation) == ChangeOutcome::Stored));
    BOOST_TEST(account().holds.at(DaemonLifetime("a")).tokens == maxTokens);
}

// Sub-agents may connect to another data centre; the program's changes must still go through one keeper.
BOOST_AUTO_TEST_CASE(changesAreCommittedInTheDataCentreWhereTheProgramStarted)
{
    LedgerSettings first;
    first.dataCentre = DataCentreId("x");
    LedgerSettings second;
    second.dataCentre = DataCentreId("y");
    TurnLedger here(DaemonLifetime("h"), first);
    TurnLedger there(DaemonLifetime("t"), second);
    ProgramId program("p");
    BOOST_TEST(there.commitDataCentreOf(program).text() == "y");
    run(here, request("1"));
    admit(there, request("2", "1"));
    BOOST_TEST(there.commitDataCentreOf(program).text() == "x");
    auto batch = there.nextBatch();
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->commitDataCentre.text() == "x");
    there.batchStored(batch->number, store.commit(*batch));
    BOOST_TEST(account().commitDataCentre.text() == "x");
}

// A failed batch must not affect other programs.
BOOST_AUTO_TEST_CASE(batchContainsOneProgram)
{
    admit(a, request("1", "", "p"));
    admit(a, request("2", "", "q"));
    auto first = a.nextBatch();
    auto second = a.nextBatch();
    BOOST_REQUIRE((first && second));
    BOOST_TEST(first->conditions.size() == 1U);
    BOOST_TEST(second->conditions.size() == 1U);
}

// The hold covers the waiting turn that began first; the other one needs its reservation.
BOOST_AUTO_TEST_CASE(holdCoversOneOfTwoWaitingTurns)
{
    run(a, request("1"));
    admit(a, request("2", "1"));
    a.end(request("2", "1"), 30, TurnRecord { CallId("2"), CallId("1"), "in 2;", "out 2;", {} });
    auto settlement = a.nextBatch();
    BOOST_REQUIRE(settlement.has_value());
    TurnAdmitted first = admit(a, request("3", "2"));
    TurnAdmitted second = admit(a, request("4", "2"));
    BOOST_REQUIRE((first.reservation && second.reservation));
    a.batchStored(settlement->number, store.commit(*settlement));
    auto outcomes = a.takeOutcomes();
    auto has = [&](ChangeId id) { return std::any_of(outcomes.begin(), outcomes.end(), [&](const auto& it) { return it.first == id; }); };
    BOOST_TEST(has(*first.reservation));
    BOOST_TEST(!has(*second.reservation));
    flush(a, store);
    BOOST_TEST(account().held() == 2 * maxTokens);
}

// A stale read mostly misses the program's own latest turn, so a current read comes before the lookup of the origin and
// often saves it.
BOOST_AUTO_TEST_CASE(turnMissedByAStaleReadIsReadAgainBeforeItsOriginIsLookedUp)
{
    run(a, request("1"));
    auto old = store.recordsWithPrefix(TurnLedger::programPrefix(ProgramId("p")));
    run(a, request("2", "1"));
    TurnKnowledge knowledge;
    b.recordsRead(ProgramId("p"), old);
    knowledge.isProgramRead = true;
    TurnDecision decision = b.begin(request("3", "2"), knowledge, now);
    BOOST_REQUIRE(std::holds_alternative<TurnNeedsProgram>(decision));
    BOOST_TEST(!std::get<TurnNeedsProgram>(decision).mayBeStale);
    b.recordsRead(ProgramId("p"), store.recordsWithPrefix(TurnLedger::programPrefix(ProgramId("p"))));
    knowledge.isProgramFresh = true;
    BOOST_TEST(std::holds_alternative<TurnAdmitted>(b.begin(request("3", "2"), knowledge, now)));
}

// When a program returns to a daemon that served it before, only newer records have to be sent.
BOOST_AUTO_TEST_CASE(completeUpToIsTheRevisionWithoutGaps)
{
    ProgramId program("p");
    auto revision = [&] { return store.recordsWithPrefix(TurnLedger::accountKey(program)).front().revision; };
    BOOST_TEST(a.completeUpTo(program) == 0);
    run(a, request("1"));
    BOOST_TEST(a.completeUpTo(program) == revision());
    std::int64_t known = a.completeUpTo(program);
    run(b, request("2", "1"));
    a.recordsRead(program, { store.recordsWithPrefix(TurnLedger::accountKey(program)).front() });
    BOOST_TEST(a.completeUpTo(program) == known);
    // Its own write after another daemon's leaves a gap.
    run(a, request("3", "1"));
    BOOST_TEST(a.completeUpTo(program) == known);
    a.allRecordsRead(program, store.recordsWithPrefix(TurnLedger::programPrefix(program)));
    BOOST_TEST(a.completeUpTo(program) == revision());
}

BOOST_AUTO_TEST_CASE(anotherDaemonReadsTheChainFromTheStore)
{
    run(a, request("1"));
    run(a, request("2", "1"));
    BOOST_TEST(admit(b, request("3", "2")).history == "in 1;out 1;in 2;out 2;");
}

BOOST_AUTO_TEST_CASE(programImportsTheChainOfAnotherProgramsTurn)
{
    run(a, request("1"));
    run(a, request("2", "1"));
    BOOST_TEST(admit(b, request("3", "2", "q")).history == "in 1;out 1;in 2;out 2;");
    flush(b, store);
    b.end(request("3", "2", "q"), 10, TurnRecord { CallId("3"), CallId("2"), "in 3;", "out 3;", {} });
    flush(b, store);
    TurnLedger c(DaemonLifetime("c"), {});
    BOOST_TEST(admit(c, request("4", "3", "q")).history == "in 1;out 1;in 2;out 2;in 3;out 3;");
}

// Earlier releases stored a turn that keepers had kept without the chain of another program that it continues.
BOOST_AUTO_TEST_CASE(chainThatIsMissingInTheStoreIsFoundInTheProgramsThatStartedIt)
{
    run(a, request("1", "", "first"));
    run(a, request("2", "1", "second"));
    run(a, request("3", "2", "third"));
    for (const auto& [program, turn] : { std::pair("second", "1"), std::pair("third", "2") })
        store.erase(TurnLedger::turnKey(ProgramId(program), CallId(turn)));
    store.put(TurnLedger::originKey(CallId("1")), "first");
    store.put(TurnLedger::originKey(CallId("2")), "second");
    const std::string chain = "in 1;out 1;in 2;out 2;in 3;out 3;";
    BOOST_TEST(admit(b, request("4", "3", "third")).history == chain);
    BOOST_TEST(admit(b, request("4", "3", "fourth")).history == chain);
    run(b, request("5", "3", "third"));
    TurnLedger c(DaemonLifetime("c"), {});
    store.erase(TurnLedger::accountKey(ProgramId("first")));
    store.erase(TurnLedger::turnKey(ProgramId("first"), CallId("1")));
    BOOST_TEST(admit(c, request("6", "5", "third")).history == chain + "in 5;out 5;");
}

// Guards against a process that ends on a chain of turns that name each other, as a caller may make one by using ids again.
BOOST_AUTO_TEST_CASE(chainThatNamesItselfIsNotFound)
{
    run(a, request("1", "", "first"));
    run(a, request("2", "1", "first"));
    run(a, request("3", "1", "second"));
    // The first turn, written once more as one that continues its successor.
    store.put(TurnLedger::turnKey(ProgramId("first"), CallId("1")), encodeTurn({ CallId("1"), CallId("2"), "in 1;", "out 1;", {} }));
    for (const char* program : { "first", "third" }) {
        TurnDecision decision = begin(b, request("4", "2", program));
        BOOST_TEST(std::holds_alternative<TurnNotFound>(decision));
    }
}

// Guards against programs that stay in memory since a turn which would have continued another program's failed.
BOOST_AUTO_TEST_CASE(programWhoseTurnOnAnImportedChainFailedIsEvicted)
{
    LedgerSettings settings;
    settings.maxCachedBytes = 20'000;
    TurnLedger small(DaemonLifetime("s"), settings);
    run(a, request("1"));
    for (int n = 0; n < 200; ++n) {
        TurnRequest turn = request("t" + std::to_string(n), "1", "q" + std::to_string(n), ProgramAccount::unlimited);
        admit(small, turn);
        small.end(turn, 0, std::nullopt);
    }
    BOOST_TEST(small.cachedBytes() <= 21'000U);
}

BOOST_AUTO_TEST_CASE(importedChainStaysInMemoryWhileATurnThatContinuesItRuns)
{
    LedgerSettings settings;
    settings.maxCachedBytes = 2'000;
    TurnLedger small(DaemonLifetime("s"), settings);
    run(a, request("1"));
    TurnRequest turn = request("2", "1", "q", ProgramAccount::unlimited);
    admit(small, turn);
    for (int n = 0; n < 20; ++n)
        run(small, request("t" + std::to_string(n), "", "p" + std::to_string(n)));
    small.end(turn, 30, TurnRecord { turn.turn, turn.previous, "in 2;", "out 2;", {} });
    flush(small, store);
    BOOST_TEST(store.has(TurnLedger::turnKey(ProgramId("q"), CallId("1"))));
}

BOOST_AUTO_TEST_CASE(unknownTurnIsNotFoundOnlyAfterReadingTheStore)
{
    TurnKnowledge nothing;
    BOOST_TEST(std::holds_alternative<TurnNeedsProgram>(a.begin(request("2", "1"), nothing, now)));
    TurnDecision decision = begin(a, request("2", "1"));
    BOOST_REQUIRE(std::holds_alternative<TurnNotFound>(decision));
    BOOST_TEST(std::get<TurnNotFound>(decision).missing.text() == "1");
}

BOOST_AUTO_TEST_CASE(incompleteChainNamesTheMissingTurn)
{
    // The older turn is on the keepers' disks only, while the newer one is already stored.
    run(a, request("1"));
    a.adopt(ProgramId("p"), { TurnRecord { CallId("kept"), CallId("1"), "k;", "", {} } });
    run(a, request("2", "kept"));
    TurnDecision decision = begin(b, request("3", "2"));
    BOOST_REQUIRE(std::holds_alternative<TurnNotFound>(decision));
    BOOST_TEST(std::get<TurnNotFound>(decision).missing.text() == "kept");
    b.adopt(ProgramId("p"), { TurnRecord { CallId("kept"), CallId("1"), "k;", "", {} } });
    BOOST_TEST(admit(b, request("3", "2")).history == "in 1;out 1;k;in 2;out 2;");
}

BOOST_AUTO_TEST_CASE(firstTurnReservesAndTheNextOneNeedsNoWrite)
{
    BOOST_TEST(admit(a, request("1")).reservation.has_value());
    flush(a, store);
    a.end(request("1"), 30, TurnRecord { CallId("1"), {}, "i", "o", {} });
    flush(a, store);
    BOOST_TEST(!admit(a, request("2", "1")).reservation.has_value());
    BOOST_TEST(account().spent == 30U);
}

BOOST_AUTO_TEST_CASE(spentBudgetIsRefusedByAllDaemons)
{
    for (int n = 0; n < 10; ++n) {
        TurnRequest turn = request(std::to_string(n), n == 0 ? "" : std::to_string(n - 1), "p", 350);
        if (std::holds_alternative<TurnBudgetSpent>(begin(a, turn)))
            break;
        flush(a, store);
        a.end(turn, maxTokens, TurnRecord { turn.turn, turn.previous, "i", "o", {} });
        flush(a, store);
    }
    BOOST_TEST(account().spent == 300U);
    BOOST_TEST(std::holds_alternative<TurnBudgetSpent>(begin(b, request("x", "2", "p", 350))));
}

BOOST_AUTO_TEST_CASE(concurrentReservationsOfTwoDaemonsNeverExceedTheBudget)
{
    TurnAdmitted first = admit(a, request("1", "", "p", 150));
    TurnAdmitted second = admit(b, request("2", "", "p", 150));
    auto stored = flush(a, store);
    BOOST_TEST((stored.at(*first.reservation) == ChangeOutcome::Stored));
    auto denied = flush(b, store);
    BOOST_TEST((denied.at(*second.reservation) == ChangeOutcome::Denied));
}

BOOST_AUTO_TEST_CASE(reservationLeavesRoomForOutstandingGrants)
{
    TurnKnowledge knowledge;
    // One turn's tokens (100) of the outstanding grants may exceed the budget.
    knowledge.outstanding = maxTokens + 80;
    TurnDecision decision = a.begin(request("1", "", "p", 170), knowledge, now);
    // The cached account may be old, so the store is read first. The refusal is then uncertain because of the grants.
    BOOST_TEST(std::holds_alternative<TurnNeedsProgram>(decision));
    knowledge.isProgramRead = knowledge.isProgramFresh = true;
    decision = a.begin(request("1", "", "p", 170), knowledge, now);
    BOOST_REQUIRE(std::holds_alternative<TurnBudgetSpent>(decision));
    BOOST_TEST(!std::get<TurnBudgetSpent>(decision).isCertain);
    knowledge.outstanding = maxTokens + 60;
    BOOST_TEST(std::holds_alternative<TurnAdmitted>(a.begin(request("1", "", "p", 170), knowledge, now)));
}

// Grants of other daemons may use all of the budget that remained at the attestation.
BOOST_AUTO_TEST_CASE(reservationFromBeforeAnAttestationIsDenied)
{
    TurnAdmitted admitted = admit(a, request("1"));
    BOOST_TEST(a.attest(ProgramId("p"), true).unconfirmedTokens == 0U);
    auto outcomes = flush(a, store);
    BOOST_TEST((outcomes.at(*admitted.reservation) == ChangeOutcome::Denied));
    BOOST_TEST(!store.has(TurnLedger::accountKey(ProgramId("p"))));
}

BOOST_AUTO_TEST_CASE(turnFromBeforeAnAttestationIsStoredWithoutAHoldForTheNext)
{
    admit(a, request("1"));
    flush(a, store);
    a.end(request("1"), 40, TurnRecord { CallId("1"), {}, "i", "o", {} });
    a.attest(ProgramId("p"), true);
    flush(a, store);
    BOOST_TEST(account().spent == 40U);
    BOOST_TEST(account().holds.at(DaemonLifetime("a")).tokens == 0U);
}

BOOST_AUTO_TEST_CASE(attestationCountsTokensOfSentChanges)
{
    admit(a, request("1"));
    auto batch = a.nextBatch();
    BOOST_TEST(a.attest(ProgramId("p"), true).unconfirmedTokens == maxTokens);
    a.batchOutcomeUnknown(batch->number);
    BOOST_TEST(a.attest(ProgramId("p"), true).unconfirmedTokens == maxTokens);
    // The batch takes effect late and appears in the next read.
    store.commit(*batch);
    a.recordsRead(ProgramId("p"), store.recordsWithPrefix(TurnLedger::programPrefix(ProgramId("p"))));
    AccountAttestation attestation = a.attest(ProgramId("p"), true);
    BOOST_TEST(attestation.unconfirmedTokens == 0U);
    BOOST_TEST(attestation.isComplete);
    BOOST_TEST(a.remainingOf(ProgramId("p"), 1'000) == 1'000 - maxTokens);
}

BOOST_AUTO_TEST_CASE(turnUnderAGrantDoesNotUseTheHold)
{
    admit(a, request("1"));
    flush(a, store);
    TurnKnowledge knowledge;
    knowledge.mayReserve = false;
    TurnDecision decision = a.begin(request("2"), knowledge, now);
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(decision));
    BOOST_TEST(std::get<TurnAdmitted>(decision).needsGrant);
    TurnEnd end;
    end.grant = 7;
    end.neededGrant = true;
    end.mayMissGrants = true;
    a.end(request("2"), 30, TurnRecord { CallId("2"), {}, "i", "o", {} }, end);
    flush(a, store);
    BOOST_TEST(account().spent == 30U);
    BOOST_TEST(account().holds.at(DaemonLifetime("a")).tokens == maxTokens);
}

// A keeper that stores a daemon's changes takes no holds for them.
BOOST_AUTO_TEST_CASE(reservationStoredByAKeeperWithoutItsHoldIsDenied)
{
    TurnAdmitted reserving = admit(a, request("1"));
    ProgramAccount other;
    other.budget = 1'000;
    other.holds[DaemonLifetime("a")].step = 50;
    a.recordsRead(ProgramId("p"), { { TurnLedger::accountKey(ProgramId("p")), encodeAccount(other), 90 } });
    auto outcomes = flush(a, store);
    BOOST_TEST((outcomes.at(*reserving.reservation) == ChangeOutcome::Denied));
}

BOOST_AUTO_TEST_CASE(journalEntryTakesNoHold)
{
    admit(a, request("1"));
    auto change = a.end(request("1"), 40, TurnRecord { CallId("1"), {}, "i", "o", {} });
    admit(a, request("2"));
    auto entry = a.entryFor(ProgramId("p"), *change);
    BOOST_REQUIRE(entry);
    ProgramAccount stored;
    BOOST_TEST(applyEntry(stored, *entry).size() == 1U);
    BOOST_TEST(stored.spent == 40U);
    BOOST_TEST(stored.holds.at(DaemonLifetime("a")).tokens == 0U);
}

BOOST_AUTO_TEST_CASE(manyImportedChainsAreStoredBeforeTheTurnThatFollows)
{
    constexpr int chains = 70;
    for (int n = 0; n < chains; ++n) {
        std::string turn = "o" + std::to_string(n);
        TurnRequest first = request(turn, "", "origin", ProgramAccount::unlimited);
        admit(a, first);
        a.end(first, 1, TurnRecord { first.turn, {}, "i", "o", {} });
        TurnKnowledge knowledge;
        knowledge.isProgramRead = true;
        knowledge.origins[first.turn] = ProgramId("origin");
        TurnRequest next = request("n" + std::to_string(n), turn, "p", ProgramAccount::unlimited);
        BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(a.begin(next, knowledge, now)));
        a.end(next, 1, TurnRecord { next.turn, next.previous, "i", "o", {} });
    }
    flush(a, store);
    for (int n = 0; n < chains; ++n) {
        BOOST_TEST(store.has(TurnLedger::turnKey(ProgramId("p"), CallId("o" + std::to_string(n)))));
        BOOST_TEST(store.has(TurnLedger::turnKey(ProgramId("p"), CallId("n" + std::to_string(n)))));
    }
}

BOOST_AUTO_TEST_CASE(unsentReservationOfAnEndedTurnIsCancelled)
{
    TurnAdmitted admitted = admit(a, request("1"));
    a.end(request("1"), 0, std::nullopt, { admitted.reservation });
    flush(a, store);
    BOOST_TEST(!store.has(TurnLedger::accountKey(ProgramId("p"))));
}

// A turn that found no target left its hold with its daemon. The program did not return there, and other daemons
// refused it.
BOOST_AUTO_TEST_CASE(holdOfATurnThatDidNotRunIsReleasedIfLittleBudgetRemains)
{
    TurnRequest turn = request("1", "", "p", 150);
    TurnAdmitted admitted = admit(a, turn);
    flush(a, store);
    BOOST_TEST(account().held() == maxTokens);
    a.end(turn, 0, std::nullopt, { admitted.reservation });
    flush(a, store);
    BOOST_TEST(account().held() == 0U);
    BOOST_TEST(std::holds_alternative<TurnAdmitted>(begin(b, request("2", "", "p", 150))));
}

BOOST_AUTO_TEST_CASE(refusalNamesTheHoldersThatCouldMakeRoom)
{
    admit(a, request("1", "", "p", 150));
    flush(a, store);
    b.recordsRead(ProgramId("p"), store.recordsWithPrefix(TurnLedger::programPrefix(ProgramId("p"))));
    TurnDecision decision = begin(b, request("2", "", "p", 150));
    BOOST_REQUIRE(std::holds_alternative<TurnBudgetSpent>(decision));
    BOOST_TEST(std::get<TurnBudgetSpent>(decision).holders.at(DaemonLifetime("a")) == maxTokens);
    // The holders are not named again within a second.
    BOOST_TEST(std::get<TurnBudgetSpent>(begin(b, request("2", "", "p", 150))).holders.empty());
    a.end(request("1", "", "p", 150), 60, TurnRecord { CallId("1"), {}, "i", "o", {} });
    flush(a, store);
    // Spent tokens never decrease, so the cached account suffices for a refusal.
    b.recordsRead(ProgramId("p"), store.recordsWithPrefix(TurnLedger::programPrefix(ProgramId("p"))));
    decision = b.begin(request("3", "", "p", 150), {}, now);
    BOOST_REQUIRE(std::holds_alternative<TurnBudgetSpent>(decision));
    BOOST_TEST(std::get<TurnBudgetSpent>(decision).holders.empty());
}

BOOST_AUTO_TEST_CASE(idleHoldIsReleasedForAnotherDaemon)
{
    run(a, request("1", "", "p", 350), 100);
    BOOST_TEST(account().held() > 0U);
    run(b, request("2", "1", "p", 350), 100);
    BOOST_TEST(std::holds_alternative<TurnBudgetSpent>(begin(b, request("3", "2", "p", 350))));
    BOOST_TEST(a.releaseHold(ProgramId("p")).has_value());
    flush(a, store);
    BOOST_TEST(!a.releaseHold(ProgramId("p")));
    b.recordsRead(ProgramId("p"), store.recordsWithPrefix(TurnLedger::programPrefix(ProgramId("p"))));
    BOOST_TEST(std::holds_alternative<TurnAdmitted>(begin(b, request("3", "2", "p", 350))));
}

BOOST_AUTO_TEST_CASE(writeWithALostResponseCountsOnce)
{
    TurnAdmitted admitted = admit(a, request("1"));
    auto batch = a.nextBatch();
    store.commit(*batch);
    a.batchOutcomeUnknown(batch->number);
    auto outcomes = flush(a, store);
    BOOST_TEST((outcomes.at(*admitted.reservation) == ChangeOutcome::Stored));
    BOOST_TEST(account().holds.at(DaemonLifetime("a")).tokens == maxTokens);
    a.end(request("1"), 40, TurnRecord { CallId("1"), {}, "i", "o", {} });
    batch = a.nextBatch();
    store.commit(*batch);
    a.batchOutcomeUnknown(batch->number);
    flush(a, store);
    BOOST_TEST(account().spent == 40U);
}

BOOST_AUTO_TEST_CASE(manyChangesAreSplitIntoBatchesOfTheMaximumSize)
{
    for (int n = 0; n < 100; ++n)
        admit(a, request("1", "", "p" + std::to_string(n)));
    std::size_t batches = 0;
    while (auto batch = a.nextBatch()) {
        BOOST_TEST(batch->entries() <= 32U);
        a.batchStored(batch->number, store.commit(*batch));
        ++batches;
    }
    BOOST_TEST(batches >= 100 * 2 / 32);
    BOOST_TEST(a.takeOutcomes().size() == 100U);
}

BOOST_AUTO_TEST_CASE(cacheIsBoundedAndEvictedProgramsAreReadAgain)
{
    LedgerSettings settings;
    settings.maxCachedBytes = 20'000;
    TurnLedger small(DaemonLifetime("s"), settings);
    for (int n = 0; n < 200; ++n)
        run(small, request("t" + std::to_string(n), "", "p" + std::to_string(n)));
    BOOST_TEST(small.cachedBytes() <= 21'000U);
    BOOST_TEST(admit(small, request("next", "t0", "p0")).history == "in t0;out t0;");
    flush(small, store);
    small.end(request("next", "t0", "p0"), 30, TurnRecord { CallId("next"), CallId("t0"), "i", "o", {} });
    BOOST_TEST(flush(small, store).size() == 1U);
    BOOST_TEST(account("p0").spent == 60U);
}

BOOST_AUTO_TEST_CASE(journalEntryContainsAllChangesThatAreNotStored)
{
    admit(a, request("1"));
    auto change = a.end(request("1"), 40, TurnRecord { CallId("1"), {}, "i", "o", {} });
    auto entry = a.entryFor(ProgramId("p"), *change);
    BOOST_REQUIRE(entry);
    BOOST_TEST(entry->changes.size() == 2U);
    BOOST_TEST((decodeEntry(encodeEntry(*entry)) == *entry));
    flush(a, store);
    BOOST_TEST(!a.entryFor(ProgramId("p"), *change));
}

BOOST_AUTO_TEST_CASE(arbitraryIdsMakeSafeKeys)
{
    std::string key = TurnLedger::turnKey(ProgramId("a/../b"), CallId(std::string(500, 'x')));
    BOOST_TEST(key.size() < 200U);
    BOOST_TEST(key.find("..") == std::string::npos);
}

// In an outage, programs of a large fleet were refused after one turn's tokens, since nothing more of their budget was certain.
BOOST_AUTO_TEST_CASE(accountsOfALargeFleetReserveTokensForGrants)
{
    TurnKnowledge large;
    large.reservesForGrants = true;
    auto first = request("1");
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(a.begin(first, large, now)));
    flush(a, store);
    BOOST_TEST(account().grantReserve == 250U);
    a.end(first, 30, TurnRecord { first.turn, {}, "in 1;", "out 1;", {} });
    flush(a, store);
    BOOST_TEST(a.grantAllowance(request("2", "1"), now) == maxTokens + 250);
    // A daemon that does not know the program yet relies on the reserve only for a program that begins.
    BOOST_TEST(b.grantAllowance(request("2", "1"), now) == maxTokens);
    BOOST_TEST(b.grantAllowance(request("1", "", "new"), now) == maxTokens + 250);
    // Grants that an old account lacks may have been forgotten.
    BOOST_TEST(a.grantAllowance(request("2", "1"), now + std::chrono::minutes(6)) == maxTokens);
    // Tokens used under a grant come out of the reserve.
    TurnEnd underGrant;
    underGrant.grant = 7;
    underGrant.neededGrant = true;
    underGrant.reservesForGrants = true;
    a.end(request("2", "1"), 60, TurnRecord { CallId("2"), CallId("1"), "in 2;", "out 2;", {} }, underGrant);
    flush(a, store);
    BOOST_TEST(account().spent == 90U);
    BOOST_TEST(account().grantReserve == 190U);
}

BOOST_AUTO_TEST_CASE(programThatBeginsUnderAGrantGetsTheReserve)
{
    auto first = request("1");
    TurnKnowledge outage;
    outage.reservesForGrants = true;
    outage.mayReserve = false;
    auto decision = a.begin(first, outage, now);
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(decision));
    BOOST_TEST(std::get<TurnAdmitted>(decision).needsGrant);
    TurnEnd end;
    end.grant = 7;
    end.neededGrant = true;
    end.reservesForGrants = true;
    a.end(first, 60, TurnRecord { first.turn, {}, "in 1;", "out 1;", {} }, end);
    flush(a, store);
    BOOST_TEST(account().grantReserve == 190U);
}

// The budget is not spent before its reserve is used too.
BOOST_AUTO_TEST_CASE(turnThatNeedsTheReserveAsksForItsClosing)
{
    TurnKnowledge large;
    large.reservesForGrants = true;
    auto first = request("1", "", "p", 200);
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(a.begin(first, large, now)));
    flush(a, store);
    a.end(first, 90, TurnRecord { first.turn, {}, "in 1;", "out 1;", {} });
    flush(a, store);
    BOOST_TEST(account().grantReserve == 50U);
    auto second = request("2", "1", "p", 200);
    BOOST_TEST(std::holds_alternative<TurnNeedsProgram>(a.begin(second, large, now)));
    large.isBudgetFresh = true;
    BOOST_TEST(std::holds_alternative<TurnNeedsReserve>(a.begin(second, large, now)));
    large.isReserveClosed = true;
    // Grants that were taken before the closing are left in the budget, but for one turn's tokens.
    large.outstanding = maxTokens + 20;
    BOOST_TEST(std::holds_alternative<TurnBudgetSpent>(a.begin(second, large, now)));
    large.outstanding = maxTokens + 10;
    auto decision = a.begin(second, large, now);
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(decision));
    flush(a, store);
    BOOST_TEST(account().grantReserve == 10U);
    BOOST_TEST(account().held() == maxTokens);
}

// Guards against budgets that are exceeded since reservations of others use what was granted from a reserve before its closing.
BOOST_AUTO_TEST_CASE(reservationsAfterTheClosingOfTheReserveLeaveWhatWasGranted)
{
    TurnKnowledge large;
    large.reservesForGrants = true;
    auto first = request("1", "", "p", 4 * maxTokens);
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(a.begin(first, large, now)));
    flush(a, store);
    TurnKnowledge closing = large;
    closing.isBudgetFresh = true;
    closing.isReserveClosed = true;
    // Two grants are outstanding, of which one may exceed the budget.
    closing.outstanding = 2 * maxTokens;
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(a.begin(request("2", "", "p", 4 * maxTokens), closing, now)));
    flush(a, store);
    BOOST_TEST(account().grantReserve == maxTokens);
    TurnKnowledge fresh = large;
    fresh.isBudgetFresh = true;
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(a.begin(request("3", "", "p", 4 * maxTokens), fresh, now)));
    flush(a, store);
    BOOST_TEST(!std::holds_alternative<TurnAdmitted>(a.begin(request("4", "", "p", 4 * maxTokens), fresh, now)));
    BOOST_TEST(account().held() == 3 * maxTokens);
}

BOOST_AUTO_TEST_SUITE_END()
