#include "basilpoint/Turns/TurnJournal.h"
#include "basilpoint/Turns/Errors.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

JournalEntry turnEntry(const std::string& turn, std::uint64_t step, const std::string& program = "p")
{
    AccountChange change;
    change.kind = AccountChange::Kind::Settle;
    change.step = step;
    change.used = 10;
    change.record = TurnRecord { CallId(turn), {}, "in", "out", TargetId("t") };
    return { ProgramId(program), DaemonLifetime("d"), { change } };
}

JournalEntry grantEntry(AccountChange::Kind kind, std::uint64_t step, TokenCount tokens, std::uint64_t grant = 0)
{
    AccountChange change;
    change.kind = kind;
    change.step = step;
    change.maxTokens = tokens;
    change.used = tokens;
    change.grant = grant;
    return { ProgramId("p"), DaemonLifetime("d"), { change } };
}

void append(TurnJournal& journal, const JournalEntry& entry)
{
    journal.apply(decodeOperation(encodeOperation({ JournalOperation::Kind::Append, encodeEntry(entry) })));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TurnJournalTest)

BOOST_AUTO_TEST_CASE(findsAllEntriesOfTheProgramThatATurnBelongsTo)
{
    TurnJournal journal;
    append(journal, turnEntry("1", 1));
    append(journal, turnEntry("2", 2));
    append(journal, turnEntry("3", 3, "other"));
    BOOST_TEST(journal.findTurn(CallId("2")).size() == 2U);
    BOOST_TEST(journal.findTurn(CallId("4")).empty());
}

BOOST_AUTO_TEST_CASE(appendAndDropAreIdempotent)
{
    TurnJournal journal;
    append(journal, turnEntry("1", 1));
    append(journal, turnEntry("1", 1));
    BOOST_TEST(journal.size() == 1U);
    JournalOperation drop { JournalOperation::Kind::Drop, {}, { DaemonLifetime("d"), 1 } };
    journal.apply(drop);
    journal.apply(drop);
    BOOST_TEST(journal.size() == 0U);
    BOOST_TEST(journal.findTurn(CallId("1")).empty());
}

BOOST_AUTO_TEST_CASE(emptyJournalIsNotSynchronizedUntilMarkedSo)
{
    TurnJournal journal;
    BOOST_TEST(!journal.isSynchronized());
    journal.apply({ JournalOperation::Kind::Synchronized });
    append(journal, turnEntry("1", 1));
    TurnJournal replayed;
    auto next = journal.snapshot();
    while (auto it = next())
        replayed.apply(decodeOperation(encodeOperation(*it)));
    BOOST_TEST(replayed.isSynchronized());
    BOOST_TEST((replayed.all() == journal.all()));
}

BOOST_AUTO_TEST_CASE(grantCountsInFullUntilItEnds)
{
    std::vector<JournalEntry> grants { grantEntry(AccountChange::Kind::Grant, 1, 100), grantEntry(AccountChange::Kind::Grant, 4, 50) };
    BOOST_TEST(grantedTokens(grants) == 150U);
    grants.push_back(grantEntry(AccountChange::Kind::GrantEnd, 2, 30, 1));
    // Several keepers return the same entries.
    grants.push_back(grants.front());
    BOOST_TEST(grantedTokens(grants) == 80U);
    BOOST_TEST(outstandingTokens(grants) == 80U);
    grants.push_back(grantEntry(AccountChange::Kind::GrantStored, 3, 0, 1));
    BOOST_TEST(grantedTokens(grants) == 80U);
    BOOST_TEST(outstandingTokens(grants) == 50U);
}

BOOST_AUTO_TEST_CASE(outstandingProgramsHaveGrantsThatAreNotStored)
{
    TurnJournal journal;
    append(journal, grantEntry(AccountChange::Kind::Grant, 1, 100));
    BOOST_TEST(journal.outstandingPrograms().size() == 1U);
    append(journal, grantEntry(AccountChange::Kind::GrantEnd, 2, 30, 1));
    BOOST_TEST(journal.outstandingPrograms().size() == 1U);
    append(journal, grantEntry(AccountChange::Kind::GrantStored, 3, 0, 1));
    BOOST_TEST(journal.outstandingPrograms().empty());
}

BOOST_AUTO_TEST_CASE(openGrantsHaveNoEnd)
{
    TurnJournal journal;
    append(journal, grantEntry(AccountChange::Kind::Grant, 1, 100));
    append(journal, grantEntry(AccountChange::Kind::Grant, 4, 50));
    append(journal, grantEntry(AccountChange::Kind::GrantEnd, 2, 30, 1));
    auto open = journal.openGrants();
    BOOST_REQUIRE(open.size() == 1U);
    BOOST_TEST(open.front().step() == 4U);
}

BOOST_AUTO_TEST_CASE(damagedRecordsThrowDamagedRecordError)
{
    BOOST_CHECK_THROW(decodeOperation("x"), DamagedRecordError);
    BOOST_CHECK_THROW(decodeEntry(""), DamagedRecordError);
    BOOST_CHECK_THROW(decodeTurn("{}"), DamagedRecordError);
    BOOST_CHECK_THROW(decodeAccount("\xff"), DamagedRecordError);
}

BOOST_AUTO_TEST_SUITE_END()
