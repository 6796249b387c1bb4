#include "basilpoint/Gateway/RecordCache.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(RecordCacheTest)

BOOST_AUTO_TEST_CASE(returnsTheNewestOfEachRecordOfAGroup)
{
    RecordCache cache(100'000);
    cache.put("p", { "p/account", "old", 3 });
    cache.put("p", { "p/turn/1", "one", 3 });
    cache.put("p", { "p/account", "new", 5 });
    // An older record that arrives late.
    cache.put("p", { "p/account", "late", 4 });
    cache.put("q", { "q/account", "other", 6 });
    auto records = cache.find("p");
    BOOST_REQUIRE(records.size() == 2U);
    BOOST_TEST(records[0].value == "new");
    BOOST_TEST(records[0].modRevision == 5);
    BOOST_TEST(records[1].value == "one");
    BOOST_TEST(cache.find("unknown").empty());
}

BOOST_AUTO_TEST_CASE(findsOneRecordAndForgetsAGroup)
{
    RecordCache cache(100'000);
    cache.put("p", { "p/account", "value", 3 });
    BOOST_TEST(cache.find("p", "p/account")->modRevision == 3);
    BOOST_TEST(!cache.find("p", "p/turn/1").has_value());
    BOOST_TEST(!cache.find("q", "p/account").has_value());
    cache.forget("p");
    cache.forget("q");
    BOOST_TEST(!cache.find("p", "p/account").has_value());
    BOOST_TEST(cache.bytes() == 0U);
}

// With more programs than fit, the most recently used ones stay, and none is evicted in part.
BOOST_AUTO_TEST_CASE(evictsWholeGroupsLeastRecentlyUsedFirst)
{
    constexpr std::size_t maxBytes = 10'000;
    RecordCache cache(maxBytes);
    std::string value(1'000, 'x');
    cache.put("kept", { "kept/1", value, 1 });
    cache.put("kept", { "kept/2", value, 1 });
    for (int n = 0; n < 50; ++n) {
        std::string name = "p" + std::to_string(n);
        cache.put(name, { name + "/1", value, 2 });
        cache.put(name, { name + "/2", value, 2 });
        BOOST_TEST(cache.find("kept").size() == 2U);
        BOOST_TEST(cache.bytes() <= maxBytes);
    }
    BOOST_TEST(cache.find("p0").empty());
    BOOST_TEST(cache.find("p49").size() == 2U);
    BOOST_TEST(cache.groups() < 6U);
}

BOOST_AUTO_TEST_CASE(keepsASingleGroupThatExceedsTheLimit)
{
    RecordCache cache(100);
    cache.put("p", { "p/1", std::string(500, 'x'), 1 });
    BOOST_TEST(cache.find("p").size() == 1U);
    cache.put("q", { "q/1", std::string(500, 'x'), 1 });
    BOOST_TEST(cache.find("p").empty());
    BOOST_TEST(cache.find("q").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
