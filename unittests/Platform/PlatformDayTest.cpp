#include "Deployment.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace basilpoint;
using namespace basilpoint::test;
using Json = nlohmann::json;

namespace {

// Time in which turns must be served again once all processes have restarted.
constexpr auto recoveryLimit = std::chrono::seconds(15);

/// Kills all processes, then starts the gateways and \p zonesOfKeepers again.
void restartAll(Deployment& deployment, const std::map<std::string, std::string>& zonesOfKeepers)
{
    for (const char* it : { "a", "b" })
        BOOST_REQUIRE(deployment.kill(it));
    for (const auto& [keeper, zone] : zonesOfKeepers)
        BOOST_REQUIRE(deployment.kill(keeper));
    for (const auto& [keeper, zone] : zonesOfKeepers)
        deployment.start(keeper, false, zone);
    deployment.start("a", true);
    deployment.start("b", true);
}

/// Expects that a turn that continues "t3", and the first turn of a program, are served before recoveryLimit.
void expectRecovery(Deployment& deployment)
{
    bool isContinued = false;
    bool isFirstServed = false;
    eventually(
        [&] {
            isContinued = isContinued || deployment.turn("a", "continued", "t3", "in4;") == 200;
            isFirstServed = isFirstServed || deployment.turn("b", "first", "", "new;", "p2") == 200;
            return isContinued && isFirstServed;
        },
        recoveryLimit);
    BOOST_TEST(isContinued);
    BOOST_TEST(isFirstServed);
    BOOST_TEST(std::any_of(deployment.engine.runs.begin(), deployment.engine.runs.end(), [](const auto& it) { return it.body == "in1;one-t1\ntwo-t1\nin2;one-t2\ntwo-t2\nin3;one-t3\ntwo-t3\nin4;"; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformDayTest)

BOOST_AUTO_TEST_CASE(smallDeploymentServesThroughChangesAndOutages)
{
    inFiber([] {
        // Never deleted, since fibers of the fakes use them until the process ends.
        auto& deployment = *new Deployment;
        deployment.start("keeper", false);
        deployment.start("a", true);
        deployment.start("b", true);
        BOOST_REQUIRE(eventually([&] { return deployment.isReady("a") && deployment.isReady("b"); }));
        BOOST_REQUIRE(eventually([&] { return deployment.store.has("daemons/keeper") && deployment.store.has("daemons/a") && deployment.store.has("daemons/b"); }));

        // Turns through two gateways: the engine gets the complete history each time.
        BOOST_TEST(deployment.turn("a", "t1", "", "in1;") == 200);
        BOOST_TEST(deployment.answer == "id: one\ndata: one-t1\n\nid: two\ndata: two-t1\n\n");
        BOOST_TEST(deployment.answerHeaders["x-basilpoint-server-stamp"] == "stamp-i-engine");
        BOOST_TEST(deployment.turn("b", "t2", "t1", "in2;") == 200);
        BOOST_TEST(deployment.engine.runs.back().body == "in1;one-t1\ntwo-t1\nin2;");
        // Several turns may continue the same one.
        BOOST_TEST(deployment.turn("a", "t3", "t1", "in3;") == 200);
        BOOST_TEST(deployment.engine.runs.back().body == "in1;one-t1\ntwo-t1\nin3;");
        // Before it knows the keepers, a gateway cannot be certain that a turn does not exist.
        BOOST_TEST(eventually([&] { return deployment.turn("a", "t4", "nothing", "in4;") == 404; }));
        BOOST_TEST(deployment.turn("b", "t5", "", "in5;", "small", 30) == 402);
        auto runs = deployment.engine.runs.size();

        // A tool call runs once; a call without a route is refused.
        BOOST_TEST(deployment.statusAt(deployment.instances["a"].callers, "POST", "/pay/1", {}, "12") == 200);
        BOOST_TEST(deployment.tool.runs.size() == 1U);
        BOOST_TEST(deployment.tool.runs.back().body == "12");
        BOOST_TEST(deployment.statusAt(deployment.instances["a"].callers, "GET", "/new/1") == 404);

        // A new configuration is active at all gateways within two seconds.
        deployment.putConfiguration(7, { "/new/" });
        pause(std::chrono::milliseconds(2'000));
        for (const char* it : { "a", "b" })
            BOOST_TEST(deployment.statusAt(deployment.instances[it].callers, "GET", "/new/1") == 200);

        // A draining target gets no new calls.
        deployment.store.put("servers/" + deployment.spare.id(), deployment.spare.registration("ready"));
        deployment.store.put("servers/" + deployment.engine.id(), deployment.engine.registration("draining"));
        pause(std::chrono::milliseconds(500));
        BOOST_TEST(deployment.turn("b", "t6", "t2", "in6;") == 200);
        BOOST_TEST(deployment.engine.runs.size() == runs);
        BOOST_TEST(deployment.spare.runs.back().body == "in1;one-t1\ntwo-t1\nin2;one-t2\ntwo-t2\nin6;");

        // A killed gateway loses no turns.
        deployment.processes["b"]->signal(SIGKILL);
        BOOST_TEST(eventually([&] { return !deployment.processes["b"]->running(); }));
        BOOST_TEST(deployment.turn("a", "t7", "t6", "in7;") == 200);

        // While the store is down, turns are served and kept on the keeper's disk.
        deployment.store.isDown = true;
        pause(std::chrono::milliseconds(600));
        BOOST_TEST(deployment.turn("a", "t8", "t7", "in8;") == 200);
        BOOST_TEST(!deployment.store.has("turns/t8"));
        // The metrics name why calls were refused and how turns ended.
        BOOST_TEST(deployment.statusAt(deployment.instances["a"].readiness, "GET", "/metrics") == 200);
        for (const char* it : { "refusals_total{code=\"no-such-turn\"}", "refusals_total{code=\"no-route\"} 1", "turn_ends_total{outcome=\"recorded\"}", "turn_end_wait_milliseconds_total{outcome=\"recorded\"}", "turn_end_wait_seconds_count", "turns_journaled_total{kept=\"yes\"} 1" })
            BOOST_TEST(deployment.answer.find(it) != std::string::npos, it);
        // The gateway that served the turn is killed during the outage: the keeper has the turn and writes it to the store.
        deployment.processes["a"]->signal(SIGKILL);
        BOOST_TEST(eventually([&] { return !deployment.processes["a"]->running(); }));
        deployment.store.isDown = false;
        deployment.start("b", true);
        BOOST_REQUIRE(eventually([&] { return deployment.isReady("b"); }));
        BOOST_TEST(eventually([&] { return deployment.turn("b", "t9", "t8", "in9;") == 200; }));
        BOOST_TEST(deployment.spare.runs.back().body.find("in8;one-t8\ntwo-t8\nin9;") != std::string::npos);
        BOOST_TEST(eventually([&] { return deployment.store.has("turns/t8"); }));

        // On a planned stop the gateway reports that it is not ready, then exits cleanly.
        deployment.processes["b"]->signal(SIGTERM);
        BOOST_TEST(eventually([&] { return !deployment.isReady("b"); }));
        BOOST_TEST(eventually([&] { return !deployment.processes["b"]->running(); }));
        BOOST_TEST(deployment.processes["b"]->exitStatus() == 0);
        BOOST_TEST(deployment.processes["b"]->log().find("\"event\":\"stop\"") != std::string::npos);
        deployment.end();
    });
}

// A target that crashed during a payout took it twice: its answer was lost, and the caller asked for the same payout again.
BOOST_AUTO_TEST_CASE(payoutWhoseAnswerWasLostIsNotHandedOnAgain)
{
    inFiber([] {
        auto& deployment = *new Deployment;
        startAll(deployment, { { "keeper", defaultZone } });
        auto pay = [&](const std::string& id) { return deployment.statusAt(deployment.instances["a"].callers, "POST", "/pay/1", { { "x-basilpoint-request-id", id } }, "12"); };
        auto runsOf = [&](const std::string& id) { return std::count_if(deployment.tool.runs.begin(), deployment.tool.runs.end(), [&](const auto& it) { return it.call == id; }); };
        deployment.tool.losesAnswers = true;
        // 502 and 504 promise nothing; 503 would promise that the payout has not run.
        BOOST_TEST(pay("payout-1") == 502);
        BOOST_TEST(pay("payout-1") == 502);
        deployment.tool.losesAnswers = false;
        BOOST_TEST(pay("payout-1") == 502);
        BOOST_TEST(runsOf("payout-1") == 1);
        BOOST_TEST(eventually([&] { return deployment.processes["a"]->log().find("already-submitted") != std::string::npos; }));
        // A payout that was answered does not run again either, and one that has not run may be repeated.
        BOOST_TEST(pay("payout-2") == 200);
        BOOST_TEST(pay("payout-2") == 502);
        BOOST_TEST(runsOf("payout-2") == 1);
        deployment.store.put("servers/" + deployment.tool.id(), deployment.tool.registration("draining"));
        pause(std::chrono::milliseconds(500));
        BOOST_TEST(pay("payout-3") == 503);
        deployment.store.put("servers/" + deployment.tool.id(), deployment.tool.registration("ready"));
        BOOST_TEST(eventually([&] { return pay("payout-3") == 200; }));
        BOOST_TEST(runsOf("payout-3") == 1);
        deployment.end();
    });
}

BOOST_AUTO_TEST_CASE(turnsAreServedAfterAKeeperIsEmptiedAndAllRestart)
{
    inFiber([] {
        // Never deleted, since fibers of the fakes use them until the process ends.
        auto& deployment = *new Deployment(1);
        startAll(deployment, { { "k1", "z" }, { "k2", "y" } });
        BOOST_TEST(eventually([&] { return deployment.turn("a", "t1", "", "in1;") == 200; }));
        BOOST_TEST(deployment.turn("b", "t2", "t1", "in2;") == 200);
        emptyAndRemove(deployment, "k1");
        BOOST_TEST(deployment.turn("a", "t3", "t2", "in3;") == 200);
        restartAll(deployment, { { "k2", "y" } });
        expectRecovery(deployment);
        deployment.end();
    });
}

BOOST_AUTO_TEST_CASE(turnsAreServedAfterTwoOfThreeKeepersAreEmptiedAndAllRestart)
{
    inFiber([] {
        // Never deleted, since fibers of the fakes use them until the process ends.
        auto& deployment = *new Deployment(1);
        startAll(deployment, { { "k1", "z" }, { "k2", "y" }, { "k3", "y" } });
        BOOST_TEST(eventually([&] { return deployment.turn("a", "t1", "", "in1;") == 200; }));
        emptyAndRemove(deployment, "k1");
        BOOST_TEST(deployment.turn("b", "t2", "t1", "in2;") == 200);
        emptyAndRemove(deployment, "k2");
        BOOST_TEST(deployment.turn("a", "t3", "t2", "in3;") == 200);
        restartAll(deployment, { { "k3", "y" } });
        expectRecovery(deployment);
        deployment.end();
    });
}

BOOST_AUTO_TEST_CASE(turnsAreKeptInAnOutageAfterOneOfThreeKeepersIsEmptied)
{
    inFiber([] {
        // Never deleted, since fibers of the fakes use them until the process ends.
        auto& deployment = *new Deployment(1);
        startAll(deployment, { { "k1", "z" }, { "k2", "y" }, { "k3", "y" } });
        BOOST_TEST(eventually([&] { return deployment.turn("a", "t1", "", "in1;") == 200; }));
        emptyAndRemove(deployment, "k1");
        BOOST_TEST(deployment.turn("a", "t2", "t1", "in2;") == 200);
        deployment.store.isDown = true;
        pause(std::chrono::milliseconds(600));
        BOOST_TEST(deployment.turn("a", "t3", "t2", "in3;") == 200);
        BOOST_TEST(!deployment.store.has("turns/t3"));
        // The gateway that served the turn is killed during the outage: the keepers have the turn and write it to the store.
        BOOST_REQUIRE(deployment.kill("a"));
        deployment.store.isDown = false;
        BOOST_TEST(eventually([&] { return deployment.turn("b", "t4", "t3", "in4;") == 200; }));
        BOOST_TEST(deployment.engine.runs.back().body.find("in3;one-t3\ntwo-t3\nin4;") != std::string::npos);
        BOOST_TEST(eventually([&] { return deployment.store.has("turns/t3"); }));
        deployment.end();
    });
}

BOOST_AUTO_TEST_CASE(standbyTakesThePlaceOfAnEmptiedKeeper)
{
    inFiber([] {
        // Never deleted, since fibers of the fakes use them until the process ends.
        auto& deployment = *new Deployment(1);
        for (const auto& [keeper, zone] : std::map<std::string, std::string> { { "k1", "z" }, { "k2", "y" }, { "k3", "x" }, { "k4", "x" } })
            deployment.start(keeper, false, zone);
        deployment.start("a", true);
        deployment.start("b", true);
        auto members = [&] {
            std::vector<std::string> names;
            if (!deployment.store.has("daemons/.keepers"))
                return names;
            Json view = Json::parse(deployment.store.valueOf("daemons/.keepers"));
            for (const Json& it : view.at("members"))
                names.push_back(it.at("instance").get<std::string>());
            return names;
        };
        BOOST_REQUIRE(eventually([&] { return deployment.isReady("a") && deployment.isReady("b"); }));
        BOOST_REQUIRE(eventually([&] { return members().size() == 3; }));
        BOOST_TEST(eventually([&] { return deployment.turn("a", "t1", "", "in1;") == 200; }));
        emptyAndRemove(deployment, members().front());
        BOOST_TEST(members().size() == 3U);
        // The gateways have not read the list since; the keepers tell them of the new view.
        deployment.store.isDown = true;
        pause(std::chrono::milliseconds(600));
        // One of the three may be lost.
        BOOST_REQUIRE(deployment.kill(members().front()));
        BOOST_TEST(eventually([&] { return deployment.turn("a", "t2", "t1", "in2;") == 200; }));
        BOOST_TEST(!deployment.store.has("turns/t2"));
        BOOST_TEST(deployment.turn("b", "t3", "t2", "in3;") == 200);
        BOOST_TEST(deployment.engine.runs.back().body == "in1;one-t1\ntwo-t1\nin2;one-t2\ntwo-t2\nin3;");
        deployment.store.isDown = false;
        BOOST_TEST(eventually([&] { return deployment.store.has("turns/t2") && deployment.store.has("turns/t3"); }));
        deployment.end();
    });
}

// Clients that keep connections open took all descriptors, so that the gateway reached neither targets nor the store.
BOOST_AUTO_TEST_CASE(idleConnectionsOfCallersLeaveDescriptorsForTargetsAndTheStore)
{
    inFiber([] {
        // Never deleted, since fibers of the fakes use them until the process ends.
        auto& deployment = *new Deployment;
        deployment.descriptors = 96;
        startAll(deployment, { { "keeper", defaultZone } });
        deployment.limitDescriptors("a");
        HttpClient client(testRuntime().io());
        HttpCallOptions options;
        options.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        Endpoint gateway { "127.0.0.1", static_cast<std::uint16_t>(deployment.instances["a"].callers) };
        auto pay = [&](const std::string& id) { return client.call(gateway, { "POST", "/pay/1", { { "host", "h.example" }, { "x-basilpoint-request-id", id } }, "12" }, options).status; };
        // Keeps a connection open, without one to a target yet.
        BOOST_TEST(client.call(gateway, { "POST", "/none/1", { { "host", "h.example" }, { "x-basilpoint-request-id", "n" } }, "" }, options).status == 404);
        std::vector<boost::asio::ip::tcp::socket> idle;
        for (unsigned n = 0; n < 2 * deployment.descriptors; ++n) {
            auto& socket = idle.emplace_back(testRuntime().io());
            awaitIo([&](auto handler) { socket.async_connect({ boost::asio::ip::make_address(gateway.host), gateway.port }, std::move(handler)); });
        }
        pause(std::chrono::milliseconds(300));
        BOOST_TEST(pay("payout-1") == 200);
        BOOST_TEST(deployment.isReady("a"));
        deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
