#include "Deployment.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

namespace {

// The fake engine answers a turn with two events of ten tokens each.
constexpr int tokensOfTurn = 20;
constexpr int maxTokensOfTurn = 40;
// Turns that a loop makes at most; far more than any budget here allows.
constexpr int loopLimit = 40;

/// Two gateways and a program on a route that keeps no turns.
class ChatDay {
public:
    explicit ChatDay(unsigned toleratedLosses = 0)
        : deployment(*new Deployment(toleratedLosses))
    {
        startAll(deployment, { { "keeper", defaultZone } });
        pause(500ms);
    }

    int turn(const std::string& at, int budget, const std::string& program = "p1")
    {
        std::string id = "chat-" + std::to_string(++m_turns);
        HttpHeaders headers { { "x-basilpoint-request-id", id }, { "x-basilpoint-deadline-ms", "3000" }, { "x-basilpoint-program-id", program }, { "x-basilpoint-session-id", "s" }, { "x-basilpoint-token-budget", std::to_string(budget) }, { "x-basilpoint-token-count", "50,40" } };
        int status = deployment.statusAt(deployment.instances[at].callers, "POST", "/chat/stream/x", headers, "whole prompt");
        if (status == 200)
            delivered[program] += tokensOfTurn;
        bool hasRun = std::any_of(deployment.engine.runs.begin(), deployment.engine.runs.end(), [&](const auto& it) { return it.call == id; });
        BOOST_TEST((status != 402 || !hasRun), "a turn with status 402 has run");
        return status;
    }

    /// Makes turns through the gateways by turns. \returns the turns until the first 402; \ref loopLimit if there was none.
    int loop(const std::vector<std::string>& gateways, int budget, const std::string& program = "p1")
    {
        for (int n = 0; n < loopLimit; ++n) {
            if (turn(gateways[static_cast<std::size_t>(n) % gateways.size()], budget, program) == 402)
                return n;
        }
        return loopLimit;
    }

    // Never deleted, since fibers of the fakes use it until the process ends.
    Deployment& deployment;
    std::map<std::string, int> delivered;

private:
    int m_turns = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UnkeptTurnsTest)

// Guards against budgets that are not kept on routes without kept turns: programs in a loop then never end.
BOOST_AUTO_TEST_CASE(programThatLoopsThroughTwoGatewaysIsToldThatItsBudgetIsSpent)
{
    inFiber([] {
        auto& day = *new ChatDay;
        constexpr int budget = 200;
        BOOST_TEST(day.loop({ "a", "b" }, budget) < loopLimit);
        BOOST_TEST(day.delivered["p1"] <= budget + maxTokensOfTurn);
        // What is left is less than one turn may need, once all turns are settled.
        pause(1'500ms);
        // Bounded, so that the case ends if no budget is kept; a failed requirement would leave its processes running.
        for (int n = 0; n < loopLimit && day.turn("a", budget) == 200;)
            ++n;
        BOOST_TEST(day.delivered["p1"] > budget - maxTokensOfTurn);
        BOOST_TEST(day.delivered["p1"] <= budget);
        BOOST_TEST(day.turn("b", budget) == 402);
        // Another program is not affected.
        BOOST_TEST(day.turn("b", budget, "p2") == 200);
        day.deployment.end();
    });
}

// Guards against accounts that end with the process, or holds that are given out twice.
BOOST_AUTO_TEST_CASE(budgetOutlivesAKilledGateway)
{
    inFiber([] {
        auto& day = *new ChatDay;
        constexpr int budget = 300;
        for (int n = 0; n < 5; ++n)
            BOOST_TEST(day.turn("a", budget) == 200);
        pause(1'500ms);
        BOOST_REQUIRE(day.deployment.kill("a"));
        day.deployment.start("a", true);
        BOOST_REQUIRE(eventually([&] { return day.deployment.isReady("a"); }));
        BOOST_TEST(day.loop({ "a", "b" }, budget) < loopLimit);
        BOOST_TEST(day.delivered["p1"] <= budget + maxTokensOfTurn);
        day.deployment.end();
    });
}

// Guards against a budget that is unlimited, or a program that is refused at once, while the store is out of reach.
BOOST_AUTO_TEST_CASE(budgetIsKeptWhileTheStoreIsDown)
{
    inFiber([] {
        auto& day = *new ChatDay;
        constexpr int budget = 200;
        BOOST_TEST(day.turn("a", budget) == 200);
        day.deployment.store.isDown = true;
        for (int n = 0; n < loopLimit; ++n)
            day.turn(n % 2 == 0 ? "a" : "b", budget);
        BOOST_TEST(day.delivered["p1"] > tokensOfTurn);
        BOOST_TEST(day.delivered["p1"] <= budget + maxTokensOfTurn);
        day.deployment.store.isDown = false;
        BOOST_TEST(eventually([&] { return day.turn("a", budget) == 402 || day.turn("b", budget) == 402; }));
        BOOST_TEST(day.delivered["p1"] <= budget + maxTokensOfTurn);
        day.deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
