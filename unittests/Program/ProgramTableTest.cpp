#include "basilpoint/Program/ProgramTable.h"
#include "basilpoint/Program/Errors.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

struct OneProgram {
    OneProgram()
    {
        table.apply(table.open(ProgramOpened { program, EnvironmentId("annex"), OperatorId("societies"), {}, {}, 100, now, {} }));
    }

    void runTurn(const std::string& messages, const std::string& answer, TokenCount used)
    {
        auto decision = table.startTurn({ program, {}, messages, 29 }, now);
        table.apply(std::get<ProgramRecord>(decision));
        table.apply(table.finishTurn(program, answer, used));
    }

    ToolRequest payout(const std::string& body) const { return { program, RequestKey("pay-1"), "payout", body }; }

    ProgramTable table { ProgramLimits {} };
    ProgramId program { "3-1-abc" };
    WallTimePoint now { std::chrono::hours(1) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProgramTableTest, OneProgram)

BOOST_AUTO_TEST_CASE(wholeHistoryAndIncrementGiveTheSameChain)
{
    runTurn(R"([{"a":1}])", R"({"b":2})", 10);
    runTurn(R"([{"a":1},{"b":2},{"c":3}])", R"({"d":4})", 10);
    BOOST_TEST(table.history(program) == R"([{"a":1},{"b":2},{"c":3},{"d":4}])");
    BOOST_TEST(table.summary(program).spent == 20U);
}

BOOST_AUTO_TEST_CASE(refusesTurnThatDoesNotFitTheBudget)
{
    runTurn(R"([{"a":1}])", R"({"b":2})", 40);
    BOOST_CHECK_NO_THROW(table.startTurn({ program, {}, R"([{"c":1}])", 15 }, now));
    BOOST_CHECK_THROW(table.startTurn({ program, {}, R"([{"c":1}])", 16 }, now), BudgetExceededError);
}

BOOST_AUTO_TEST_CASE(refusesSecondCallWhileOneIsOpen)
{
    table.apply(std::get<ProgramRecord>(table.startTurn({ program, {}, R"([{"a":1}])", 29 }, now)));
    BOOST_CHECK_THROW(table.startTurn({ program, {}, R"([{"a":1}])", 29 }, now), ProgramBusyError);
    BOOST_CHECK_THROW(table.recordIntent(payout("{}"), now), ProgramBusyError);
}

BOOST_AUTO_TEST_CASE(repeatOfFinishedToolCallGetsRecordedAnswer)
{
    table.apply(std::get<ProgramRecord>(table.recordIntent(payout("{}"), now)));
    table.apply(table.recordOutcome(program, RequestKey("pay-1"), Executed::Yes, 201, "done"));
    auto decision = table.recordIntent(payout("{}"), now);
    BOOST_TEST((std::get<RecordedAnswer>(decision) == RecordedAnswer { 201, "done" }));
    BOOST_CHECK_THROW(table.recordIntent(payout("{\"other\":1}"), now), ConflictError);
}

BOOST_AUTO_TEST_CASE(unknownOutcomeIsNeverDispatchedAgain)
{
    table.apply(std::get<ProgramRecord>(table.recordIntent(payout("{}"), now)));
    table.apply(table.recordOutcome(program, RequestKey("pay-1"), Executed::Unknown, 0, {}));
    BOOST_CHECK_THROW(table.recordIntent(payout("{}"), now), OutcomeUnknownError);
}

BOOST_AUTO_TEST_CASE(recordsSurviveTheirCodec)
{
    ProgramRecord record = OutcomeRecorded { program, RequestKey("k"), Executed::Yes, 200, std::string("\0\xff", 2) };
    BOOST_TEST((decodeRecord(encodeRecord(record)) == record));
    BOOST_CHECK_THROW(decodeRecord("no record"), InvalidInputError);
}

BOOST_AUTO_TEST_SUITE_END()
