#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

namespace {

/// A turn of a program without a budget, which writes nothing before it ends. \returns the status.
int turnWithoutBudget(Deployment& deployment, const std::string& id, const std::string& previous, const std::string& input, const std::string& program)
{
    HttpHeaders headers { { "x-basilpoint-request-id", id }, { "x-basilpoint-deadline-ms", "3000" }, { "x-basilpoint-program-id", program }, { "x-basilpoint-session-id", "s" }, { "x-basilpoint-previous-turn", previous } };
    return deployment.statusAt(deployment.instances["a"].callers, "POST", "/stream/x", headers, input);
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeptTurnTest)

// Guards against a turn that keepers kept without the chain of the other program that it continues.
BOOST_AUTO_TEST_CASE(turnThatContinuesAnotherProgramsOutlivesItsGatewayInAnOutage)
{
    inFiber([] {
        // Never deleted, since fibers of the fakes use it until the process ends.
        auto& deployment = *new Deployment;
        startAll(deployment, { { "keeper", defaultZone } });
        BOOST_REQUIRE(eventually([&] { return deployment.turn("a", "t1", "", "in1;", "first") == 200; }));
        BOOST_REQUIRE(deployment.turn("a", "t2", "t1", "in2;", "first") == 200);
        deployment.engine.delay = 800ms;
        spawnFiber([&] {
            pause(400ms);
            deployment.store.isDown = true;
        });
        // The store goes down between the turn's beginning and its end.
        BOOST_REQUIRE(turnWithoutBudget(deployment, "t3", "t2", "in3;", "second") == 200);
        BOOST_REQUIRE(deployment.kill("a"));
        deployment.engine.delay = 0ms;
        deployment.store.isDown = false;
        deployment.start("a", true);
        BOOST_REQUIRE(eventually([&] { return deployment.isReady("a"); }));
        for (const char* program : { "second", "third" }) {
            BOOST_TEST(eventually([&] { return deployment.turn("b", std::string("next-") + program, "t3", "in4;", program) == 200; }));
            BOOST_TEST(deployment.engine.runs.back().body == "in1;one-t1\ntwo-t1\nin2;one-t2\ntwo-t2\nin3;one-t3\ntwo-t3\nin4;");
        }
        // Once keepers have stored the turn, the store has the whole chain.
        BOOST_TEST(eventually([&] { return deployment.store.has("programs/second/turn/t2"); }));
        BOOST_TEST(eventually([&] { return deployment.store.has("programs/second/turn/t3"); }));
        deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
