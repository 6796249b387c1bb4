#include "LedgerStore.h"

#include "basilpoint/Turns/Errors.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

constexpr std::size_t pieceBytes = 100;

std::shared_ptr<const TurnRecord> turnOf(std::size_t inputBytes, std::size_t outputBytes)
{
    TurnRecord record { CallId("t"), CallId("before"), std::string(inputBytes, '\0'), std::string(outputBytes, '\0'), TargetId("i-1") };
    for (std::size_t n = 0; n < inputBytes; ++n)
        record.input[n] = static_cast<char>(n % 251);
    for (std::size_t n = 0; n < outputBytes; ++n)
        record.output[n] = static_cast<char>(n % 241);
    return std::make_shared<const TurnRecord>(std::move(record));
}

} // namespace

BOOST_AUTO_TEST_SUITE(SplitTurnTest)

BOOST_AUTO_TEST_CASE(piecesJoinToTheTurn)
{
    for (std::size_t inputBytes : { 0U, 1U, 99U, 100U, 101U, 250U })
        for (std::size_t outputBytes : { 0U, 1U, 100U, 149U, 150U, 350U }) {
            auto record = turnOf(inputBytes, outputBytes);
            SplitTurn turn(record, pieceBytes);
            std::map<std::string, std::string> pieces;
            for (std::size_t n = 0; n < turn.pieces(); ++n) {
                pieces[turn.pieceName(n)] = turn.piece(n);
                BOOST_TEST(turn.piece(n).size() <= pieceBytes);
            }
            BOOST_TEST(pieces.size() == turn.pieces());
            auto find = [&](const std::string& name) { return pieces.contains(name) ? &pieces.at(name) : nullptr; };
            auto joined = SplitTurn::join(turn.head(), find);
            BOOST_REQUIRE(joined);
            BOOST_TEST((*joined == *record));
            if (pieces.empty())
                continue;
            pieces.erase(pieces.begin());
            BOOST_TEST(!SplitTurn::join(turn.head(), find));
        }
    BOOST_CHECK_THROW(SplitTurn::join("no head", [](const std::string&) { return nullptr; }), DamagedRecordError);
}

// Guards against a turn that is never stored, since the store refuses a value of its size.
BOOST_AUTO_TEST_CASE(turnLargerThanAValueIsStoredInPiecesAndReadBack)
{
    LedgerSettings settings;
    settings.maxValueBytes = 1'000;
    LedgerStore store;
    TurnLedger ledger(DaemonLifetime("a"), settings);
    TurnRequest turn { ProgramId("p"), CallId("1"), {}, ProgramAccount::unlimited, 0, WallTimePoint(std::chrono::hours(1)) };
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(ledger.begin(turn, {}, TimePoint(std::chrono::hours(1)))));
    std::string input(5'000, 'i');
    ledger.end(turn, 1, TurnRecord { turn.turn, {}, input, "out", TargetId("t") });
    auto batch = ledger.nextBatch();
    BOOST_REQUIRE(batch);
    BOOST_REQUIRE(batch->splitTurns.size() == 1U);
    for (const auto& [key, value] : batch->puts)
        BOOST_TEST(value.size() <= settings.maxValueBytes);
    auto read = [&](const char* daemon) {
        TurnLedger other(DaemonLifetime(daemon), settings);
        other.allRecordsRead(turn.program, store.recordsWithPrefix(TurnLedger::programPrefix(turn.program)));
        TurnKnowledge knowledge;
        knowledge.isProgramRead = knowledge.isProgramFresh = true;
        TurnRequest next = turn;
        next.turn = CallId("2");
        next.previous = turn.turn;
        return other.begin(next, knowledge, TimePoint(std::chrono::hours(1)));
    };
    BOOST_TEST(store.commit(*batch) > 0);
    // A head whose pieces have not been read is no turn yet.
    BOOST_TEST(!std::holds_alternative<TurnAdmitted>(read("b")));
    const auto& [prefix, pieces] = batch->splitTurns.front();
    for (std::size_t n = 0; n < pieces.pieces(); ++n) {
        BOOST_TEST(pieces.piece(n).size() <= settings.maxValueBytes);
        store.put(prefix + pieces.pieceName(n), pieces.piece(n));
    }
    TurnDecision decision = read("c");
    BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(decision));
    BOOST_TEST(std::get<TurnAdmitted>(decision).history == input + "out");
}

// Guards against calls to the store that are larger than it takes, since many turns wait for it.
BOOST_AUTO_TEST_CASE(batchHasNoMoreBytesOfTurnsThanOneValue)
{
    LedgerSettings settings;
    settings.maxValueBytes = 1'000;
    LedgerStore store;
    TurnLedger ledger(DaemonLifetime("a"), settings);
    for (int n = 0; n < 6; ++n) {
        TurnRequest turn { ProgramId("p"), CallId("t" + std::to_string(n)), {}, ProgramAccount::unlimited, 0, WallTimePoint(std::chrono::hours(1)) };
        BOOST_REQUIRE(std::holds_alternative<TurnAdmitted>(ledger.begin(turn, {}, TimePoint(std::chrono::hours(1)))));
        ledger.end(turn, 1, TurnRecord { turn.turn, {}, std::string(400, 'i'), {}, {} });
    }
    int batches = 0;
    while (auto batch = ledger.nextBatch()) {
        ++batches;
        std::size_t bytes = 0;
        for (const auto& [key, value] : batch->puts)
            bytes += key.ends_with("account") ? 0 : value.size();
        BOOST_TEST(bytes <= 2 * settings.maxValueBytes);
        ledger.batchStored(batch->number, store.commit(*batch));
    }
    BOOST_TEST(batches == 3);
    BOOST_TEST(store.has(TurnLedger::turnKey(ProgramId("p"), CallId("t5"))));
}

BOOST_AUTO_TEST_SUITE_END()
