#include "basilpoint/Forwarding/SubmittedCalls.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(SubmittedCallsTest)

BOOST_AUTO_TEST_CASE(callThatMayHaveRunIsNotHandedOnAgain)
{
    SubmittedCalls calls;
    TimePoint now { std::chrono::hours(1) };
    std::string payout = "payout-1";
    BOOST_TEST(calls.begin(payout, now));
    BOOST_TEST(!calls.begin(payout, now));
    calls.end(payout, true);
    BOOST_TEST(!calls.begin(payout, now + std::chrono::minutes(4)));
    BOOST_TEST(calls.begin("payout-2", now));
}

BOOST_AUTO_TEST_CASE(callThatHasNotRunMayBeRepeated)
{
    SubmittedCalls calls;
    TimePoint now { std::chrono::hours(1) };
    std::string payout = "payout-1";
    BOOST_TEST(calls.begin(payout, now));
    calls.end(payout, false);
    BOOST_TEST(calls.begin(payout, now + std::chrono::seconds(1)));
    // The record of the first attempt must not remove the second one.
    BOOST_TEST(!calls.begin(payout, now + SubmittedCalls::retention));
}

BOOST_AUTO_TEST_CASE(rememberedCallsAreBounded)
{
    SubmittedCalls calls;
    TimePoint now { std::chrono::hours(1) };
    for (std::size_t n = 0; n < SubmittedCalls::maxCalls + 1'000; ++n)
        calls.begin(std::to_string(n), now);
    BOOST_TEST(calls.size() <= SubmittedCalls::maxCalls + 1);
    calls.begin("last", now + SubmittedCalls::retention);
    BOOST_TEST(calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
