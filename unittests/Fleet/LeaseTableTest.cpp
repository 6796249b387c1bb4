#include "basilpoint/Fleet/LeaseTable.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(LeaseTableTest)

BOOST_AUTO_TEST_CASE(leaseIsExclusiveUntilReleaseOrExpiry)
{
    static constexpr Milliseconds leaseTime { 1'000 };
    LeaseTable leases(leaseTime);
    ManualClock clock;
    BOOST_TEST(leases.acquire("pool", "a", clock.now()));
    BOOST_TEST(!leases.acquire("pool", "b", clock.now()));
    BOOST_TEST(leases.acquire("other", "b", clock.now()));
    leases.release("pool", "b");
    BOOST_TEST(!leases.acquire("pool", "b", clock.now()));
    leases.release("pool", "a");
    BOOST_TEST(leases.acquire("pool", "b", clock.now()));
    clock.advance(leaseTime);
    BOOST_TEST(leases.acquire("pool", "c", clock.now()));
    leases.release("pool", "b");
    BOOST_TEST(!leases.acquire("pool", "a", clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()
