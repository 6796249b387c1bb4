#include "Workload.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace basilpoint;
using namespace basilpoint::test;
using Json = nlohmann::json;

// Each user's fleet has seven small entry instances.
static constexpr unsigned daemons = 7;
static constexpr unsigned answerTokens = 16;
static constexpr unsigned programs = 60;
static constexpr unsigned turns = 4;
static constexpr Milliseconds testTimeout { 60'000 };
static constexpr Milliseconds configurationTimeout { 10'000 };

static const TestFleet::Options sevenDaemons { daemons, 3, { "--token-ms", "5" }, {}, 3 };

static void startFleet(TestFleet& fleet)
{
    BOOST_REQUIRE(fleet.apply(fleet.document()) == 0);
    requireEventually(
        fleet, [&] { return fleet.allReady(); }, testTimeout);
    auto configured = [&] {
        for (unsigned n = 0; n < daemons; ++n) {
            if (!fleet.state(n)["environments"].contains("test"))
                return false;
        }
        return true;
    };
    BOOST_REQUIRE(eventually(configured, configurationTimeout));
}

static void finishWorkload(TestFleet& fleet, Workload& workload)
{
    requireEventually(
        fleet, [&] { return workload.finished(); }, testTimeout);
    workload.check();
    BOOST_TEST_MESSAGE("retries " << workload.retries() << ", unknown outcomes " << workload.unknownOutcomes());
}

static void waitForTurns(Workload& workload, unsigned turnsDone)
{
    BOOST_REQUIRE(eventually([&] { return workload.turnsDone() >= turnsDone; }, testTimeout));
}

static bool allDaemonsHaveRevision(const TestFleet& fleet, unsigned revision)
{
    for (unsigned n = 0; n < daemons; ++n) {
        Json dump = fleet.state(n);
        if (!dump.is_object() || !dump["environments"].contains("test") || dump["environments"]["test"]["revision"] != revision)
            return false;
    }
    return true;
}

BOOST_AUTO_TEST_SUITE(FleetTest)

BOOST_AUTO_TEST_CASE(programsContinueWhenTwoDaemonsAreKilled)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, sevenDaemons);
        startFleet(fleet);
        Workload workload(client, fleet, answerTokens);
        workload.start(programs, turns);
        waitForTurns(workload, programs / 2);
        fleet.daemon(6).signal(SIGKILL);
        waitForTurns(workload, programs);
        fleet.daemon(1).signal(SIGKILL);
        finishWorkload(fleet, workload);
    });
}

// The shards' records name the instances before the restart, which no daemon of the new fleet has heard of.
BOOST_AUTO_TEST_CASE(daemonsThatDoNotKnowTheOwnersOfShardsKeepRunning)
{
    runInFiber([](HttpClient& client) {
        static constexpr unsigned count = 3;
        TestFleet fleet(client, { count, 1, {}, {}, count });
        requireEventually(
            fleet, [&] { return fleet.allReady(); }, testTimeout);
        for (unsigned n = 0; n < count; ++n)
            fleet.daemon(n).signal(SIGKILL);
        for (unsigned n = 0; n < count; ++n) {
            requireEventually(
                fleet, [&] { return !fleet.daemon(n).running(); }, testTimeout);
            fleet.startDaemon(n);
        }
        requireEventually(
            fleet, [&] { return fleet.allReady(); }, testTimeout);
        for (unsigned n = 0; n < count; ++n)
            BOOST_TEST(fleet.daemon(n).running());
    });
}

BOOST_AUTO_TEST_CASE(resumedOwnersRepeatNoCall)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, sevenDaemons);
        startFleet(fleet);
        Workload workload(client, fleet, answerTokens);
        workload.start(programs, turns);
        waitForTurns(workload, programs / 2);
        fleet.daemon(5).signal(SIGSTOP);
        fleet.daemon(0).signal(SIGSTOP);
        waitForTurns(workload, programs + programs / 2);
        fleet.daemon(5).signal(SIGCONT);
        fleet.daemon(0).signal(SIGCONT);
        finishWorkload(fleet, workload);
    });
}

BOOST_AUTO_TEST_CASE(rollingRestartUnderLoadInterruptsNoRequest)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, sevenDaemons);
        startFleet(fleet);
        Workload workload(client, fleet, answerTokens);
        workload.start(programs, turns * 4);
        waitForTurns(workload, programs / 4);
        for (unsigned n = 0; n < daemons; ++n) {
            fleet.daemon(n).signal(SIGTERM);
            requireEventually(
                fleet, [&] { return !fleet.daemon(n).running(); }, testTimeout);
            BOOST_TEST(fleet.daemon(n).exitStatus() == 0);
            fleet.startDaemon(n);
            requireEventually(
                fleet, [&] { return fleet.ready(n); }, testTimeout);
        }
        finishWorkload(fleet, workload);
        // A planned stop may move calls to other daemons, but none may end in an unknown outcome.
        BOOST_TEST(workload.unknownOutcomes() == 0U);
    });
}

BOOST_AUTO_TEST_CASE(keyValueOutageDoesNotInterruptOwnedShards)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, sevenDaemons);
        startFleet(fleet);
        fleet.setFault(fleet.keyValue(), { { "down", true } });
        Workload workload(client, fleet, answerTokens);
        workload.start(programs, turns);
        finishWorkload(fleet, workload);
        BOOST_TEST(workload.unknownOutcomes() == 0U);
        BOOST_TEST(workload.retries() == 0U);
    });
}

BOOST_AUTO_TEST_CASE(daemonKilledDuringAKeyValueOutageIsReplacedAfterIt)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, sevenDaemons);
        startFleet(fleet);
        Workload workload(client, fleet, answerTokens);
        workload.start(programs, turns);
        waitForTurns(workload, programs / 2);
        fleet.setFault(fleet.keyValue(), { { "down", true } });
        fleet.daemon(4).signal(SIGKILL);
        sleepFiber(Milliseconds(3'000));
        fleet.setFault(fleet.keyValue(), { { "down", false }, { "loseAnswers", 10 } });
        finishWorkload(fleet, workload);
    });
}

BOOST_AUTO_TEST_CASE(acceptedConfigurationReachesAllDaemonsInTimeAndIsNotReverted)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, sevenDaemons);
        startFleet(fleet);
        Json document = fleet.document();
        for (unsigned revision = 2; revision <= 4; ++revision) {
            document["rules"]["maxTurns"] = 100 + revision;
            BOOST_REQUIRE(fleet.apply(document) == 0);
            BOOST_TEST(eventually([&] { return allDaemonsHaveRevision(fleet, revision); }, configurationTimeout));
        }
        // A daemon that starts while the key-value service is down learns the revision from its peers.
        fleet.setFault(fleet.keyValue(), { { "down", true } });
        fleet.daemon(2).signal(SIGKILL);
        BOOST_REQUIRE(eventually([&] { return !fleet.daemon(2).running(); }, testTimeout));
        fleet.startDaemon(2);
        requireEventually(
            fleet, [&] { return allDaemonsHaveRevision(fleet, 4); }, configurationTimeout);
    });
}

BOOST_AUTO_TEST_CASE(requestThatCrashesEnginesIsQuarantinedAfterTwoCrashes)
{
    runInFiber([](HttpClient& client) {
        static constexpr unsigned engines = 5;
        TestFleet fleet(client, { daemons, engines, { "--token-ms", "5", "--crash-on", "poison" }, {}, 3 });
        startFleet(fleet);
        Workload workload(client, fleet, answerTokens);
        workload.start(programs, turns);
        waitForTurns(workload, 1);
        Caller caller(client, fleet, 99);
        // The caller sends the same request repeatedly, from other programs and through other daemons.
        unsigned refused = 0;
        for (unsigned n = 0; n < 10; ++n) {
            std::string program = caller.open("poison-" + std::to_string(n));
            Json body { { "model", "m" }, { "messages", Json::array({ { { "role", "user" }, { "content", "poison" } } }) } };
            HttpResponse response = caller.send({ "POST", "/v1/chat/completions", { { "basilpoint-program", program } }, body.dump() });
            BOOST_TEST(response.status / 100 != 2, response.body);
            Json problem = Json::parse(response.body);
            refused += problem.value("title", "") == "quarantined" ? 1 : 0;
        }
        BOOST_TEST(fleet.runningEngineCount() >= engines - 2);
        BOOST_TEST(refused >= 8U);
        finishWorkload(fleet, workload);
    });
}

BOOST_AUTO_TEST_CASE(leavingTargetGetsNoNewCallsFromAnyDaemon)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, sevenDaemons);
        startFleet(fleet);
        Workload workload(client, fleet, answerTokens);
        workload.start(programs, turns * 2);
        waitForTurns(workload, programs / 4);
        BOOST_TEST(fleet.postToOperatorListener(3, "/targets/leave", { { "address", fleet.engines()[0].text() } }).status == 200);
        static constexpr Milliseconds noticePropagationTime { 3'000 };
        sleepFiber(noticePropagationTime);
        auto served = fleet.startedCalls(0);
        Workload later(client, fleet, answerTokens);
        finishWorkload(fleet, workload);
        workload.start(programs, turns);
        finishWorkload(fleet, workload);
        BOOST_TEST((fleet.startedCalls(0) == served));
    });
}

BOOST_AUTO_TEST_SUITE_END()
