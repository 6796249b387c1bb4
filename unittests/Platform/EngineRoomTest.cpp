#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

namespace {

/// Two gateways and an engine that takes reservations.
class Site {
public:
    explicit Site(unsigned room)
        : deployment(*new Deployment(0))
    {
        deployment.longestReservation = 2'000;
        deployment.isResumable = true;
        deployment.putConfiguration(4, {});
        deployment.engine.room = room;
        startAll(deployment, { { "keeper", defaultZone } });
        pause(500ms);
    }

    HttpResponse chat(const std::string& at, int timeLeft = 3'000, const std::string& previous = {})
    {
        HttpHeaders headers { { "x-basilpoint-deadline-ms", std::to_string(timeLeft) }, { "x-basilpoint-program-id", "p" + std::to_string(deployment.calls) }, { "x-basilpoint-session-id", "s" }, { "x-basilpoint-token-budget", "1000" }, { "x-basilpoint-token-count", "50,40" } };
        if (!previous.empty())
            headers["x-basilpoint-previous-turn"] = previous;
        return deployment.call(deployment.instances[at].callers, "POST", "/chat/stream/x", headers, "prompt");
    }

    /// Value of a metric of a gateway; empty if it has none of this name.
    std::string metric(const std::string& at, const std::string& name)
    {
        std::string text = deployment.call(deployment.instances[at].readiness, "GET", "/metrics").body;
        auto found = text.find(name + " ");
        return found == std::string::npos ? std::string() : text.substr(found + name.size() + 1, text.find('\n', found) - found - name.size() - 1);
    }

    // Never deleted, since fibers of the fakes use it until the process ends.
    Deployment& deployment;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EngineRoomTest)

// Guards against calls sent beyond the engine's capacity by gateways that do not see each other's calls.
BOOST_AUTO_TEST_CASE(gatewaysTogetherSendNoMoreCallsThanTheEngineHasRoomFor)
{
    inFiber([] {
        auto& site = *new Site(2);
        site.deployment.engine.delay = 150ms;
        constexpr int calls = 12;
        int ended = 0;
        int served = 0;
        for (int n = 0; n < calls; ++n) {
            spawnFiber([&, n] {
                served += site.chat(n % 2 == 0 ? "a" : "b").status == 200 ? 1 : 0;
                ++ended;
            });
        }
        BOOST_REQUIRE(eventually([&] { return ended == calls; }));
        BOOST_TEST(served == calls);
        BOOST_TEST(site.deployment.engine.maxRunning <= 2U);
        const auto& runs = site.deployment.engine.runs;
        BOOST_TEST(runs.size() == std::size_t(calls));
        BOOST_TEST(std::all_of(runs.begin(), runs.end(), [](const auto& it) { return !it.headers.at("x-basilpoint-hold").empty(); }));
        BOOST_TEST(site.deployment.engine.openReservations() == 0U);
        site.deployment.end();
    });
}

// Guards against a refusal that arrives after the caller has given up, or one of a call that runs after all, and against a
// full engine that is taken for a failing one.
BOOST_AUTO_TEST_CASE(callThatGetsNoRoomInTimeIsRefusedAndTheEngineIsUsedOnceItHasRoom)
{
    inFiber([] {
        auto& site = *new Site(0);
        auto start = std::chrono::steady_clock::now();
        HttpResponse response = site.chat("a", 400);
        BOOST_TEST((std::chrono::steady_clock::now() - start < 600ms));
        BOOST_TEST(response.status == 503);
        BOOST_REQUIRE(response.headers.contains("retry-after"));
        BOOST_TEST(std::stod(response.headers.at("retry-after")) >= 0.05);
        BOOST_TEST(site.deployment.engine.runs.empty());
        BOOST_TEST(site.metric("a", "room_refusals_total{reason=\"too-late\"}") == "1");
        // The recent wait is forgotten within two seconds.
        pause(2'100ms);
        site.deployment.engine.room = 1;
        BOOST_TEST(site.chat("a").status == 200);
        BOOST_TEST(site.deployment.engine.runs.size() == 1U);
        site.deployment.end();
    });
}

// Guards against queues that are filled by callers who have left, and engines that work for them.
BOOST_AUTO_TEST_CASE(callWhoseCallerLeavesIsNotSent)
{
    inFiber([] {
        auto& site = *new Site(0);
        HttpCallOptions options;
        options.deadline = std::chrono::steady_clock::now() + 300ms;
        options.reuseConnection = false;
        HttpClient client(testRuntime().io());
        HttpRequest request { "POST", "/chat/stream/x", { { "host", "h.example" }, { "x-basilpoint-request-id", "left" }, { "x-basilpoint-deadline-ms", "3000" } }, "prompt" };
        try {
            client.call({ "127.0.0.1", static_cast<std::uint16_t>(site.deployment.instances["a"].callers) }, request, options);
            BOOST_ERROR("answered without room");
        } catch (const TargetError&) {
            // The caller has left.
            pause(100ms);
        }
        BOOST_TEST(site.metric("a", "room_waiting_calls{service=\"models\"}") == "0");
        unsigned asked = site.deployment.engine.reservationRequests;
        site.deployment.engine.room = 1;
        pause(200ms);
        BOOST_TEST(site.deployment.engine.reservationRequests == asked);
        BOOST_TEST(site.deployment.engine.runs.empty());
        site.deployment.end();
    });
}

// Guards against calls that are lost with the reservations, which only protect the engine.
BOOST_AUTO_TEST_CASE(engineThatDoesNotAnswerRequestsForReservationsIsUsedWithoutThem)
{
    inFiber([] {
        auto& site = *new Site(1);
        site.deployment.engine.ignoresReservations = true;
        auto start = std::chrono::steady_clock::now();
        BOOST_TEST(site.chat("a").status == 200);
        BOOST_TEST((std::chrono::steady_clock::now() - start < 400ms));
        BOOST_TEST(!site.deployment.engine.runs.back().headers.contains("x-basilpoint-hold"));
        // Answers with another status than 200 and 503.
        site.deployment.engine.ignoresReservations = false;
        site.deployment.engine.room.reset();
        BOOST_TEST(site.chat("a").status == 200);
        site.deployment.end();
    });
}

// Guards against requests for reservations where the configuration does not call for them.
BOOST_AUTO_TEST_CASE(noReservationIsMadeUnlessTheConfigurationCallsForIt)
{
    inFiber([] {
        auto& site = *new Site(1);
        site.deployment.isResumable = false;
        site.deployment.putConfiguration(5, {});
        BOOST_REQUIRE(eventually([&] { return site.chat("a").status == 200 && !site.deployment.engine.runs.back().headers.contains("x-basilpoint-hold"); }));
        unsigned asked = site.deployment.engine.reservationRequests;
        BOOST_TEST(site.chat("a").status == 200);
        BOOST_TEST(site.deployment.engine.reservationRequests == asked);
        site.deployment.end();
    });
}

// Guards against waiting calls that a planned stop drops.
BOOST_AUTO_TEST_CASE(waitingCallIsServedInAPlannedStop)
{
    inFiber([] {
        auto& site = *new Site(0);
        int status = -1;
        spawnFiber([&] { status = site.chat("a").status; });
        pause(200ms);
        site.deployment.processes["a"]->signal(SIGTERM);
        pause(300ms);
        site.deployment.engine.room = 1;
        BOOST_REQUIRE(eventually([&] { return status != -1; }));
        BOOST_TEST(status == 200);
        site.deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
