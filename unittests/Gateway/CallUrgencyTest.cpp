#include "CallUrgency.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace basilpoint;

static unsigned urgency(unsigned route, std::optional<unsigned> organisation)
{
    ForwardingRoute it;
    it.priority = route;
    Organisation caller { "o1", {}, organisation };
    return urgencyOf(it, &caller, true);
}

static unsigned urgencyWithout(unsigned route, bool identifiesCallers)
{
    ForwardingRoute it;
    it.priority = route;
    return urgencyOf(it, nullptr, identifiesCallers);
}

BOOST_AUTO_TEST_SUITE(CallUrgencyTest)

// Guards against a change for deployments without organisations.
BOOST_AUTO_TEST_CASE(withoutOrganisationsOnlyTheRouteCounts)
{
    BOOST_TEST(urgencyWithout(0, false) == 4U);
    BOOST_TEST(urgencyWithout(1, false) == 5U);
    BOOST_TEST(urgencyWithout(5, false) == 9U);
    BOOST_TEST(urgencyWithout(6, false) == 9U);
    BOOST_TEST(urgencyWithout(std::numeric_limits<unsigned>::max(), false) == 9U);
}

BOOST_AUTO_TEST_CASE(priorityOfTheOrganisationPrecedesTheRoutes)
{
    for (unsigned organisation = 0; organisation < 3; ++organisation)
        for (unsigned route = 0; route < 3; ++route)
            BOOST_TEST(urgency(route, organisation) == 1 + 3 * organisation + route);
    BOOST_TEST(urgency(7, 0) == 3U);
    BOOST_TEST(urgency(7, 1'000) == 9U);
    BOOST_TEST(urgency(std::numeric_limits<unsigned>::max(), std::numeric_limits<unsigned>::max()) == 9U);
}

BOOST_AUTO_TEST_CASE(routeCountsWhereNoPriorityOfAnOrganisationIsKnown)
{
    BOOST_TEST(urgency(0, {}) == 1U);
    BOOST_TEST(urgency(1, {}) == 5U);
    BOOST_TEST(urgency(2, {}) == 9U);
    BOOST_TEST(urgencyWithout(0, true) == 1U);
    BOOST_TEST(urgencyWithout(9, true) == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
