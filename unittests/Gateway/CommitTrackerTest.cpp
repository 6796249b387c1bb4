#include "basilpoint/Gateway/CommitTracker.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

constexpr std::size_t maxBytes = 100'000;

struct Fixture {
    /// A change that leaves the program's account with so much spent.
    KeyTransaction change(std::int64_t revision, TokenCount spent, const std::string& program = "p")
    {
        ProgramAccount account;
        account.budget = 1'000;
        account.spent = spent;
        std::string key = TurnLedger::accountKey(ProgramId(program));
        return { { { key, revision } }, { { key, encodeAccount(account) }, { TurnLedger::turnKey(ProgramId(program), CallId("t" + std::to_string(spent))), "turn" } }, {} };
    }

    AccountWord testify(const std::vector<KeyTransaction>& open = {}) { return witness.testify(ProgramId("p"), open, now); }

    static TokenCount spentIn(const AccountWord& word) { return decodeAccount(word.records.at(0).value).spent; }

    TimePoint now { std::chrono::hours(1) };
    CommitWitness witness { maxBytes, true, now };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CommitWitnessTest, Fixture)

// Load: an outage after a daemon died; the keepers tell what its last changes were.
BOOST_AUTO_TEST_CASE(tellsTheLastAccountThatWasStored)
{
    BOOST_TEST(testify().records.empty());
    witness.stored(change(0, 10), 5, now);
    witness.stored(change(5, 30), 8, now);
    AccountWord word = testify();
    BOOST_TEST(word.isComplete);
    BOOST_TEST(spentIn(word) == 30U);
    BOOST_TEST(word.claimed == 0U);
    BOOST_TEST(witness.recall(TurnLedger::programPrefix(ProgramId("p")), 5).size() == 2U);
}

BOOST_AUTO_TEST_CASE(countsWhatLostAndUnsentChangesMayTake)
{
    witness.stored(change(0, 10), 5, now);
    witness.lost(change(5, 40), now);
    BOOST_TEST(testify().claimed == 30U);
    // They were made on the same account, so one of them takes effect at most.
    BOOST_TEST(testify({ change(5, 60) }).claimed == 50U);
    BOOST_TEST(testify({ change(0, 900) }).claimed == 30U);
    witness.refused(change(5, 70), { { TurnLedger::accountKey(ProgramId("p")), change(0, 45).puts.front().value, 9 } }, now);
    BOOST_TEST(testify().claimed == 0U);
    BOOST_TEST(spentIn(testify()) == 45U);
}

BOOST_AUTO_TEST_CASE(countsLostChangesOfAnAccountThatWasNeverSeen)
{
    witness.lost(change(0, 40), now);
    BOOST_TEST(testify().records.empty());
    BOOST_TEST(testify().claimed == 40U);
}

BOOST_AUTO_TEST_CASE(vouchesOnlyIfNothingCanBeMissing)
{
    CommitWitness restarted(maxBytes, false, now);
    BOOST_TEST(!restarted.testify(ProgramId("p"), {}, now).isComplete);
    BOOST_TEST(restarted.testify(ProgramId("p"), {}, now + CommitWitness::longestRetention).isComplete);
    restarted.hasNoPredecessor();
    BOOST_TEST(restarted.testify(ProgramId("p"), {}, now).isComplete);

    witness.keeperLeft(now);
    BOOST_TEST(!testify().isComplete);
    now += CommitWitness::longestRetention;
    BOOST_TEST(testify().isComplete);
}

BOOST_AUTO_TEST_CASE(vouchesForNothingAfterItForgotPrograms)
{
    CommitWitness small(1'000, true, now);
    for (int n = 0; n < 20; ++n)
        small.stored(change(0, 10, "p" + std::to_string(n)), 5, now);
    BOOST_TEST(!small.testify(ProgramId("p0"), {}, now).isComplete);
}

BOOST_AUTO_TEST_CASE(forgetsAccountsThatTurnOutToBeGone)
{
    witness.stored(change(0, 10), 5, now);
    witness.refused(change(5, 20), {}, now);
    BOOST_TEST(testify().records.empty());
    BOOST_TEST(!witness.latest(TurnLedger::accountKey(ProgramId("p"))).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
