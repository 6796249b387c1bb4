#include "basilpoint/Gateway/CommitTracker.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

constexpr std::size_t maxBytes = 100'000;

struct Fixture {
    /// A transaction that sets the spent tokens of the program's account.
    KeyTransaction change(std::int64_t revision, TokenCount spent, const std::string& program = "p")
    {
        ProgramAccount account;
        account.budget = 1'000;
        account.spent = spent;
        std::string key = TurnLedger::accountKey(ProgramId(program));
        return { { { key, revision } }, { { key, encodeAccount(account) }, { TurnLedger::turnKey(ProgramId(program), CallId("t" + std::to_string(spent))), "turn" } }, {} };
    }

    AccountAttestation attest(const std::vector<KeyTransaction>& open = {}) { return commits.attest(ProgramId("p"), open, now); }

    static TokenCount spentIn(const AccountAttestation& attestation) { return decodeAccount(attestation.records.at(0).value).spent; }

    TimePoint now { std::chrono::hours(1) };
    CommitTracker commits { maxBytes, true, now };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CommitTrackerTest, Fixture)

// During an outage, the keepers attest the last changes of a daemon that terminated before it.
BOOST_AUTO_TEST_CASE(attestsTheLastStoredAccount)
{
    BOOST_TEST(attest().records.empty());
    commits.stored(change(0, 10), 5, now);
    commits.stored(change(5, 30), 8, now);
    AccountAttestation attestation = attest();
    BOOST_TEST(attestation.isComplete);
    BOOST_TEST(spentIn(attestation) == 30U);
    BOOST_TEST(attestation.unconfirmedTokens == 0U);
    BOOST_TEST(commits.recall(TurnLedger::programPrefix(ProgramId("p")), 5).size() == 2U);
}

BOOST_AUTO_TEST_CASE(countsTokensOfUnknownAndPendingChanges)
{
    commits.stored(change(0, 10), 5, now);
    commits.markUnknown(change(5, 40), now);
    BOOST_TEST(attest().unconfirmedTokens == 30U);
    // The changes are based on the same revision, so at most one of them takes effect.
    BOOST_TEST(attest({ change(5, 60) }).unconfirmedTokens == 50U);
    BOOST_TEST(attest({ change(0, 900) }).unconfirmedTokens == 30U);
    commits.refused(change(5, 70), { { TurnLedger::accountKey(ProgramId("p")), change(0, 45).puts.front().value, 9 } }, now);
    BOOST_TEST(attest().unconfirmedTokens == 0U);
    BOOST_TEST(spentIn(attest()) == 45U);
}

BOOST_AUTO_TEST_CASE(countsUnknownChangesOfAnUnknownAccount)
{
    commits.markUnknown(change(0, 40), now);
    BOOST_TEST(attest().records.empty());
    BOOST_TEST(attest().unconfirmedTokens == 40U);
}

BOOST_AUTO_TEST_CASE(attestationIsCompleteOnlyIfNoCommitCanBeMissing)
{
    CommitTracker restarted(maxBytes, false, now);
    BOOST_TEST(!restarted.attest(ProgramId("p"), {}, now).isComplete);
    BOOST_TEST(restarted.attest(ProgramId("p"), {}, now + CommitTracker::longestRetention).isComplete);
    restarted.setNoPredecessor();
    BOOST_TEST(restarted.attest(ProgramId("p"), {}, now).isComplete);

    commits.keeperRemoved(now);
    BOOST_TEST(!attest().isComplete);
    now += CommitTracker::longestRetention;
    BOOST_TEST(attest().isComplete);
}

BOOST_AUTO_TEST_CASE(attestationIsIncompleteAfterAnEviction)
{
    CommitTracker small(1'000, true, now);
    for (int n = 0; n < 20; ++n)
        small.stored(change(0, 10, "p" + std::to_string(n)), 5, now);
    BOOST_TEST(!small.attest(ProgramId("p0"), {}, now).isComplete);
}

BOOST_AUTO_TEST_CASE(dropsAccountsThatNoLongerExist)
{
    commits.stored(change(0, 10), 5, now);
    commits.refused(change(5, 20), {}, now);
    BOOST_TEST(attest().records.empty());
    BOOST_TEST(!commits.latest(TurnLedger::accountKey(ProgramId("p"))).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
