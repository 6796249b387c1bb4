#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(PlannedStopTest)

// Signals arrive until the last moment, when fibers of all parts still run.
BOOST_AUTO_TEST_CASE(signalsDuringAPlannedStopDoNotChangeItsStatus)
{
    inFiber([] {
        auto& deployment = *new Deployment;
        startAll(deployment, { { "keeper", defaultZone } });
        const unsigned count = 16;
        std::vector<std::string> names;
        for (unsigned n = 0; n < count; ++n)
            deployment.start(names.emplace_back(fmt::format("g{}", n)), true);
        BOOST_REQUIRE(eventually([&] { return std::all_of(names.begin(), names.end(), [&](const std::string& it) { return deployment.isReady(it); }); }, 20s));
        unsigned ended = 0;
        for (const std::string& it : names)
            spawnFiber([&, process = deployment.processes[it]] {
                while (process->running()) {
                    process->signal(SIGTERM);
                    pause(1ms);
                }
                ++ended;
            });
        BOOST_TEST(eventually([&] { return ended == count; }, 20s));
        for (const std::string& it : names) {
            BOOST_TEST(deployment.processes[it]->endingSignal() == 0);
            BOOST_TEST(deployment.processes[it]->exitStatus() == 0);
        }
        deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
