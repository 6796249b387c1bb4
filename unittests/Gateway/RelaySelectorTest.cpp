#include "RelaySelector.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    void add(unsigned count)
    {
        for (unsigned n = 0; n < count; ++n)
            gateways.push_back({ "g" + std::to_string(n), DataCentreId(std::string(1, static_cast<char>('a' + n % 3))), { "127.0.0.1", static_cast<std::uint16_t>(1000 + n) }, false });
    }

    RelaySelector selectorOf(const RelayAddress& self)
    {
        RelaySelector selector(self.instance, self.dataCentre, 1);
        std::vector<RelayAddress> others;
        std::copy_if(gateways.begin(), gateways.end(), std::back_inserter(others), [&](const RelayAddress& it) { return it.instance != self.instance; });
        selector.setGateways(others);
        return selector;
    }

    TimePoint now { 1h };
    std::vector<RelayAddress> gateways;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelaySelectorTest, Fixture)

// Nine tenths of a large fleet are cut off and send ten calls each at the same time.
BOOST_AUTO_TEST_CASE(callsOfManyGatewaysAreSpreadOverTheFewInReach)
{
    add(259);
    std::map<std::string, unsigned> load;
    std::size_t mostRelays = 0;
    for (const RelayAddress& self : gateways) {
        if (std::stoi(self.instance.substr(1)) % 10 == 0)
            continue;
        RelaySelector selector = selectorOf(self);
        for (const RelayAddress& it : gateways)
            selector.setCutOff(it.instance, std::stoi(it.instance.substr(1)) % 10 != 0);
        std::map<std::string, unsigned> own;
        for (unsigned n = 0; n < 10; ++n) {
            auto relay = selector.choose({}, now);
            BOOST_REQUIRE(relay);
            selector.sent(*relay);
            ++load[relay->instance];
            ++own[relay->instance];
        }
        mostRelays = std::max(mostRelays, own.size());
    }
    BOOST_TEST(load.size() == 26U);
    BOOST_TEST(mostRelays <= RelaySelector::maxChoices);
    for (const auto& [instance, calls] : load) {
        BOOST_TEST(std::stoi(instance.substr(1)) % 10 == 0);
        // A fair share is 90.
        BOOST_TEST(calls <= 180U);
    }
}

// Without any notice, as at the start of a cut: each refusal leads on to another gateway.
BOOST_AUTO_TEST_CASE(gatewayInReachIsFoundAmongManyThatAreCutOff)
{
    add(72);
    RelaySelector selector = selectorOf(gateways[0]);
    unsigned tries = 0;
    for (unsigned calls = 0; calls < 20; ++calls) {
        std::set<TargetId> tried;
        for (unsigned n = 0; n < 4; ++n) {
            auto relay = selector.choose(tried, now);
            BOOST_REQUIRE(relay);
            tried.insert(TargetId(relay->instance));
            ++tries;
            selector.sent(*relay);
            bool isInReach = std::stoi(relay->instance.substr(1)) % 10 == 5;
            selector.ended(*relay, isInReach ? TargetOutcome::Answered : TargetOutcome::Failed, now);
            if (isInReach) {
                BOOST_TEST(tries < 72U);
                return;
            }
        }
        now += 5ms;
    }
    BOOST_ERROR("no gateway found");
}

BOOST_AUTO_TEST_CASE(gatewayOfTheSameDataCentreIsPreferredUntilItIsBusier)
{
    add(7);
    RelaySelector selector = selectorOf(gateways[0]);
    auto first = selector.choose({}, now);
    BOOST_REQUIRE(first);
    BOOST_TEST((first->dataCentre == DataCentreId("a")));
    std::set<std::string> used;
    for (unsigned n = 0; n < 30; ++n) {
        auto relay = selector.choose({}, now);
        selector.sent(*relay);
        used.insert(relay->instance);
    }
    BOOST_TEST(used.size() == 6U);
}

BOOST_AUTO_TEST_CASE(gatewaysThatFailOrAreCutOffAreNotChosenAndLeavingOnesLast)
{
    add(4);
    RelaySelector selector = selectorOf(gateways[0]);
    BOOST_TEST(selector.hasUsable(now));
    selector.setCutOff("g1", true);
    selector.setLeaving("g2", now);
    BOOST_TEST((selector.choose({}, now)->instance == "g3"));
    BOOST_TEST((selector.choose({ TargetId("g3") }, now)->instance == "g2"));
    for (std::size_t n : { 2U, 3U }) {
        selector.sent(gateways[n]);
        selector.ended(gateways[n], TargetOutcome::Failed, now);
    }
    BOOST_TEST(!selector.hasUsable(now));
    BOOST_TEST(!selector.choose({}, now));
    BOOST_TEST((selector.choose({}, now + 2s)->instance == "g3"));
    selector.setCutOff("g1", false);
    BOOST_TEST((selector.choose({}, now)->instance == "g1"));
    BOOST_TEST((selector.choose({ TargetId("g1"), TargetId("g3") }, now + RelaySelector::leavingTime + 1s)->instance == "g2"));
}

BOOST_AUTO_TEST_SUITE_END()
