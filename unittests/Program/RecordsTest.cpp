#include "basilpoint/Program/Records.h"

#include "basilpoint/Support/Error.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

static ProgramSnapshot fullState()
{
    ProgramState state;
    state.opened = { ProgramId("3-1-a"), EnvironmentId("e"), OperatorId("o"), RequestKey("k"), ProgramId("3-1-p"), 100, WallTimePoint(std::chrono::nanoseconds(1'234'567)), WallTimePoint(std::chrono::hours(1)), ProgramLimits { 1, 2, std::chrono::seconds(3), std::chrono::seconds(4) }, digestOf("open") };
    state.spent = ~TokenCount(0);
    state.reserved = 2;
    state.reservedForChildren = 3;
    state.openChildren = 4;
    state.turns = 5;
    state.contextTokens = 6;
    state.history = R"({"a":1},{"b":"é"})";
    state.chain = digestOf("1");
    state.chainBeforeLastTurn = digestOf("2");
    state.repeatedTurns = { 7, 8 };
    state.repeatedTools = { 9, 10 };
    state.openTurn = TurnStarted { state.opened.program, TurnNumber(6), RequestKey("t"), digestOf("3"), "[{}]", 2 };
    state.finishedTurns = { { ~std::uint64_t(0), 12, 8, 9 } };
    state.tools = { { RequestKey("\xff"), { "payout", digestOf("4"), Executed::Unknown, 201, std::string("\0\xff", 2) } }, { RequestKey("open"), { "payout", digestOf("5"), std::nullopt, 0, {} } } };
    state.closed = CloseReason::Deadline;
    state.closedAt = WallTimePoint(std::chrono::nanoseconds(9));
    return { state.opened.program, state };
}

static std::vector<ProgramRecord> oneOfEach()
{
    ProgramSnapshot restored = fullState();
    const ProgramId& program = restored.program;
    return { restored.state.opened, *restored.state.openTurn, TurnFinished { program, TurnNumber(1), "{}", 3 }, TurnFailed { program, TurnNumber(1), 4 },
        IntentRecorded { program, RequestKey("k"), "payout", digestOf("5") }, OutcomeRecorded { program, RequestKey("k"), Executed::Yes, 200, std::string("\0\xff", 2) },
        ProgramClosed { program, CloseReason::TurnLimit, WallTimePoint(std::chrono::hours(3)) }, ProgramForgotten { program, ForgetScope::Everything }, restored };
}

BOOST_AUTO_TEST_SUITE(RecordsTest)

BOOST_AUTO_TEST_CASE(recordsRoundTrip)
{
    std::vector<ProgramRecord> records = oneOfEach();
    BOOST_TEST(records.size() == std::variant_size_v<ProgramRecord>);
    for (const ProgramRecord& record : records) {
        BOOST_TEST((decodeRecord(encodeRecord(record)) == record));
        BOOST_TEST(programOf(record).text() == "3-1-a");
    }
}

BOOST_AUTO_TEST_CASE(truncatedRecordsThrowInvalidInputError)
{
    for (const ProgramRecord& record : oneOfEach()) {
        std::string bytes = encodeRecord(record);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            BOOST_CHECK_THROW(decodeRecord(bytes.substr(0, size)), InvalidInputError);
    }
}

BOOST_AUTO_TEST_CASE(refusesAnswerOutsideTheHistory)
{
    ProgramSnapshot restored = fullState();
    restored.state.finishedTurns = { { 1, 2, 8, 11 } };
    BOOST_CHECK_THROW(decodeRecord(encodeRecord(restored)), InvalidInputError);
}

BOOST_AUTO_TEST_SUITE_END()
