#include "CutDay.h"

#include <boost/test/data/test_case.hpp>
#include <csignal>

using namespace basilpoint;
using namespace basilpoint::test;
namespace data = boost::unit_test::data;

// Time within which a call that cannot be served is refused.
static constexpr auto refusalLimit = 400ms;

BOOST_AUTO_TEST_SUITE(CallRelayTest)

BOOST_AUTO_TEST_CASE(callsAreRefusedAtOnceWhenNoGatewayReachesATarget)
{
    inFiber([] {
        auto& day = *new CutDay;
        for (const char* it : { "a", "b" })
            day.cut(it, CutKind::Silent);
        day.serveFor(detectionLimit);
        unsigned runs = day.runs();
        for (unsigned n = 0; n < 10; ++n)
            for (const char* it : { "a", "b" }) {
                auto start = std::chrono::steady_clock::now();
                HttpResponse response = day.work(it);
                BOOST_TEST(response.status == 503);
                BOOST_TEST(!response.header("retry-after").empty());
                BOOST_TEST(day.turn(it) == 503);
                BOOST_TEST((std::chrono::steady_clock::now() - start < 2 * refusalLimit));
                pause(100ms);
            }
        BOOST_TEST(day.runs() == runs);
        for (const char* it : { "a", "b" })
            BOOST_TEST(!day.deployment.isReady(it));
        for (const char* it : { "a", "b" })
            day.heal(it);
        BOOST_TEST(eventually([&] { return day.deployment.isReady("a") && day.deployment.isReady("b"); }, 3s));
        auto counts = day.serveFor(1s);
        for (const char* it : { "a", "b" })
            BOOST_TEST(counts[it].served == counts[it].tried);
        day.checkRuns();
        day.end();
    });
}

// Its callers' history and budgets hold whichever way the turns go.
BOOST_AUTO_TEST_CASE(turnsOfAGatewayThatIsCutOffKeepTheirHistoryAndBudget)
{
    inFiber([] {
        auto& day = *new CutDay;
        Deployment& deployment = day.deployment;
        day.cut("a", CutKind::Silent);
        day.serveFor(detectionLimit);
        std::string chain;
        std::string previous;
        const int turnsInBudget = 4;
        const int budget = 20 * turnsInBudget + 20;
        for (int n = 0; n < turnsInBudget; ++n) {
            std::string id = fmt::format("chain-{}", n);
            std::string input = fmt::format("in-{};", n);
            BOOST_TEST(deployment.turn(n % 3 == 2 ? "b" : "a", id, previous, input, "chain", budget) == 200);
            chain += input;
            for (FakeTarget* it : { &deployment.engine, &deployment.spare })
                for (const auto& run : it->runs)
                    BOOST_TEST((run.call != id || run.body == chain), run.body);
            chain += fmt::format("one-{0}\ntwo-{0}\n", id);
            previous = id;
        }
        BOOST_TEST(deployment.turn("a", "chain-over", previous, "in;", "chain", budget) == 402);
        day.checkRuns();
        day.end();
    });
}

BOOST_DATA_TEST_CASE(nonIdempotentCallsRunOnceWhileCutsComeAndGo, data::make(allKinds), kind)
{
    inFiber([kind] {
        auto& day = *new CutDay;
        auto end = std::chrono::steady_clock::now() + 5s;
        unsigned served = 0;
        for (unsigned n = 0; n < 4; ++n)
            day.startPayer("a", end, served);
        for (bool isCut = false; std::chrono::steady_clock::now() < end; isCut = !isCut) {
            isCut ? day.heal("a") : day.cut("a", kind);
            pause(900ms);
        }
        day.awaitCallers();
        BOOST_TEST(served > 50U);
        day.checkRuns();
        day.end();
    });
}

// A relay that is killed may have run what it was given; the calls after that go through another one.
BOOST_AUTO_TEST_CASE(callsGoThroughAnotherGatewayWhenTheirRelayIsKilled)
{
    inFiber([] {
        auto& day = *new CutDay({ "a", "b", "c" });
        day.cut("a", CutKind::Silent);
        day.serveFor(detectionLimit);
        auto end = std::chrono::steady_clock::now() + 4s;
        CutDay::Count count;
        for (bool isTurn : { false, true })
            day.startCaller("a", isTurn, end, count);
        pause(500ms);
        BOOST_TEST(day.deployment.kill("b"));
        pause(1s);
        day.deployment.start("b", true);
        day.awaitCallers();
        BOOST_TEST(count.isServed(), count.served << " of " << count.tried);
        BOOST_TEST(count.tried > 100U);
        day.checkRuns();
        day.end();
    });
}

BOOST_AUTO_TEST_CASE(plannedStopOfARelayCutsNothing)
{
    inFiber([] {
        auto& day = *new CutDay({ "a", "b", "c" });
        for (FakeTarget* it : day.targets())
            it->delay = 150ms;
        day.cut("a", CutKind::Silent);
        day.serveFor(detectionLimit);
        auto end = std::chrono::steady_clock::now() + 9s;
        CutDay::Count count;
        for (int n = 0; n < 3; ++n)
            for (bool isTurn : { false, true })
                day.startCaller("a", isTurn, end, count);
        pause(500ms);
        day.deployment.processes["b"]->signal(SIGTERM);
        BOOST_TEST(eventually([&] { return !day.deployment.processes["b"]->running(); }));
        BOOST_TEST(day.deployment.processes["b"]->exitStatus() == 0);
        day.awaitCallers();
        BOOST_TEST(count.served == count.tried);
        day.checkRuns();
        day.end();
    });
}

// The gateway's connections are lost and new ones refused, as if its targets had ended again and again.
BOOST_AUTO_TEST_CASE(soundRequestsAreNotQuarantinedByCuts)
{
    inFiber([] {
        auto& day = *new CutDay;
        for (FakeTarget* it : day.targets())
            it->delay = 200ms;
        auto end = std::chrono::steady_clock::now() + 6s;
        unsigned denied = 0;
        for (unsigned n = 0; n < 6; ++n) {
            ++day.callers;
            spawnFiber([&] {
                while (std::chrono::steady_clock::now() < end)
                    denied += day.work("a", "sound").status == 400 ? 1 : 0;
                --day.callers;
            });
        }
        while (std::chrono::steady_clock::now() < end) {
            pause(300ms);
            day.cut("a", CutKind::Reset);
            pause(500ms);
            day.heal("a");
        }
        day.awaitCallers();
        BOOST_TEST(denied == 0U);
        for (const char* it : { "a", "b" })
            BOOST_TEST(eventually([&] { return day.work(it, "sound").status == 200; }, 2s));
        BOOST_TEST(!day.hasLogged("a", "request-suspected"));
        day.end();
    });
}

BOOST_AUTO_TEST_CASE(limitsOfTargetsAreUsedUpWhileAGatewayIsCutOff)
{
    inFiber([] {
        auto& day = *new CutDay;
        const double perSecond = 6;
        std::vector<FakeTarget*> tools { &day.deployment.tool, day.deployment.moreTools[0].get(), day.deployment.moreTools[1].get() };
        for (FakeTarget* it : tools)
            it->answerHeaders["server-limit"] = std::to_string(perSecond);
        day.cut("a", CutKind::Silent);
        day.serveFor(detectionLimit);
        unsigned before = day.runs();
        auto start = std::chrono::steady_clock::now();
        CutDay::Count count;
        for (const char* it : { "a", "b" })
            for (int n = 0; n < 2; ++n)
                day.startCaller(it, false, start + 4s, count);
        day.awaitCallers();
        double allowed = static_cast<double>(tools.size()) * perSecond * std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        BOOST_TEST(day.runs() - before >= 0.75 * allowed);
        // The users' limit is one and a half times what targets allow, and five calls for each.
        BOOST_TEST(day.runs() - before <= 1.5 * allowed + 5.0 * static_cast<double>(tools.size()));
        day.end();
    });
}

BOOST_AUTO_TEST_CASE(callerThatLeavesEndsTheWorkAtTheTarget)
{
    inFiber([] {
        auto& day = *new CutDay;
        day.cut("a", CutKind::Silent);
        day.serveFor(detectionLimit);
        for (FakeTarget* it : day.targets())
            it->delay = 3s;
        HttpClient client(testRuntime().io());
        HttpCallOptions options;
        options.deadline = std::chrono::steady_clock::now() + 300ms;
        Endpoint gateway { "127.0.0.1", static_cast<std::uint16_t>(day.deployment.instances["a"].callers) };
        BOOST_CHECK_THROW(client.call(gateway, { "POST", "/stream/x", { { "host", "h.example" }, { "x-basilpoint-request-id", "left" }, { "x-basilpoint-deadline-ms", "3000" }, { "x-basilpoint-program-id", "left" }, { "x-basilpoint-session-id", "s" } }, "in;" }, options), TargetError);
        BOOST_TEST(eventually([&] { return day.deployment.engine.abandoned + day.deployment.spare.abandoned == 1; }, 1s));
        day.end();
    });
}

// It accepts calls of its own callers as well until the load balancer has taken it out of rotation.
BOOST_AUTO_TEST_CASE(onlyRelayTakesCallsDuringItsPlannedStop)
{
    inFiber([] {
        auto& day = *new CutDay;
        day.cut("a", CutKind::Silent);
        day.serveFor(detectionLimit);
        day.deployment.processes["b"]->signal(SIGTERM);
        auto end = std::chrono::steady_clock::now() + 2s;
        CutDay::Count count;
        for (bool isTurn : { false, true })
            day.startCaller("a", isTurn, end, count);
        day.awaitCallers();
        BOOST_TEST(count.served == count.tried, count.served << " of " << count.tried);
        BOOST_TEST(eventually([&] { return !day.deployment.processes["b"]->running(); }));
        BOOST_TEST(day.deployment.processes["b"]->exitStatus() == 0);
        day.checkRuns();
        day.end();
    });
}

BOOST_AUTO_TEST_CASE(relayIsNotBlamedForStreamsThatItsTargetsBreakOff)
{
    inFiber([] {
        auto& day = *new CutDay;
        day.cut("a", CutKind::Silent);
        day.serveFor(detectionLimit);
        day.deployment.engine.breaksStreams = true;
        auto end = std::chrono::steady_clock::now() + 3s;
        std::map<int, unsigned> statuses;
        while (std::chrono::steady_clock::now() < end)
            ++statuses[day.turn("a")];
        // The other engine serves whole streams.
        BOOST_TEST(statuses[0] > 0U);
        BOOST_TEST(statuses[200] > 20U);
        BOOST_TEST(statuses[503] == 0U);
        day.checkRuns();
        day.end();
    });
}

// The time in which it did not run is no silence of its targets.
BOOST_AUTO_TEST_CASE(gatewayThatWasPausedDoesNotTakeItselfForCutOff)
{
    inFiber([] {
        auto& day = *new CutDay;
        for (FakeTarget* it : day.targets())
            it->delay = 300ms;
        auto end = std::chrono::steady_clock::now() + 6s;
        CutDay::Count count;
        for (int n = 0; n < 4; ++n)
            for (bool isTurn : { false, true })
                day.startCaller("a", isTurn, end, count);
        for (int n = 0; n < 3; ++n) {
            pause(500ms);
            day.deployment.processes["a"]->signal(SIGSTOP);
            pause(1'200ms);
            day.deployment.processes["a"]->signal(SIGCONT);
        }
        day.awaitCallers();
        pause(500ms);
        BOOST_TEST(!day.hasLogged("a", "\"cut-off\""));
        day.checkRuns();
        day.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
