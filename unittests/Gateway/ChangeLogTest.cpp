#include "basilpoint/Gateway/ChangeLog.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

static KeyValue item(const std::string& key, std::int64_t revision)
{
    return { key, "value", revision };
}

BOOST_AUTO_TEST_SUITE(ChangeLogTest)

BOOST_AUTO_TEST_CASE(returnsAllChangesAfterARevision)
{
    ChangeLog log(10);
    log.append({ item("a", 11), item("b", 12) }, 12);
    log.append({}, 20);
    log.append({ { "a", {}, 0 } }, 25);
    BOOST_TEST(log.upTo() == 25);
    BOOST_TEST(log.since(10).size() == 3U);
    BOOST_TEST(log.since(12).size() == 1U);
    BOOST_TEST(log.since(24).size() == 1U);
    BOOST_TEST(log.since(25).empty());
    BOOST_TEST(log.since(30).empty());
    BOOST_TEST(log.covers(10));
    BOOST_TEST(!log.covers(9));
}

// The newest state of a key comes last, also where the changes begin before the revision.
BOOST_AUTO_TEST_CASE(changesKeepTheirOrder)
{
    ChangeLog log(10);
    log.append({ item("a", 11), item("a", 13) }, 13);
    auto changes = log.since(12);
    BOOST_REQUIRE(!changes.empty());
    BOOST_TEST(changes.back().modRevision == 13);
}

BOOST_AUTO_TEST_CASE(oldChangesAreForgotten)
{
    ChangeLog log(0);
    for (std::int64_t n = 1; n <= 5'000; ++n)
        log.append({ item("a", n) }, n);
    BOOST_TEST(!log.covers(0));
    BOOST_TEST(log.covers(4'500));
    BOOST_TEST(log.since(4'500).size() == 500U);
    // An answer that is larger by itself is kept.
    log.append(std::vector<KeyValue>(ChangeLog::maxItems + 1, item("b", 5'001)), 5'001);
    BOOST_TEST(log.since(5'000).size() == ChangeLog::maxItems + 1);
}

BOOST_AUTO_TEST_SUITE_END()
