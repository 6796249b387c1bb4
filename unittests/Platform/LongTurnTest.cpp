#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t inputBytes = 3'000'000;
constexpr unsigned longTurns = 4;
// The least memory of a process in the users' deployments.
constexpr unsigned memoryMegabytes = 88;

std::string inputOf(unsigned n)
{
    return std::string(inputBytes, static_cast<char>('a' + n));
}

} // namespace

BOOST_AUTO_TEST_SUITE(LongTurnTest)

// Guards against processes that end for their memory under a few long turns, with the payments that they hold.
BOOST_AUTO_TEST_CASE(longTurnsAreServedWithinTheMemoryOfTheProcesses)
{
    inFiber([] {
        // Never deleted, since fibers of the fakes use it until the process ends.
        auto& deployment = *new Deployment;
        deployment.memoryMegabytes = memoryMegabytes;
        startAll(deployment, { { "keeper", defaultZone } });
        BOOST_REQUIRE(eventually([&] { return deployment.turn("a", "t", "", "first;", "warm") == 200; }));
        unsigned served = 0;
        unsigned ended = 0;
        bool isOver = false;
        for (unsigned n = 0; n < longTurns; ++n)
            spawnFiber([&, n] {
                std::string id = "long-" + std::to_string(n);
                // Callers come back after 503.
                for (unsigned tries = 0; tries < 10; ++tries, pause(300ms)) {
                    HttpResponse response = deployment.call(deployment.instances["a"].callers, "POST", "/stream/x", { { "x-basilpoint-request-id", id }, { "x-basilpoint-deadline-ms", "4000" }, { "x-basilpoint-program-id", id }, { "x-basilpoint-session-id", "s" } }, inputOf(n));
                    BOOST_TEST((response.status == 200 || response.status == 503), response.status);
                    BOOST_TEST((response.status == 200 || !response.header("retry-after").empty()));
                    if (response.status != 200)
                        continue;
                    ++served;
                    break;
                }
                isOver = ++ended == longTurns;
            });
        unsigned payments = 0;
        unsigned paid = 0;
        while (!isOver) {
            auto start = std::chrono::steady_clock::now();
            paid += deployment.call(deployment.instances["a"].callers, "POST", "/pay/1", {}, "12").status == 200 ? 1 : 0;
            BOOST_TEST((std::chrono::steady_clock::now() - start < 1s));
            ++payments;
            pause(20ms);
        }
        BOOST_TEST(served == longTurns);
        BOOST_TEST(paid == payments);
        // Another gateway reads the whole turn from the store, for its program and for one that goes on from it.
        for (const char* program : { "long-1", "other" }) {
            BOOST_TEST(eventually([&] { return deployment.turn("b", std::string("next-") + program, "long-1", "more;", program) == 200; }));
            BOOST_TEST((deployment.engine.runs.back().body == inputOf(1) + "one-long-1\ntwo-long-1\nmore;"));
        }
        BOOST_TEST(deployment.store.rejected == 0U);
        for (const char* it : { "a", "b", "keeper" })
            BOOST_TEST(deployment.peakMegabytes(it) < memoryMegabytes, it << " used " << deployment.peakMegabytes(it) << " MB");
        deployment.end();
    });
}

// Guards against a value that the store never takes and that all processes then hold for an outage.
BOOST_AUTO_TEST_CASE(valueThatTheStoreRejectsFailsItsTurnOnly)
{
    inFiber([] {
        auto& deployment = *new Deployment;
        startAll(deployment, { { "keeper", defaultZone } });
        BOOST_REQUIRE(eventually([&] { return deployment.turn("a", "t", "", "first;", "warm") == 200; }));
        deployment.store.rejectedText = "poison";
        bool isOver = false;
        spawnFiber([&] {
            BOOST_TEST(deployment.turn("a", "bad", "", "poison;", "program-bad") != 200);
            isOver = true;
        });
        unsigned served = 0;
        constexpr unsigned turns = 40;
        for (unsigned n = 0; n < turns; ++n) {
            std::string id = "sound-" + std::to_string(n);
            served += deployment.turn(n % 2 == 0 ? "a" : "b", id, "", "in;", "program-" + id) == 200 ? 1 : 0;
        }
        BOOST_TEST(served == turns);
        BOOST_TEST(eventually([&] { return isOver; }));
        BOOST_TEST(deployment.turn("a", "next", "", "in;", "program-bad") == 200);
        unsigned before = deployment.store.rejected;
        pause(2s);
        BOOST_TEST(deployment.store.rejected == before);
        for (const char* it : { "a", "b", "keeper" })
            BOOST_TEST(deployment.processes[it]->log().find("store-lost") == std::string::npos, it << " holds the store for lost");
        deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
