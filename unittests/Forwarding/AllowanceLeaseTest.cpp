#include "basilpoint/Forwarding/AllowanceLease.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start(1h);
const std::vector<std::string> candidates { "a", "b" };

/// Gateway "c" of three, which share an allowance of 90 a second.
struct Gateway {
    Gateway()
        : rights("c")
        , lease(0, "c", "c/1", start)
    {
        organisation.name = "acme";
        organisation.requestsPerSecond = 90;
        organisation.burst = 90;
        rights.setGateways({ "a", "b", "c" }, start);
    }

    AllowanceLease::Message begin(TimePoint now)
    {
        return *lease.begin(
            candidates, [](const std::string&) { return true; }, now);
    }
    /// Sends a message that "a" answers, so that the next one delegates.
    void meet(TimePoint now)
    {
        begin(now);
        lease.answered({ "a/1", 7, false, {} }, now);
    }
    AllowanceLease::Result take(TimePoint now)
    {
        lease.arrived("acme", now);
        return lease.take(organisation, rights, now);
    }

    Organisation organisation;
    AllowanceRights rights;
    AllowanceLease lease;
};

using Outcome = AllowanceLease::Outcome;

} // namespace

BOOST_AUTO_TEST_SUITE(AllowanceLeaseTest)

// Guards against own rights used while the coordinator may still use them.
BOOST_AUTO_TEST_CASE(ownRightsAreUsedFromZeroOnlyAfterTheDelegation)
{
    Gateway gateway;
    gateway.meet(start);
    AllowanceLease::Message message = gateway.begin(start + 100ms);
    BOOST_TEST(message.request.echo == 7);
    BOOST_TEST(message.request.coordinator == "a/1");
    gateway.lease.failed(start + 250ms);
    BOOST_TEST((gateway.take(start + 4990ms).outcome == Outcome::MustAsk));
    BOOST_TEST((gateway.take(start + 5s).outcome == Outcome::Refused));
    BOOST_TEST((gateway.take(start + 5s + 34ms).outcome == Outcome::Admitted));
    BOOST_TEST((gateway.take(start + 5s + 34ms).outcome == Outcome::Refused));
}

// Guards against own tokens that are kept while the coordinator leases tokens of the same rights.
BOOST_AUTO_TEST_CASE(ownTokensEndWhenRightsAreDelegatedAgain)
{
    Gateway gateway;
    gateway.begin(start);
    gateway.lease.failed(start + 150ms);
    BOOST_TEST((gateway.take(start + 1s).outcome == Outcome::Admitted));
    gateway.meet(start + 1s);
    gateway.begin(start + 1001ms);
    gateway.lease.failed(start + 1150ms);
    BOOST_TEST((gateway.take(start + 5990ms).outcome == Outcome::MustAsk));
    BOOST_TEST((gateway.take(start + 6010ms).outcome == Outcome::Refused));
    BOOST_TEST((gateway.take(start + 6034ms).outcome == Outcome::Admitted));
}

// Guards against own rights used beside the coordinator's tokens: without a failure, the rights are not its own.
BOOST_AUTO_TEST_CASE(ownRightsNeedAFailure)
{
    Gateway gateway;
    BOOST_TEST((gateway.take(start + 1s).outcome == Outcome::MustAsk));
}

// Guards against tokens that outlive a pause.
BOOST_AUTO_TEST_CASE(leasedTokensExpireFromTheSendingOfTheMessage)
{
    Gateway gateway;
    gateway.begin(start);
    gateway.lease.answered({ "a/1", 7, false, { { "acme", 2, {} } } }, start + 100ms);
    BOOST_TEST((gateway.take(start + 499ms).outcome == Outcome::Admitted));
    BOOST_TEST((gateway.take(start + 500ms).outcome == Outcome::MustAsk));
    gateway.begin(start + 600ms);
    gateway.lease.answered({ "a/1", 8, false, { { "acme", 2, {} } } }, start + 1100ms);
    BOOST_TEST((gateway.take(start + 1100ms).outcome == Outcome::MustAsk));
}

// Guards against a credit that returns later than its token is valid, which would add to a later window.
BOOST_AUTO_TEST_CASE(creditReturnsWhileItsTokenIsValid)
{
    Gateway gateway;
    gateway.begin(start);
    gateway.lease.answered({ "a/1", 7, false, { { "acme", 1, {} } } }, start);
    AllowanceLease::Result result = gateway.take(start);
    gateway.lease.giveBack("acme", result.validUntil, start + 100ms);
    result = gateway.take(start + 200ms);
    BOOST_TEST((result.outcome == Outcome::Admitted));
    gateway.lease.giveBack("acme", result.validUntil, start + 500ms);
    BOOST_TEST((gateway.take(start + 500ms).outcome == Outcome::MustAsk));
}

// Guards against messages for requests of an organisation that is known to be over its allowance, and against an untrue time.
BOOST_AUTO_TEST_CASE(refusalIsRememberedUntilTheStatedTime)
{
    Gateway gateway;
    gateway.begin(start);
    gateway.lease.answered({ "a/1", 7, false, { { "acme", 0, 80ms } } }, start);
    AllowanceLease::Result result = gateway.take(start + 10ms);
    BOOST_TEST((result.outcome == Outcome::Refused));
    BOOST_TEST((result.retryAt == start + 80ms));
    BOOST_TEST((gateway.take(start + 80ms).outcome == Outcome::MustAsk));
}

// Guards against rights that stay with a coordinator which has ended or shuts down.
BOOST_AUTO_TEST_CASE(newLifetimeOrLeavingCoordinatorEndsTheDelegation)
{
    for (bool isLeaving : { false, true }) {
        Gateway gateway;
        gateway.meet(start);
        gateway.begin(start + 100ms);
        BOOST_TEST(gateway.lease.isDelegated(start + 100ms));
        gateway.lease.answered({ isLeaving ? "a/1" : "a/2", 8, isLeaving, {} }, start + 101ms);
        BOOST_TEST(!gateway.lease.isDelegated(start + 101ms));
        BOOST_TEST(gateway.begin(start + 102ms).coordinator == (isLeaving ? "b" : "a"));
    }
}

// Guards against rights that two coordinators count, when the preferred one is back.
BOOST_AUTO_TEST_CASE(preferredCoordinatorGetsTheRightsAfterTheOtherConfirmsTheWithdrawal)
{
    Gateway gateway;
    gateway.begin(start);
    gateway.lease.failed(start + 150ms);
    gateway.begin(start + 160ms);
    gateway.lease.answered({ "b/1", 7, false, {} }, start + 160ms);
    AllowanceLease::Message delegating = gateway.begin(start + 170ms);
    BOOST_TEST(delegating.coordinator == "b");
    BOOST_TEST(delegating.request.echo == 7);
    gateway.lease.answered({ "b/1", 8, false, {} }, start + 170ms);
    AllowanceLease::Message probe = gateway.begin(start + 700ms);
    BOOST_TEST(probe.coordinator == "a");
    BOOST_TEST(probe.request.echo == 0);
    gateway.lease.answered({ "a/1", 9, false, {} }, start + 700ms);
    AllowanceLease::Message withdrawal = gateway.begin(start + 710ms);
    BOOST_TEST(withdrawal.coordinator == "b");
    BOOST_TEST(withdrawal.request.isWithdrawal);
    BOOST_TEST(gateway.lease.isDelegated(start + 710ms));
    gateway.lease.answered({ "b/1", 10, false, {} }, start + 711ms);
    BOOST_TEST(!gateway.lease.isDelegated(start + 711ms));
    AllowanceLease::Message moved = gateway.begin(start + 720ms);
    BOOST_TEST(moved.coordinator == "a");
    BOOST_TEST(moved.request.echo == 9);
}

// Guards against a restarted gateway that delegates while its last lifetime's delegation to another coordinator lasts.
BOOST_AUTO_TEST_CASE(restartedGatewayDelegatesLater)
{
    AllowanceLease lease(0, "c", "c/2", start + AllowanceLease::restartDelay);
    auto isUsable = [](const std::string&) { return true; };
    lease.begin(candidates, isUsable, start + 4s);
    lease.answered({ "a/1", 7, false, {} }, start + 4s);
    BOOST_TEST(lease.begin(candidates, isUsable, start + 4900ms)->request.echo == 0);
    lease.answered({ "a/1", 8, false, {} }, start + 4900ms);
    BOOST_TEST(lease.begin(candidates, isUsable, start + 5s)->request.echo == 8);
}

BOOST_AUTO_TEST_SUITE_END()
