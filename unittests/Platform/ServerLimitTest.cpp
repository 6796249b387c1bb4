#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

namespace {

using Time = std::chrono::steady_clock::time_point;

constexpr double limitPerSecond = 3;
// The platform's rule: in some four seconds, from three seconds after the target first named its limit, it gets at most one
// and a half times what the limit allows, and five calls.
constexpr auto settlingTime = 3s;
constexpr auto window = 4s;
constexpr double maxCallsInWindow = 1.5 * limitPerSecond * 4 + 5;

/// Three gateways before three tool services, with callers that send more than a limited service takes.
class LimitDay {
public:
    LimitDay()
        : deployment(*new Deployment(0, 2))
    {
        deployment.putConfiguration(5, { "/work/" });
        startAll(deployment, { { "keeper", defaultZone } });
        deployment.start("c", true);
        BOOST_REQUIRE(eventually([&] { return deployment.isReady("c") && deployment.store.has("daemons/c"); }));
        pause(500ms);
    }

    /// Names a limit in all answers of \p target from now on; none if it is zero.
    void limit(FakeTarget& target, double perSecond)
    {
        target.answerHeaders.clear();
        if (perSecond > 0)
            target.answerHeaders["server-limit"] = std::to_string(perSecond);
    }

    /// Starts callers that send calls in turn through the gateways until the day ends.
    void startCallers(unsigned count)
    {
        for (unsigned caller = 0; caller < count; ++caller)
            spawnFiber([this, caller] {
                ++callers;
                for (unsigned n = caller; !isOver; ++n) {
                    auto start = std::chrono::steady_clock::now();
                    int status = deployment.call(deployment.instances[gateways[n % 3]].callers, "POST", "/work/x", { { "x-basilpoint-program-id", "p" + std::to_string(caller) }, { "x-basilpoint-deadline-ms", "1000" } }, "body").status;
                    auto& calls = status == 200 ? served : status == 503 ? refused
                                                                         : failed;
                    calls.push_back(start);
                    longestRefusal = std::max(longestRefusal, status == 503 ? std::chrono::steady_clock::now() - start : 0s);
                    pause(80ms);
                }
                --callers;
            });
    }

    void end()
    {
        isOver = true;
        BOOST_TEST(eventually([&] { return callers == 0; }));
        deployment.end();
    }

    // Never deleted, since fibers of the fakes use it until the process ends.
    Deployment& deployment;
    std::vector<std::string> gateways { "a", "b", "c" };
    bool isOver = false;
    unsigned callers = 0;
    std::vector<Time> served;
    std::vector<Time> refused;
    std::vector<Time> failed;
    std::chrono::nanoseconds longestRefusal { 0 };
};

std::size_t runsIn(const FakeTarget& target, Time from, Time to)
{
    return static_cast<std::size_t>(std::count_if(target.runs.begin(), target.runs.end(), [&](const auto& it) { return it.at >= from && it.at < to; }));
}

std::size_t mostRunsInWindow(const FakeTarget& target, Time from)
{
    std::size_t most = 0;
    for (const auto& it : target.runs)
        if (it.at >= from)
            most = std::max(most, runsIn(target, it.at, it.at + window));
    return most;
}

std::size_t callsSince(const std::vector<Time>& calls, Time from)
{
    return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [&](Time it) { return it >= from; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLimitTest)

BOOST_AUTO_TEST_CASE(targetThatNamesALimitGetsNoMoreFromAllGatewaysTogether)
{
    inFiber([] {
        auto& day = *new LimitDay;
        day.startCallers(10);
        FakeTarget& limited = day.deployment.tool;
        day.limit(limited, limitPerSecond);
        Time start = std::chrono::steady_clock::now();
        pause(settlingTime + 5s);
        // The limit holds while the store is down as well.
        day.deployment.store.isDown = true;
        pause(4s);
        day.deployment.store.isDown = false;
        BOOST_TEST(static_cast<double>(mostRunsInWindow(limited, start + settlingTime)) <= maxCallsInWindow);
        // What the limit allows is used.
        BOOST_TEST(static_cast<double>(runsIn(limited, start + settlingTime, start + settlingTime + 8s)) >= 0.6 * limitPerSecond * 8);
        BOOST_TEST(callsSince(day.refused, start) == 0U);
        BOOST_TEST(day.failed.empty());
        // Once it names none, it is used as before.
        day.limit(limited, 0);
        pause(3s);
        Time ended = std::chrono::steady_clock::now();
        pause(2s);
        BOOST_TEST(runsIn(limited, ended, ended + 2s) > 3 * limitPerSecond * 2);
        day.end();
    });
}

// With all targets limited, what exceeds their limits is refused at once, and has not run.
BOOST_AUTO_TEST_CASE(callsBeyondTheLimitsOfAllTargetsAreRefusedAtOnce)
{
    inFiber([] {
        auto& day = *new LimitDay;
        day.startCallers(10);
        Time start = std::chrono::steady_clock::now();
        std::vector<FakeTarget*> tools { &day.deployment.tool };
        for (const auto& it : day.deployment.moreTools)
            tools.push_back(it.get());
        for (FakeTarget* it : tools)
            day.limit(*it, limitPerSecond);
        pause(settlingTime + 8s);
        for (FakeTarget* it : tools) {
            BOOST_TEST(static_cast<double>(mostRunsInWindow(*it, start + settlingTime)) <= maxCallsInWindow);
            BOOST_TEST(static_cast<double>(runsIn(*it, start + settlingTime, start + settlingTime + 8s)) >= 0.6 * limitPerSecond * 8);
        }
        BOOST_TEST(callsSince(day.refused, start + settlingTime) > 100U);
        BOOST_TEST(day.failed.empty());
        BOOST_TEST((day.longestRefusal < 100ms));
        day.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
