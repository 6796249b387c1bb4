#include "DaemonEntry.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

struct Fixture {
    RelayAddress self { "gateway-1", DataCentreId("a"), parseEndpoint("address", "10.0.0.1:7000"), false };
    KeyValue item(const std::string& value) { return { DaemonEntry::keyOf("gateway-1"), value, 3 }; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DaemonEntryTest, Fixture)

BOOST_AUTO_TEST_CASE(entriesSurviveARoundTrip)
{
    DaemonEntry entry { self, true, true };
    BOOST_TEST((decodeDaemonEntry(item(encodeEntry(entry))) == entry));
    entry = { self, false, false };
    BOOST_TEST((decodeDaemonEntry(item(encodeEntry(entry))) == entry));
    entry.mayAttest = false;
    BOOST_TEST((decodeDaemonEntry(item(encodeEntry(entry))) == entry));
}

BOOST_AUTO_TEST_CASE(malformedEntriesAreRejected)
{
    for (const char* value : { "", "no json", "[]", "{}", R"({"address":7,"dataCentre":"a","keeper":false})", R"({"address":"nowhere","dataCentre":"a","keeper":false})" })
        BOOST_TEST(!decodeDaemonEntry(item(value)).has_value());
    BOOST_TEST(!decodeDaemonEntry({ "other/key", encodeEntry({ self }), 3 }).has_value());
}

// A daemon committed directly, terminated, and terminated again soon after its restart. Meanwhile its time of day may have
// jumped by any amount.
BOOST_AUTO_TEST_CASE(markOfADirectCommitIsCarriedOverToLaterLifetimes)
{
    DaemonEntry marked { self, false, true };
    DaemonEntry second = successorOf(marked, true, self);
    BOOST_TEST(second.hasDirectCommit);
    BOOST_TEST(successorOf(second, true, self).hasDirectCommit);
    BOOST_TEST(!successorOf(DaemonEntry { self }, true, self).hasDirectCommit);
    // Entries of earlier releases have the time of day of the commit, which says nothing after a jump.
    auto older = decodeDaemonEntry(item(R"({"address":"10.0.0.1:7000","dataCentre":"a","keeper":false,"left":false,"bypassedAt":1})"));
    BOOST_REQUIRE(older.has_value());
    BOOST_TEST(older->hasDirectCommit);
}

BOOST_AUTO_TEST_CASE(malformedEntryCountsAsADirectCommit)
{
    BOOST_TEST(!successorOf(std::nullopt, true, self).hasDirectCommit);
    BOOST_TEST(successorOf(std::nullopt, false, self).hasDirectCommit);
}

BOOST_AUTO_TEST_CASE(onlyAReadableEntryShowsThatNoAccountWasAttested)
{
    DaemonEntry entry { self };
    entry.mayAttest = false;
    BOOST_TEST(!successorOf(entry, true, self).mayAttest);
    BOOST_TEST(successorOf(std::nullopt, false, self).mayAttest);
    BOOST_TEST(successorOf(std::nullopt, true, self).mayAttest);
    // Entries of earlier releases do not have the field.
    auto older = decodeDaemonEntry(item(R"({"address":"10.0.0.1:7000","dataCentre":"a","keeper":false})"));
    BOOST_REQUIRE(older.has_value());
    BOOST_TEST(older->mayAttest);
}

BOOST_AUTO_TEST_SUITE_END()
