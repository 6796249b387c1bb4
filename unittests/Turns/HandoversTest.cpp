#include "basilpoint/Turns/Handovers.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(HandoversTest)

BOOST_AUTO_TEST_CASE(handoverIsValidUntilANewLifetimeStarts)
{
    TimePoint now { std::chrono::hours(1) };
    Handovers handovers;
    BOOST_TEST(!handovers.isValid("a", now));
    handovers.record("a", now);
    BOOST_TEST(handovers.isValid("a", now + std::chrono::seconds(5)));
    BOOST_TEST(!handovers.isValid("b", now));
    handovers.lifetimeStarted("a");
    BOOST_TEST(!handovers.isValid("a", now + std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(oldHandoverIsInvalid)
{
    TimePoint now { std::chrono::hours(1) };
    Handovers handovers;
    handovers.record("a", now);
    BOOST_TEST(!handovers.isValid("a", now + std::chrono::seconds(30)));
}

BOOST_AUTO_TEST_SUITE_END()
