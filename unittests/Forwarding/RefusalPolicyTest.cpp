#include "basilpoint/Forwarding/RefusalPolicy.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start(1h);
const WaitClass firstTurns { "a", 0, 0, false };
const WaitClass laterTurns { "a", 0, 0, true };

RoomArrival arrival(const WaitClass& waitClass, Milliseconds timeLeft, std::optional<Milliseconds> programTimeLeft = {})
{
    return { waitClass, "chat", timeLeft, programTimeLeft };
}

} // namespace

BOOST_AUTO_TEST_SUITE(RefusalPolicyTest)

BOOST_AUTO_TEST_CASE(callThatCouldNotEndInTimeIsRefused)
{
    RefusalPolicy policy(1);
    policy.ran("chat", 200ms);
    BOOST_TEST(!policy.arrived(arrival(firstTurns, 300ms), start).refusal.has_value());
    policy.placed(firstTurns, 400ms, start);
    BOOST_TEST((policy.arrived(arrival(firstTurns, 600ms), start).refusal == RoomRefusal::TooLate));
    BOOST_TEST(!policy.arrived(arrival(firstTurns, 601ms), start).refusal.has_value());
    // The program's time limits its first turn, but not the later ones, in which the work of the first is invested.
    BOOST_TEST((policy.arrived(arrival(firstTurns, 3s, 600ms), start).refusal == RoomRefusal::TooLate));
    BOOST_TEST(!policy.arrived(arrival(laterTurns, 3s, 0ms), start).refusal.has_value());
}

BOOST_AUTO_TEST_CASE(firstTurnIsRefusedIfItsProgramCannotSpareTheWait)
{
    RefusalPolicy policy(1);
    policy.ran("chat", 200ms);
    policy.placed(firstTurns, 400ms, start);
    BOOST_TEST((policy.arrived(arrival(firstTurns, 3s, 7'191ms), start).refusal == RoomRefusal::NoTimeToSpare));
    BOOST_TEST(!policy.arrived(arrival(firstTurns, 3s, 7'200ms), start).refusal.has_value());
}

// Guards against an organisation that pays for the waits which another one causes.
BOOST_AUTO_TEST_CASE(organisationWithinItsShareIsJudgedByItsOwnWaits)
{
    RefusalPolicy policy(1);
    policy.ran("chat", 200ms);
    for (int n = 0; n < 60; ++n)
        policy.arrived(arrival(laterTurns, 3s), start);
    for (int n = 0; n < 20; ++n)
        policy.placed(laterTurns, 700ms, start);
    BOOST_TEST((policy.arrived(arrival(firstTurns, 3s, 3s), start).refusal == RoomRefusal::NoTimeToSpare));
    RoomDecision other = policy.arrived(arrival({ "b", 0, 0, false }, 3s, 3s), start);
    BOOST_TEST(!other.refusal.has_value());
    BOOST_TEST((other.maxWait == 600ms));
}

// Guards against refusals that go on after their cause has ended.
BOOST_AUTO_TEST_CASE(waitsAreForgottenWithinTwoSeconds)
{
    RefusalPolicy policy(1);
    policy.placed(firstTurns, 800ms, start);
    BOOST_TEST((policy.arrived(arrival(firstTurns, 5s), start + 1s).expectedWait == 800ms));
    BOOST_TEST((policy.arrived(arrival(firstTurns, 5s), start + 1'500ms).expectedWait == 400ms));
    BOOST_TEST((policy.arrived(arrival(firstTurns, 5s), start + 2s).expectedWait == 0ms));
}

// Guards against a gateway that never learns that the waits have ended.
BOOST_AUTO_TEST_CASE(oneFirstTurnInTenTriesWhileOthersAreRefused)
{
    RefusalPolicy policy(1);
    policy.placed(firstTurns, 4s, start);
    policy.placed(laterTurns, 4s, start);
    int tried = 0;
    for (int n = 0; n < 100; ++n) {
        tried += policy.arrived(arrival(firstTurns, 3s), start).isTrial ? 1 : 0;
        BOOST_TEST(policy.arrived(arrival(laterTurns, 3s), start).refusal.has_value());
    }
    BOOST_TEST(tried == 10);
}

BOOST_AUTO_TEST_CASE(retriesAreSpreadAroundTheExpectedWait)
{
    RefusalPolicy policy(1);
    Milliseconds least = 10s;
    Milliseconds most = 0s;
    for (int n = 0; n < 1'000; ++n) {
        Milliseconds delay = policy.retryAfter(400ms);
        least = std::min(least, delay);
        most = std::max(most, delay);
        BOOST_TEST((policy.retryAfter(0ms) == 50ms));
    }
    BOOST_TEST((least >= 200ms && least < 230ms));
    BOOST_TEST((most <= 600ms && most > 570ms));
}

BOOST_AUTO_TEST_SUITE_END()
