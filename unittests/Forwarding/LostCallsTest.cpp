#include "basilpoint/Forwarding/LostCalls.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LostCallsTest)

BOOST_AUTO_TEST_CASE(callsOfOneLifetimeAreTakenOnceAndOldOnesDropped)
{
    LostCalls lost;
    TimePoint now(1h);
    lost.add("i/1", { 1, 1 }, now);
    lost.add("i/1", { 1, 1 }, now);
    lost.add("i/2", { 2, 2 }, now);
    BOOST_TEST(lost.take("i/1", now).size() == 1U);
    BOOST_TEST(lost.take("i/1", now).empty());
    BOOST_TEST(lost.take("i/2", now + LostCalls::retention + 1s).empty());
}

BOOST_AUTO_TEST_CASE(anyNumberOfLostCallsTakesABoundedNumberOfEntries)
{
    LostCalls lost;
    for (std::uint64_t n = 0; n < 3 * LostCalls::maxCalls; ++n)
        lost.add("i/1", { n, n }, TimePoint(1h));
    BOOST_TEST(lost.size() == LostCalls::maxCalls);
}

BOOST_AUTO_TEST_SUITE_END()
