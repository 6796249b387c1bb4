#include "DaemonEntry.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

struct Fixture {
    WallTimePoint now { std::chrono::hours(1'000) };
    RelayAddress self { "gateway-1", DataCentreId("a"), parseEndpoint("address", "10.0.0.1:7000"), false };
    KeyValue item(const std::string& value) { return { DaemonEntry::keyOf("gateway-1"), value, 3 }; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DaemonEntryTest, Fixture)

BOOST_AUTO_TEST_CASE(entriesSurviveARoundTrip)
{
    DaemonEntry entry { self, true, now };
    BOOST_TEST((decodeDaemonEntry(item(encodeEntry(entry))) == entry));
    entry = { self, false, std::nullopt };
    BOOST_TEST((decodeDaemonEntry(item(encodeEntry(entry))) == entry));
}

BOOST_AUTO_TEST_CASE(malformedEntriesAreRejected)
{
    for (const char* value : { "", "no json", "[]", "{}", R"({"address":7,"dataCentre":"a","keeper":false})", R"({"address":"nowhere","dataCentre":"a","keeper":false})" })
        BOOST_TEST(!decodeDaemonEntry(item(value)).has_value());
    BOOST_TEST(!decodeDaemonEntry({ "other/key", encodeEntry({ self }), 3 }).has_value());
}

// A daemon committed directly, terminated, and terminated again soon after its restart.
BOOST_AUTO_TEST_CASE(timestampOfADirectCommitIsCarriedOverToLaterLifetimes)
{
    DaemonEntry marked { self, false, now };
    now += std::chrono::seconds(20);
    DaemonEntry second = successorOf(marked, true, self, now);
    BOOST_TEST(hasDirectCommit(second, now));
    now += std::chrono::seconds(20);
    BOOST_TEST(hasDirectCommit(successorOf(second, true, self, now), now));
    now += std::chrono::minutes(5);
    BOOST_TEST(!hasDirectCommit(second, now));
    BOOST_TEST(!successorOf(second, true, self, now).directCommitAt.has_value());
}

BOOST_AUTO_TEST_CASE(malformedEntryCountsAsADirectCommit)
{
    BOOST_TEST(!hasDirectCommit(successorOf(std::nullopt, true, self, now), now));
    BOOST_TEST(hasDirectCommit(successorOf(std::nullopt, false, self, now), now));
}

BOOST_AUTO_TEST_SUITE_END()
