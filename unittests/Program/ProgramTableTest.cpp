#include "basilpoint/Program/ProgramTable.h"

#include "basilpoint/Program/Errors.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

struct OneProgram {
    OneProgram()
    {
        table.apply(table.open(opening(program, {}, 1'000)));
    }

    ProgramOpened opening(const ProgramId& id, const ProgramId& parent, TokenCount budget) const
    {
        return { id, EnvironmentId("annex"), OperatorId("societies"), {}, parent, budget, now, deadline };
    }

    CallDecision start(const std::string& messages, const std::string& key = {}, HistoryForm form = HistoryForm::Detect) const
    {
        return table.startTurn({ program, RequestKey(key), messages, 29, form }, now);
    }

    void runTurn(const std::string& messages, const std::string& answer, TokenCount used, const std::string& key = {})
    {
        table.apply(std::get<ProgramRecord>(start(messages, key)));
        table.apply(table.finishTurn(program, answer, used));
    }

    void applyAll(const std::vector<ProgramRecord>& records)
    {
        for (const ProgramRecord& record : records)
            table.apply(record);
    }

    ToolRequest payout(const std::string& body, const std::string& key = "pay-1") const { return { program, RequestKey(key), "payout", body }; }

    void beginPayout(const std::string& key = "pay-1")
    {
        table.apply(std::get<ProgramRecord>(table.recordIntent(payout("{}", key), now)));
    }

    ProgramTable table { ProgramLimits {} };
    ProgramId program { "3-1-abc" };
    ProgramId child { "3-1-child" };
    WallTimePoint now { std::chrono::hours(1) };
    WallTimePoint deadline { std::chrono::hours(2) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProgramTableTest, OneProgram)

BOOST_AUTO_TEST_CASE(wholeHistoryAndIncrementGiveTheSameChain)
{
    runTurn(R"([{"a":1}])", R"({"b":2})", 10);
    ProgramTable other = table;
    runTurn(R"([{"a":1},{"b":2},{"c":3, "a":0}])", R"({"d":4})", 10);
    other.apply(std::get<ProgramRecord>(other.startTurn({ program, {}, R"([ {"a":0,"c":3} ])", 29, HistoryForm::Increment }, now)));
    other.apply(other.finishTurn(program, R"({ "d": 4 })", 10));
    BOOST_TEST(table.history(program) == R"([{"a":1},{"b":2},{"a":0,"c":3},{"d":4}])");
    BOOST_TEST((table == other));
}

BOOST_AUTO_TEST_CASE(refusesWholeListOfAnotherHistory)
{
    runTurn(R"([{"role":"user","content":"1"}])", R"({"role":"assistant","content":"2"})", 10);
    BOOST_CHECK_THROW(start(R"([{"role":"user","content":"1"},{"role":"assistant","content":"3"},{"role":"user"}])"), HistoryConflictError);
    BOOST_TEST((start(R"([{"role":"user","content":"1"}])", "", HistoryForm::Whole).index() == 1U));
    BOOST_CHECK_THROW(start(R"([{"x":1}])", "", HistoryForm::Whole), HistoryConflictError);
    BOOST_CHECK_NO_THROW(start(R"([{"role":"user","content":"1"}])"));
}

BOOST_AUTO_TEST_CASE(statedHistoryDecidesWhatAnIncrementContinues)
{
    runTurn(R"([{"a":1}])", R"({"b":2})", 10);
    HistoryView first { 1, table.summary(program).chain };
    runTurn(R"([{"a":3}])", R"({"b":4})", 10);
    HistoryView second { 2, table.summary(program).chain };
    auto startAfter = [&](const HistoryView& seen, const std::string& messages) {
        return table.startTurn({ program, {}, messages, 29, HistoryForm::Detect, seen }, now);
    };
    BOOST_TEST((std::get<RecordedAnswer>(startAfter(first, R"([{"a":3}])")).body == R"({"b":4})"));
    BOOST_TEST((startAfter(second, R"([{"a":3}])").index() == 0U));
    BOOST_CHECK_THROW(startAfter(first, R"([{"a":5}])"), HistoryConflictError);
    BOOST_CHECK_THROW(startAfter({ 2, first.chain }, R"([{"a":5}])"), HistoryConflictError);
    BOOST_CHECK_THROW(startAfter({ 3, first.chain }, R"([{"a":5}])"), HistoryBehindError);
}

BOOST_AUTO_TEST_CASE(repeatOfAnyKeyedTurnGetsItsRecordedAnswer)
{
    runTurn(R"([{"a":1}])", R"({"b":2})", 10, "k1");
    runTurn(R"([{"a":3}])", R"({"b":4})", 10, "k2");
    runTurn(R"([{"a":5}])", R"({"b":6})", 10);
    BOOST_TEST((std::get<RecordedAnswer>(start(R"([{"a":1}])", "k1")).body == R"({"b":2})"));
    BOOST_TEST((std::get<RecordedAnswer>(start(R"([{"a":1},{"b":2},{"a":3}])", "k2")).body == R"({"b":4})"));
    BOOST_CHECK_THROW(start(R"([{"a":7}])", "k1"), ConflictError);
    BOOST_TEST((std::get<RecordedAnswer>(start(R"([{"a":1},{"b":2},{"a":3},{"b":4},{"a":5}])", "", HistoryForm::Whole)).body == R"({"b":6})"));
}

BOOST_AUTO_TEST_CASE(refusesMalformedMessages)
{
    for (const std::string& messages : { std::string("null"), std::string("[]"), std::string("[1]"), std::string("{}"), std::string("["), std::string(R"([{"role":7}])"), std::string("[{\"a\":\"\xff\"}]"), std::string(R"([{"a":1e999}])") })
        BOOST_CHECK_THROW(start(messages), InvalidInputError);
    std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    BOOST_CHECK_THROW(start(R"([{"a":)" + deep + "}]"), InvalidInputError);
    BOOST_CHECK_THROW(start(deep), InvalidInputError);
    BOOST_CHECK_NO_THROW(start(R"([{"a":"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"{{{{"}])"));
}

BOOST_AUTO_TEST_CASE(refusesTurnThatDoesNotFitTheBudget)
{
    runTurn(R"([{"a":1}])", R"({"b":2})", 30);
    BOOST_CHECK_NO_THROW(table.startTurn({ program, {}, R"([{"c":1}])", 933 }, now));
    BOOST_CHECK_THROW(table.startTurn({ program, {}, R"([{"c":1}])", 934 }, now), BudgetExceededError);
    BOOST_CHECK_THROW(table.startTurn({ program, {}, R"([{"c":1}])", ~TokenCount(0) }, now), BudgetExceededError);
}

BOOST_AUTO_TEST_CASE(refusesSecondCallWhileOneIsOpen)
{
    table.apply(std::get<ProgramRecord>(start(R"([{"a":1}])")));
    BOOST_CHECK_THROW(start(R"([{"a":1}])"), ProgramBusyError);
    BOOST_CHECK_THROW(table.recordIntent(payout("{}"), now), ProgramBusyError);
    BOOST_CHECK_THROW(table.close(program, CloseReason::Caller), ProgramBusyError);
}

BOOST_AUTO_TEST_CASE(subAgentBudgetReturnsToTheParentOnce)
{
    table.apply(table.open(opening(child, program, 900)));
    BOOST_CHECK_THROW(table.open(opening(ProgramId("3-1-other"), program, 101)), BudgetExceededError);
    BOOST_CHECK_THROW(table.close(program, CloseReason::Caller), ProgramBusyError);
    ProgramRecord closing = table.close(child, CloseReason::Caller);
    table.apply(closing);
    BOOST_CHECK_THROW(table.close(child, CloseReason::Caller), ProgramEndedError);
    BOOST_CHECK_THROW(table.apply(closing), RecordMismatchError);
    BOOST_TEST(table.summary(program).reserved == 0U);
    table.apply(table.close(program, CloseReason::Caller));
    BOOST_CHECK_THROW(table.open(opening(ProgramId("3-1-other"), program, 1)), ProgramEndedError);
}

BOOST_AUTO_TEST_CASE(refusesRestoredStateBeyondItsBudget)
{
    auto restored = std::get<ProgramSnapshot>(table.compactRecords().front());
    restored.state.spent = 2;
    restored.state.reservedForChildren = ~TokenCount(0);
    BOOST_CHECK_THROW(ProgramTable({}).apply(restored), RecordMismatchError);
}

BOOST_AUTO_TEST_CASE(repeatedOpeningMustBeTheSame)
{
    ProgramOpened wanted = opening(child, {}, 50);
    wanted.openKey = RequestKey("open-1");
    BOOST_TEST(!table.findByOpenKey(wanted).has_value());
    table.apply(table.open(wanted));
    wanted.program = ProgramId("3-1-again");
    BOOST_TEST((table.findByOpenKey(wanted) == child));
    BOOST_CHECK_THROW(table.open(wanted), ConflictError);
    wanted.budget = 51;
    BOOST_CHECK_THROW(table.findByOpenKey(wanted), ConflictError);
}

BOOST_AUTO_TEST_CASE(repeatOfFinishedToolCallGetsRecordedAnswer)
{
    beginPayout();
    table.apply(table.recordOutcome(program, RequestKey("pay-1"), Executed::Yes, 201, "done"));
    table.apply(table.close(program, CloseReason::Caller));
    auto decision = table.recordIntent(payout("{}"), now);
    BOOST_TEST((std::get<RecordedAnswer>(decision) == RecordedAnswer { 201, "done" }));
    BOOST_CHECK_THROW(table.recordIntent(payout("{\"other\":1}"), now), ConflictError);
    BOOST_CHECK_THROW(table.recordOutcome(program, RequestKey("pay-1"), Executed::No, 0, {}), ConflictError);
}

BOOST_AUTO_TEST_CASE(unknownOutcomeIsSettledOnlyByExecutedYes)
{
    beginPayout();
    table.apply(table.recordOutcome(program, RequestKey("pay-1"), Executed::Unknown, 0, {}));
    BOOST_CHECK_THROW(table.recordIntent(payout("{}"), now), OutcomeUnknownError);
    BOOST_CHECK_THROW(table.recordOutcome(program, RequestKey("pay-1"), Executed::No, 0, {}), OutcomeUnknownError);
    table.apply(table.recordOutcome(program, RequestKey("pay-1"), Executed::Yes, 200, "late"));
    BOOST_TEST((table.recordIntent(payout("{}"), now).index() == 1U));
}

BOOST_AUTO_TEST_CASE(callThatWasNeverSentMayBeSentAgain)
{
    beginPayout();
    table.apply(table.recordOutcome(program, RequestKey("pay-1"), Executed::No, 0, {}));
    BOOST_TEST((table.recordIntent(payout("{}"), now).index() == 0U));
}

BOOST_AUTO_TEST_CASE(deadlineEndsTheWholeTree)
{
    table.apply(table.open(opening(child, program, 900)));
    table.apply(std::get<ProgramRecord>(table.startTurn({ child, {}, R"([{"a":1}])", 29 }, now)));
    beginPayout();
    BOOST_TEST(table.closeOverdue(now).empty());
    applyAll(table.closeOverdue(deadline));
    BOOST_TEST(!table.summary(program).open);
    BOOST_TEST(table.summary(program).spent == 36U);
    BOOST_CHECK_THROW(table.finishTurn(child, R"({"b":2})", 1), ProgramEndedError);
    BOOST_CHECK_THROW(table.recordIntent(payout("{}"), now), OutcomeUnknownError);
    BOOST_TEST(table.closeTree(program, CloseReason::Caller, now).empty());
}

BOOST_AUTO_TEST_CASE(identicalCallsInARowEndTheProgram)
{
    for (unsigned n = 0; n < ProgramLimits().maxRepeatedCalls; ++n)
        runTurn(R"([{"a":1}])", R"({"b":2})", 1);
    BOOST_CHECK_THROW(start(R"([{"a":1}])"), ProgramEndedError);
    BOOST_CHECK_NO_THROW(start(R"([{"a":2}])"));
    for (unsigned n = 0; n < ProgramLimits().maxRepeatedCalls; ++n) {
        std::string key = std::to_string(n);
        beginPayout(key);
        table.apply(table.recordOutcome(program, RequestKey(key), Executed::Yes, 200, {}));
    }
    BOOST_CHECK_THROW(table.recordIntent(payout("{}", "new"), now), ProgramEndedError);
    BOOST_CHECK_NO_THROW(table.recordIntent(payout("[]", "new"), now));
}

BOOST_AUTO_TEST_CASE(limitsComeFromTheOpeningRecord)
{
    ProgramOpened opened = opening(child, {}, 100);
    opened.limits = ProgramLimits { .maxTurns = 0 };
    table.apply(table.open(opened));
    BOOST_CHECK_EXCEPTION(table.startTurn({ child, {}, R"([{"a":1}])", 1 }, now), ProgramEndedError, [](const auto& error) { return error.reason() == CloseReason::TurnLimit; });
}

BOOST_AUTO_TEST_CASE(newOwnerSettlesOpenCallsAtWorstCase)
{
    table.apply(table.open(opening(child, program, 100)));
    beginPayout();
    table.apply(std::get<ProgramRecord>(table.startTurn({ child, RequestKey("k"), R"([{"a":1}])", 29 }, now)));
    applyAll(table.recoverAfterTakeOver(now));
    BOOST_CHECK_THROW(table.recordIntent(payout("{}"), now), OutcomeUnknownError);
    BOOST_TEST(table.summary(child).spent == 36U);
    BOOST_TEST(table.summary(child).reserved == 0U);
    BOOST_TEST((table.startTurn({ child, RequestKey("k"), R"([{"a":1}])", 29 }, now).index() == 0U));
    BOOST_TEST(table.recoverAfterTakeOver(now).empty());
}

BOOST_AUTO_TEST_CASE(lateAnswerDoesNotEndAnotherCall)
{
    auto former = std::get<TurnStarted>(std::get<ProgramRecord>(start(R"([{"a":1}])")));
    table.apply(former);
    applyAll(table.recoverAfterTakeOver(now));
    BOOST_CHECK_THROW(table.finishTurn(former, R"({"b":2})", 1), ConflictError);
    auto present = std::get<TurnStarted>(std::get<ProgramRecord>(start(R"([{"a":3}])")));
    table.apply(present);
    BOOST_CHECK_THROW(table.finishTurn(former, R"({"b":2})", 1), ConflictError);
    BOOST_CHECK_THROW(table.failTurn(former, 1), ConflictError);
    table.apply(table.finishTurn(present, R"({"b":4})", 1));
    BOOST_TEST(table.history(program) == R"([{"a":3},{"b":4}])");
}

BOOST_AUTO_TEST_CASE(closedProgramForgetsAnswersBeforeKeys)
{
    ProgramLimits limits;
    runTurn(R"([{"a":1}])", R"({"b":2})", 10, "k1");
    beginPayout();
    table.apply(table.recordOutcome(program, RequestKey("pay-1"), Executed::Yes, 201, "done"));
    table.apply(table.close(program, CloseReason::Caller, now));
    BOOST_TEST((std::get<RecordedAnswer>(start(R"([{"a":1}])", "k1")).body == R"({"b":2})"));
    BOOST_TEST(table.forgetExpired(now).empty());
    applyAll(table.forgetExpired(deadline + limits.answerRetention));
    BOOST_CHECK_THROW(start(R"([{"a":1}])", "k1"), ProgramEndedError);
    BOOST_TEST((table.recordIntent(payout("{}"), now).index() == 1U));
    applyAll(table.forgetExpired(deadline + limits.keyRetention));
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
