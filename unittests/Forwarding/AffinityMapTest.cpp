#include "basilpoint/Forwarding/AffinityMap.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(AffinityMapTest)

// Guards against keys that stay with a target which no longer has their object, and against unbounded memory.
BOOST_AUTO_TEST_CASE(remembersTheLastTargetOfAKeyForAWhile)
{
    TimePoint now { std::chrono::hours(1) };
    AffinityMap map(2);
    map.handled("a", TargetId("first"), now);
    map.handled("a", TargetId("second"), now);
    BOOST_TEST(map.holder("a", now).text() == "second");
    BOOST_TEST(map.holder("a", now + AffinityMap::retention + Milliseconds(1)).text() == "");
    BOOST_TEST(map.holder("b", now).text() == "");
    map.handled("b", TargetId("first"), now);
    map.handled("c", TargetId("first"), now);
    BOOST_TEST(map.size() == 2U);
    BOOST_TEST(map.holder("a", now).text() == "");
    map.forget(TargetId("first"));
    BOOST_TEST(map.size() == 0U);
    BOOST_TEST(map.holder("c", now).text() == "");
}

BOOST_AUTO_TEST_SUITE_END()
