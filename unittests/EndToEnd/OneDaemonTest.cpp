#include "Caller.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

using namespace basilpoint;
using namespace basilpoint::test;
using Json = nlohmann::json;

static constexpr unsigned answerTokens = 16;
static constexpr Milliseconds testTimeout { 20'000 };

static void startSingleDaemon(TestFleet& fleet)
{
    BOOST_REQUIRE(fleet.apply(fleet.document()) == 0);
    requireEventually(
        fleet, [&] { return fleet.allReady() && fleet.state(0)["environments"].contains("test"); }, testTimeout);
}

BOOST_AUTO_TEST_SUITE(OneDaemonTest)

BOOST_AUTO_TEST_CASE(eachConcurrentCallerGetsItsOwnCompleteAnswer)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, { 1, 2, { "--token-ms", "1" }, {}, 0 });
        startSingleDaemon(fleet);
        static constexpr unsigned callers = 100;
        unsigned done = 0;
        std::set<std::string> labels;
        for (unsigned n = 0; n < callers; ++n) {
            spawnFiber([&, n] {
                Caller caller(client, fleet, n);
                std::string program = caller.open("open-" + std::to_string(n));
                for (unsigned turn = 0; turn < 3; ++turn) {
                    std::string content = caller.chat(program, "turn-" + std::to_string(turn), "question " + std::to_string(n));
                    BOOST_TEST(isCompleteAnswer(content, answerTokens), content);
                    labels.insert(labelOf(content));
                }
                ++done;
            });
        }
        requireEventually(
            fleet, [&] { return done == callers; }, testTimeout);
        // The label identifies the prompt: as many labels as prompts means that no answer went to another caller.
        BOOST_TEST(labels.size() == callers * 3);
    });
}

BOOST_AUTO_TEST_CASE(concurrentRepeatsOfANonIdempotentCallRunOnce)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, { 1, 1, {}, { "--tool-ms", "50" }, 0 });
        startSingleDaemon(fleet);
        Caller caller(client, fleet, 1);
        std::string program = caller.open("open");
        unsigned done = 0;
        for (unsigned n = 0; n < 10; ++n) {
            spawnFiber([&] {
                BOOST_TEST((caller.pay(program, "payout-1") == ToolResult::Ran));
                ++done;
            });
        }
        BOOST_REQUIRE(eventually([&] { return done == 10; }, testTimeout));
        BOOST_TEST(fleet.effects() == Json({ { "payout-1", 1 } }));
    });
}

BOOST_AUTO_TEST_CASE(callThatReachesNoTargetIsReportedNotRunAndCanBeRetried)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, { 1, 1, {}, {}, 0 });
        Json document = fleet.document();
        document["tools"][0]["addresses"] = Json::array({ "127.0.0.1:" + std::to_string(freePort()) });
        BOOST_REQUIRE(fleet.apply(document) == 0);
        BOOST_REQUIRE(eventually([&] { return fleet.allReady() && fleet.state(0)["environments"].contains("test"); }, testTimeout));
        Caller caller(client, fleet, 1);
        std::string program = caller.open("open");
        BOOST_TEST((caller.pay(program, "payout-1") == ToolResult::NotRun));
        BOOST_REQUIRE(fleet.apply(fleet.document()) == 0);
        BOOST_REQUIRE(eventually([&] { return fleet.state(0)["environments"]["test"]["revision"] == 2; }, testTimeout));
        BOOST_TEST((caller.pay(program, "payout-1") == ToolResult::Ran));
        BOOST_TEST(fleet.effects() == Json({ { "payout-1", 1 } }));
    });
}

BOOST_AUTO_TEST_CASE(hangingToolCallHasUnknownOutcomeAndIsNeverResent)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, { 1, 1, {}, {}, 0 });
        Json document = fleet.document();
        document["tools"][0]["timeoutMilliseconds"] = 200;
        BOOST_REQUIRE(fleet.apply(document) == 0);
        requireEventually(
            fleet, [&] { return fleet.allReady() && fleet.state(0)["environments"].contains("test"); }, testTimeout);
        Caller caller(client, fleet, 1);
        std::string program = caller.open("open");
        fleet.setFault(fleet.tool(), { { "hang", true } });
        BOOST_TEST((caller.pay(program, "payout-1") == ToolResult::Unknown));
        fleet.setFault(fleet.tool(), { { "hang", false } });
        BOOST_TEST((caller.pay(program, "payout-1") == ToolResult::Unknown));
        BOOST_TEST(fleet.effects() == Json::object());
        BOOST_TEST((caller.pay(program, "payout-2") == ToolResult::Ran));
        caller.close(program);
    });
}

BOOST_AUTO_TEST_CASE(lostToolAnswerIsQueriedByKeyWhereTheToolSupportsIt)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, { 1, 1, {}, {}, 0 });
        Json document = fleet.document();
        document["tools"][0]["askableByKey"] = true;
        BOOST_REQUIRE(fleet.apply(document) == 0);
        requireEventually(
            fleet, [&] { return fleet.allReady() && fleet.state(0)["environments"].contains("test"); }, testTimeout);
        Caller caller(client, fleet, 1);
        std::string program = caller.open("open");
        fleet.setFault(fleet.tool(), { { "loseAnswers", 1 } });
        BOOST_TEST((caller.pay(program, "payout-1") == ToolResult::Ran));
        BOOST_TEST((caller.pay(program, "payout-1") == ToolResult::Ran));
        BOOST_TEST(fleet.effects() == Json({ { "payout-1", 1 } }));
    });
}

BOOST_AUTO_TEST_CASE(malformedRequestsGetTypedErrorsAndTheDaemonKeepsRunning)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, { 1, 1, {}, {}, 0 });
        startSingleDaemon(fleet);
        Caller caller(client, fleet, 1);
        std::string program = caller.open("open");
        std::string deeplyNested(100'000, '[');
        std::vector<HttpRequest> requests {
            { "POST", "/v1/programs", {}, "{" },
            { "POST", "/v1/programs", {}, "{\"environment\":7}" },
            { "POST", "/v1/programs", {}, "{\"environment\":\"nowhere\"}" },
            { "POST", "/v1/programs", { { "idempotency-key", std::string(300, 'k') } }, "{\"environment\":\"test\"}" },
            { "POST", "/v1/programs", {}, deeplyNested },
            { "POST", "/v1/chat/completions", {}, "{}" },
            { "POST", "/v1/chat/completions", { { "basilpoint-program", "no such id" } }, "{}" },
            { "POST", "/v1/chat/completions", { { "basilpoint-program", program } }, "{\"model\":\"m\",\"messages\":{}}" },
            { "POST", "/v1/chat/completions", { { "basilpoint-program", program } }, "{\"model\":\"m\",\"messages\":[]}" },
            { "POST", "/v1/chat/completions", { { "basilpoint-program", program } }, "{\"model\":\"x\",\"messages\":[{}]}" },
            { "POST", "/v1/chat/completions", { { "basilpoint-program", program } }, "{\"model\":\"m\",\"max_tokens\":-1,\"messages\":[{}]}" },
            { "POST", "/v1/chat/completions", { { "basilpoint-program", program }, { "last-event-id", "x" } }, "{\"model\":\"m\",\"messages\":[{}]}" },
            { "POST", "/v1/programs/" + program + "/tools/pay", {}, "{}" },
            { "POST", "/v1/programs/" + program + "/tools/none", { { "idempotency-key", "k" } }, "{}" },
            { "GET", "/v1/programs/99-1-abc", {}, {} },
            { "GET", "/v1/programs/0-1-abc", {}, {} },
            { "PATCH", "/v1/programs", {}, {} },
            { "GET", "/", {}, {} },
        };
        for (const HttpRequest& request : requests) {
            HttpResponse response = caller.send(request);
            Json problem = Json::parse(response.body, nullptr, false);
            BOOST_TEST(response.status / 100 == 4, request.target + request.body.substr(0, 60) + response.body);
            BOOST_TEST(problem.value("executed", "") == "no", response.body);
            BOOST_TEST(problem.value("type", "").starts_with("urn:basilpoint:"), response.body);
        }
        BOOST_TEST(isCompleteAnswer(caller.chat(program, "turn", "still here?"), answerTokens));
    });
}

BOOST_AUTO_TEST_CASE(plannedStopCompletesTheRunningAnswer)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, { 1, 1, { "--token-ms", "50" }, {}, 0 });
        startSingleDaemon(fleet);
        Caller caller(client, fleet, 1);
        std::string program = caller.open("open");
        std::string content;
        bool answered = false;
        spawnFiber([&] {
            content = caller.chat(program, "turn", "long answer");
            answered = true;
        });
        BOOST_REQUIRE(eventually([&] { return fleet.state(0).value("runningTurns", 0) == 1; }, testTimeout));
        fleet.daemon(0).signal(SIGTERM);
        requireEventually(
            fleet, [&] { return !fleet.daemon(0).running(); }, testTimeout);
        BOOST_TEST(fleet.daemon(0).exitStatus() == 0);
        // The caller's fiber may read the last bytes after the daemon has exited.
        BOOST_REQUIRE(eventually([&] { return answered; }, testTimeout));
        BOOST_TEST(isCompleteAnswer(content, answerTokens), content);
        BOOST_TEST(caller.retries() == 0U);
    });
}

BOOST_AUTO_TEST_CASE(programsAreRecoveredFromTheJournalOnDiskAfterAKill)
{
    runInFiber([](HttpClient& client) {
        TestFleet fleet(client, { 1, 1, {}, {}, 1 });
        startSingleDaemon(fleet);
        Caller caller(client, fleet, 1);
        std::string program = caller.open("open");
        std::string first = caller.chat(program, "turn-1", "first");
        BOOST_TEST((caller.pay(program, "payout-1") == ToolResult::Ran));
        Json before = caller.show(program);
        fleet.daemon(0).signal(SIGKILL);
        BOOST_REQUIRE(eventually([&] { return !fleet.daemon(0).running(); }, testTimeout));
        fleet.startDaemon(0);
        requireEventually(
            fleet, [&] { return fleet.allReady(); }, testTimeout);
        BOOST_TEST(caller.show(program) == before);
        BOOST_TEST(caller.chat(program, "turn-1", "first") == first);
        BOOST_TEST((caller.pay(program, "payout-1") == ToolResult::Ran));
        BOOST_TEST(fleet.effects() == Json({ { "payout-1", 1 } }));
        BOOST_TEST(isCompleteAnswer(caller.chat(program, "turn-2", "second"), answerTokens));
    });
}

BOOST_AUTO_TEST_SUITE_END()
