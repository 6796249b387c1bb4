#include "AccountPeers.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(AccountPeersTest)

// Programs that retry in a loop after their budget is spent cause a request every second, which must not reach daemons
// without a part of the budget.
BOOST_AUTO_TEST_CASE(onlyInstancesOfHoldersAreAsked)
{
    std::vector<RelayAddress> peers;
    for (const char* instance : { "gateway-1", "gateway-10", "gateway-2" })
        peers.push_back({ instance, DataCentreId("a"), {}, false });
    std::map<DaemonLifetime, TokenCount> holders { { lifetimeOf("gateway-10", "0a"), 5 }, { lifetimeOf("gateway-2", "ff"), 5 }, { lifetimeOf("gone", "1"), 5 } };
    auto asked = peersOf(holders, peers);
    BOOST_REQUIRE(asked.size() == 2U);
    BOOST_TEST(asked[0].instance == "gateway-10");
    BOOST_TEST(asked[1].instance == "gateway-2");
    BOOST_TEST(peersOf({}, peers).empty());
}

BOOST_AUTO_TEST_SUITE_END()
