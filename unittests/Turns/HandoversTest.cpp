#include "basilpoint/Turns/Handovers.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(HandoversTest)

BOOST_AUTO_TEST_CASE(handoverCoversUntilASuccessorBegins)
{
    TimePoint now { std::chrono::hours(1) };
    Handovers handovers;
    BOOST_TEST(!handovers.covers("a", now));
    handovers.noted("a", now);
    BOOST_TEST(handovers.covers("a", now + std::chrono::seconds(5)));
    BOOST_TEST(!handovers.covers("b", now));
    handovers.succeeded("a");
    BOOST_TEST(!handovers.covers("a", now + std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(oldHandoverCoversNothing)
{
    TimePoint now { std::chrono::hours(1) };
    Handovers handovers;
    handovers.noted("a", now);
    BOOST_TEST(!handovers.covers("a", now + std::chrono::seconds(30)));
}

BOOST_AUTO_TEST_SUITE_END()
