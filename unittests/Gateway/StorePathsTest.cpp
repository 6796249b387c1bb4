#include "basilpoint/Gateway/StorePaths.h"
#include "basilpoint/Gateway/StoreHealth.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

struct Fixture {
    Fixture()
    {
        paths.setRelays({ { "gateway-1", DataCentreId("a"), {}, false }, { "keeper-1", DataCentreId("b"), {}, true }, { "keeper-2", DataCentreId("a"), {}, true } });
    }

    std::string first(StorePaths::Purpose purpose) { return paths.orderedPaths(purpose, now).front().relay; }

    TimePoint now { std::chrono::hours(1) };
    StorePaths paths { DataCentreId("a") };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StorePathsTest, Fixture)

BOOST_AUTO_TEST_CASE(fewDaemonsCommitThroughOneKeeperAndReadDirectly)
{
    BOOST_TEST(first(StorePaths::Purpose::Commit) == "keeper-1");
    BOOST_TEST(first(StorePaths::Purpose::Watch) == "keeper-1");
    BOOST_TEST(first(StorePaths::Purpose::Read) == "");
    BOOST_TEST(paths.isKeeper({ "keeper-1" }));
    BOOST_TEST(!paths.isKeeper({ "gateway-1" }));
    BOOST_TEST(!paths.isKeeper({}));
}

// 72 daemons in three data centres are too many for one keeper.
BOOST_AUTO_TEST_CASE(manyDaemonsCommitThroughTheKeepersOfTheirDataCentres)
{
    std::vector<RelayAddress> relays;
    for (const char* dataCentre : { "a", "b", "c" }) {
        relays.push_back({ std::string("keeper-") + dataCentre, DataCentreId(dataCentre), {}, true });
        for (int n = 0; n < 24; ++n)
            relays.push_back({ std::string("gateway-") + dataCentre + std::to_string(n), DataCentreId(dataCentre), {}, false });
    }
    for (const char* dataCentre : { "a", "b", "c" }) {
        StorePaths own { DataCentreId(dataCentre) };
        own.setRelays(relays);
        for (auto purpose : { StorePaths::Purpose::Commit, StorePaths::Purpose::Watch })
            BOOST_TEST(own.orderedPaths(purpose, now).front().relay == std::string("keeper-") + dataCentre);
        BOOST_TEST(own.hasManyDaemons());
        BOOST_TEST(own.recallPaths(now).front().relay == std::string("keeper-") + dataCentre);
        BOOST_TEST(own.recallPaths(now).size() == 3U);
        // A program's changes go to the keeper of its commit data centre, also from daemons elsewhere.
        BOOST_TEST(own.orderedPaths(StorePaths::Purpose::Commit, now, DataCentreId("b")).front().relay == "keeper-b");
        BOOST_TEST(own.recallPaths(now, DataCentreId("b")).front().relay == "keeper-b");
        own.failed({ std::string("keeper-") + dataCentre }, now);
        BOOST_TEST(own.orderedPaths(StorePaths::Purpose::Commit, now).front().relay.starts_with("keeper-"));
    }
}

// With several keepers in each data centre, three that did not answer cut a daemon off from a store that it reached.
BOOST_AUTO_TEST_CASE(directPathRemainsWhileManyKeepersAreListed)
{
    std::vector<RelayAddress> relays;
    relays.reserve(12);
    for (int n = 1; n <= 12; ++n)
        relays.push_back({ "keeper-" + std::to_string(n), DataCentreId(n % 2 == 0 ? "a" : "b"), {}, true });
    paths.setRelays(relays);
    for (auto purpose : { StorePaths::Purpose::Commit, StorePaths::Purpose::Watch, StorePaths::Purpose::Read }) {
        auto ordered = paths.orderedPaths(purpose, now);
        BOOST_TEST(ordered.size() == StorePaths::maxTries);
        BOOST_TEST(std::count(ordered.begin(), ordered.end(), StorePath {}) == 1);
    }
}

// A turn that no keeper has cached must not wait for each of them, but the data centre whose keeper has it may not be known.
BOOST_AUTO_TEST_CASE(oneKeeperOfEachDataCentreIsAskedForCachedRecords)
{
    std::vector<RelayAddress> relays;
    relays.reserve(12 + StorePaths::daemonsPerKeeper + 1);
    for (int n = 0; n < 12; ++n)
        relays.push_back({ "keeper-" + std::to_string(n), DataCentreId(std::string(1, static_cast<char>('a' + n % 3))), {}, true });
    for (std::size_t n = 0; n <= StorePaths::daemonsPerKeeper; ++n)
        relays.push_back({ "gateway-" + std::to_string(n), DataCentreId("a"), {}, false });
    paths.setRelays(relays);
    auto recall = [&](const char* dataCentre) {
        std::vector<std::string> names;
        for (const StorePath& it : paths.recallPaths(now, DataCentreId(dataCentre)))
            names.push_back(it.relay);
        return names;
    };
    BOOST_TEST(recall("b").front() == "keeper-1");
    BOOST_TEST(recall("b").size() == 3U);
    BOOST_TEST(recall("").front() == "keeper-0");
    // Where one fails, commits go to the next one of its data centre.
    paths.failed({ "keeper-1" }, now);
    BOOST_TEST(recall("b").front() == paths.orderedPaths(StorePaths::Purpose::Commit, now, DataCentreId("b")).front().relay);
    BOOST_TEST(recall("b").size() == 3U);
}

// In an outage of 4.4 s, 259 daemons made 40,000 calls to a store that served none of them.
BOOST_AUTO_TEST_CASE(pathsThatHaveJustFailedAreNotTriedWhileTheStoreFails)
{
    int direct = 0;
    int relayed = 0;
    TimePoint end = now + std::chrono::seconds(10);
    for (; now < end; now += Milliseconds(50)) {
        for (const StorePath& it : paths.duePaths(paths.orderedPaths(StorePaths::Purpose::SharedRead, now), now)) {
            ++(it.relay.empty() ? direct : relayed);
            paths.retried(it, now);
            paths.failed(it, now);
        }
    }
    // A daemon that reaches no relay still notices within two seconds that the store is back.
    BOOST_TEST(direct >= 5);
    BOOST_TEST(direct <= 10);
    BOOST_TEST(relayed >= 2 * 15);
    BOOST_TEST(relayed <= 2 * 25);
    paths.answered({ "keeper-1" });
    BOOST_TEST((paths.duePaths({ { "keeper-1" } }, now) == std::vector<StorePath> { { "keeper-1" } }));
}

// Calls of one daemon that wait for the same outage to end must not all try a path at once.
BOOST_AUTO_TEST_CASE(pathIsNotTriedAgainWhileItIsBeingRetried)
{
    paths.failed({}, now);
    now += std::chrono::seconds(3);
    BOOST_TEST(paths.duePaths({ {} }, now).size() == 1U);
    paths.retried({}, now);
    BOOST_TEST(paths.duePaths({ {} }, now + Milliseconds(400)).empty());
}

// At the start of a deployment all daemons read the same lists.
BOOST_AUTO_TEST_CASE(sharedReadsAreSpreadOverTheKeepersOfTheDataCentre)
{
    std::vector<RelayAddress> relays;
    relays.reserve(8 + StorePaths::daemonsPerKeeper + 1);
    for (int n = 0; n < 8; ++n)
        relays.push_back({ "keeper-" + std::to_string(n), DataCentreId(n % 2 == 0 ? "a" : "b"), {}, true });
    for (std::size_t n = 0; n <= StorePaths::daemonsPerKeeper; ++n)
        relays.push_back({ "gateway-" + std::to_string(n), DataCentreId("a"), {}, false });
    std::map<std::string, int> firsts;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        StorePaths own(DataCentreId("a"), seed);
        own.setRelays(relays);
        ++firsts[own.orderedPaths(StorePaths::Purpose::SharedRead, now).front().relay];
        // Commits of a data centre go through one keeper, which groups them.
        BOOST_TEST(own.orderedPaths(StorePaths::Purpose::Commit, now).front().relay == "keeper-0");
    }
    BOOST_TEST(firsts.size() == 4U);
    for (const auto& [keeper, n] : firsts)
        BOOST_TEST(n == 25, keeper);
}

// At 500 turns a second and a store that answers within 0.27 s, a fallback to the keepers' disks would cost each keeper
// 2,000 calls a second on 0.3 of a core.
BOOST_AUTO_TEST_CASE(manyDaemonsFallBackToKeepersOnlyInOutages)
{
    BOOST_TEST((paths.fallbackDelay(true, false) == Milliseconds(0)));
    BOOST_TEST((paths.fallbackDelay(false, false) > Milliseconds(0)));
    std::vector<RelayAddress> relays;
    for (std::size_t n = 0; n <= StorePaths::daemonsPerKeeper; ++n)
        relays.push_back({ "gateway-" + std::to_string(n), DataCentreId("a"), {}, false });
    StorePaths many { DataCentreId("a") };
    many.setRelays(relays);
    BOOST_TEST((many.fallbackDelay(true, false) > Milliseconds(500)));
    BOOST_TEST((many.fallbackDelay(true, true) == Milliseconds(0)));
    BOOST_TEST(many.maxConcurrentGrants() == 2U);
    BOOST_TEST(paths.maxConcurrentGrants() > 1'000U);
}

BOOST_AUTO_TEST_CASE(fewDaemonsRecallFromTheKeeperThatTheyShare)
{
    BOOST_TEST(!paths.hasManyDaemons());
    BOOST_TEST(paths.recallPaths(now).front().relay == first(StorePaths::Purpose::Commit));
    paths.failed({ "keeper-1" }, now);
    BOOST_TEST(paths.recallPaths(now).front().relay == "keeper-2");
}

// A daemon reaches the store but no keeper; no turn may wait for keepers.
BOOST_AUTO_TEST_CASE(failedKeepersAreNotAskedForCachedRecords)
{
    paths.failed({ "keeper-1" }, now);
    paths.failed({ "keeper-2" }, now);
    BOOST_TEST(paths.recallPaths(now).empty());
    BOOST_TEST(!paths.orderedPaths(StorePaths::Purpose::Commit, now).empty());
    now += std::chrono::seconds(1);
    BOOST_TEST(paths.recallPaths(now).size() == 2U);
}

BOOST_AUTO_TEST_CASE(failedPathIsSuspended)
{
    paths.failed({ "keeper-1" }, now);
    BOOST_TEST(first(StorePaths::Purpose::Commit) == "keeper-2");
    now += std::chrono::seconds(1);
    BOOST_TEST(first(StorePaths::Purpose::Commit) == "keeper-1");
    paths.failed({ "keeper-1" }, now);
    paths.answered({ "keeper-1" });
    BOOST_TEST(first(StorePaths::Purpose::Commit) == "keeper-1");
}

BOOST_AUTO_TEST_CASE(daemonWithoutTheStoreCallsItThroughAnother)
{
    paths.failed({}, now);
    BOOST_TEST(first(StorePaths::Purpose::Read) == "keeper-1");
    paths.failed({ "keeper-1" }, now);
    paths.failed({ "keeper-2" }, now);
    BOOST_TEST(first(StorePaths::Purpose::Read) == "gateway-1");
}

BOOST_AUTO_TEST_CASE(pathsRemainWhenAllHaveFailed)
{
    for (const char* relay : { "", "keeper-1", "keeper-2", "gateway-1" })
        paths.failed({ relay }, now);
    BOOST_TEST(paths.orderedPaths(StorePaths::Purpose::Commit, now).size() == StorePaths::maxTries);
    paths.setRelays({});
    BOOST_TEST(paths.orderedPaths(StorePaths::Purpose::Commit, now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(healthReportsFailureAndRecoveryOnce)
{
    StoreHealth health;
    BOOST_TEST(health.failed(Milliseconds(5), now));
    BOOST_TEST(!health.failed(Milliseconds(5), now + Milliseconds(100)));
    BOOST_TEST(!health.isFailingFor(Milliseconds(250), now + Milliseconds(249)));
    BOOST_TEST(health.isFailingFor(Milliseconds(250), now + Milliseconds(250)));
    BOOST_TEST(health.answered(Milliseconds(5), now + Milliseconds(300)));
    BOOST_TEST(!health.answered(Milliseconds(5), now + Milliseconds(310)));
}

// An outage of 3.7 s ends while calls that began in it still wait. They time out after the recovery, and must not count
// as a new failure.
BOOST_AUTO_TEST_CASE(callThatBeganBeforeTheLastAnswerIsNoNewFailure)
{
    StoreHealth health;
    BOOST_TEST(health.failed(Milliseconds(150), now));
    now += Milliseconds(3'700);
    BOOST_TEST(health.answered(Milliseconds(6), now));
    BOOST_TEST(!health.failed(Milliseconds(1'500), now + Milliseconds(200)));
    BOOST_TEST(!health.failingSince().has_value());
    // A call that began after the last answer counts.
    BOOST_TEST(health.failed(Milliseconds(150), now + Milliseconds(200)));
    BOOST_TEST(health.failingSince().has_value());
}

BOOST_AUTO_TEST_CASE(responseTimeoutAdaptsToASlowStore)
{
    StoreHealth health;
    Milliseconds initialTimeout = health.responseTimeout();
    for (int n = 0; n < 20; ++n)
        health.answered(Milliseconds(240), now);
    BOOST_TEST((health.responseTimeout() > Milliseconds(240)));
    // Timeouts raise the average, so that the timeout adapts to a store that becomes slow.
    StoreHealth timedOut;
    for (int n = 0; n < 20; ++n)
        timedOut.failed(timedOut.responseTimeout(), now);
    BOOST_TEST((timedOut.responseTimeout() > initialTimeout));
    // Refused calls fail at once and are no samples of the response time.
    StoreHealth refused;
    for (int n = 0; n < 20; ++n)
        refused.failed(Milliseconds(3), now);
    BOOST_TEST((refused.responseTimeout() == initialTimeout));
}

// A large fleet has dozens of keepers, which would all be tried before other gateways.
BOOST_AUTO_TEST_CASE(daemonThatReachesNoKeeperSoonCallsTheStoreThroughAGateway)
{
    std::vector<RelayAddress> relays;
    relays.reserve(300);
    for (int n = 0; n < 36; ++n)
        relays.push_back({ "keeper-" + std::to_string(n), DataCentreId(n % 3 == 0 ? "a" : "b"), {}, true });
    for (int n = 0; n < 258; ++n)
        relays.push_back({ "gateway-" + std::to_string(n), DataCentreId(n % 3 == 0 ? "a" : "b"), {}, false });
    for (auto purpose : { StorePaths::Purpose::Commit, StorePaths::Purpose::Watch, StorePaths::Purpose::SharedRead }) {
        StorePaths own { DataCentreId("a"), 7 };
        own.setRelays(relays);
        unsigned failures = 0;
        for (bool isThroughGateway = false; !isThroughGateway && failures < 50;) {
            for (const StorePath& it : own.orderedPaths(purpose, now)) {
                isThroughGateway = it.relay.starts_with("gateway-");
                if (isThroughGateway)
                    break;
                own.failed(it, now);
                ++failures;
            }
            now += std::chrono::milliseconds(100);
        }
        BOOST_TEST(failures <= 9U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
