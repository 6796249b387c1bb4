#include "Deployment.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

namespace {

int work(Deployment& deployment, const std::string& gateway)
{
    return deployment.call(deployment.instances[gateway].callers, "POST", "/work/x", { { "x-basilpoint-deadline-ms", "1000" } }, "body").status;
}

/// Calls both gateways until the target has got a call from each, whatever the others get.
bool eachGatewayCalls(Deployment& deployment, const FakeTarget& target)
{
    for (const char* it : { "a", "b" }) {
        auto before = target.runs.size();
        bool isCalled = eventually([&] {
            work(deployment, it);
            return target.runs.size() > before;
        });
        if (!isCalled)
            return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLeavingTest)

// Its registration stays "ready", lapses and comes back, also while the store is down.
BOOST_AUTO_TEST_CASE(targetThatSaysThatItLeavesGetsNothingNewUntilItStartsAgain)
{
    inFiber([] {
        // Never deleted, since fibers of the fakes use them until the process ends.
        auto& deployment = *new Deployment(0, 1);
        deployment.putConfiguration(5, { "/work/" });
        startAll(deployment, { { "keeper", defaultZone } });
        FakeTarget& leaving = deployment.tool;
        BOOST_REQUIRE(eventually([&] { return work(deployment, "a") == 200 && work(deployment, "b") == 200; }));
        leaving.answerHeaders["server-leaving"] = "1";
        BOOST_REQUIRE(eachGatewayCalls(deployment, leaving));
        pause(100ms);
        auto runs = leaving.runs.size();
        auto expectNoRuns = [&](const char* when) {
            for (unsigned n = 0; n < 20; ++n)
                BOOST_TEST(work(deployment, n % 2 ? "a" : "b") == 200, when);
            BOOST_TEST(leaving.runs.size() == runs, when);
        };
        expectNoRuns("registered as ready");
        deployment.store.remove("servers/" + leaving.id());
        pause(500ms);
        deployment.put(leaving);
        pause(500ms);
        expectNoRuns("registered again");
        deployment.store.isDown = true;
        pause(1s);
        expectNoRuns("store down");
        deployment.store.remove("servers/" + leaving.id());
        deployment.store.isDown = false;
        pause(1s);
        deployment.put(leaving);
        pause(500ms);
        expectNoRuns("store back");
        // A new lifetime under the same id.
        leaving.answerHeaders.clear();
        leaving.restart();
        deployment.put(leaving);
        BOOST_TEST(eachGatewayCalls(deployment, leaving));
        deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
