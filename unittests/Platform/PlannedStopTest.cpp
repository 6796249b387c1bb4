#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

// Times since the signal. The instance is killed after six seconds.
constexpr auto lateSending = 2'400ms;
constexpr auto endOfSlowBody = 4s;
constexpr auto payTimeout = 3s;
constexpr unsigned callers = 4;
const std::string body = "12345678";

/// Sends a payment whose body's second half comes after \p pauseInBody. \returns the whole answer; empty if the connection
/// ends without one.
std::string paySlowly(unsigned port, const std::string& id, std::chrono::milliseconds pauseInBody)
{
    asio::ip::tcp::socket socket(testRuntime().io());
    auto result = awaitIo([&](auto handler) { socket.async_connect({ asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port) }, std::move(handler)); });
    std::string head = fmt::format("POST /pay/1 HTTP/1.1\r\nhost: h.example\r\nx-basilpoint-request-id: {}\r\nx-basilpoint-deadline-ms: 4000\r\ncontent-length: {}\r\n\r\n", id, body.size());
    std::string parts[] { head + body.substr(0, body.size() / 2), body.substr(body.size() / 2) };
    for (const std::string& it : parts) {
        if (!result.ec)
            result = awaitIo([&](auto handler) { asio::async_write(socket, asio::buffer(it), std::move(handler)); });
        if (&it == &parts[0])
            pause(pauseInBody);
    }
    std::string answer;
    awaitIo([&](auto handler) { asio::async_read(socket, asio::dynamic_buffer(answer), std::move(handler)); });
    return answer;
}

int statusOf(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 ") ? std::stoi(answer.substr(std::string_view("HTTP/1.1 ").size())) : 0;
}

/// Stops a gateway, then sends payments late in the time that it has. \returns the answers, by the payments' ids.
std::map<std::string, std::string> payWhileStopping(Deployment& deployment, std::chrono::milliseconds pauseInBody)
{
    deployment.processes["a"]->signal(SIGTERM);
    pause(lateSending);
    std::map<std::string, std::string> answers;
    for (unsigned n = 0; n < callers; ++n)
        spawnFiber([&, id = fmt::format("late-{}", n)] {
            std::string answer = paySlowly(deployment.instances["a"].callers, id, pauseInBody);
            answers[id] = answer;
        });
    BOOST_REQUIRE(eventually([&] { return answers.size() == callers; }));
    return answers;
}

bool hasRun(const FakeTarget& target, const std::string& id)
{
    return std::any_of(target.runs.begin(), target.runs.end(), [&](const auto& it) { return it.call == id; });
}

} // namespace

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

// Guards against payments that are passed on when the process is about to end, which then cuts them.
BOOST_AUTO_TEST_CASE(requestWhoseBodyEndsLateInAPlannedStopIsRefusedUnlessItFits)
{
    inFiber([] {
        auto& deployment = *new Deployment;
        startAll(deployment, { { "keeper", defaultZone } });
        deployment.tool.delay = 1'500ms;
        for (const auto& [id, answer] : payWhileStopping(deployment, std::chrono::duration_cast<std::chrono::milliseconds>(endOfSlowBody - lateSending))) {
            BOOST_TEST(statusOf(answer) == 503, answer);
            BOOST_TEST(!hasRun(deployment.tool, id));
        }
        deployment.end();
    });
}

// Guards against requests that the end of the process leaves without an answer.
BOOST_AUTO_TEST_CASE(requestThatWouldOutlastAPlannedStopIsAnsweredBeforeItsEnd)
{
    inFiber([] {
        auto& deployment = *new Deployment;
        startAll(deployment, { { "keeper", defaultZone } });
        deployment.tool.delay = 4s;
        auto answers = payWhileStopping(deployment, 0ms);
        for (const auto& [id, answer] : answers) {
            BOOST_TEST((statusOf(answer) == 502 || statusOf(answer) == 504), answer);
            BOOST_TEST(hasRun(deployment.tool, id));
        }
        // The target gets the time that is left until then.
        for (const auto& run : deployment.tool.runs)
            BOOST_TEST(std::stoi(std::string(run.headers.at("x-basilpoint-deadline-ms"))) < std::chrono::duration_cast<std::chrono::milliseconds>(payTimeout).count() - 300);
        deployment.end();
    });
}

// Guards against targets that are handed time which the caller has spent on sending its request.
BOOST_AUTO_TEST_CASE(timeThatABodyTakesIsNotHandedOn)
{
    inFiber([] {
        auto& deployment = *new Deployment;
        startAll(deployment, { { "keeper", defaultZone } });
        BOOST_TEST(statusOf(paySlowly(deployment.instances["a"].callers, "slow", 1s)) == 200);
        BOOST_REQUIRE(!deployment.tool.runs.empty());
        BOOST_TEST(std::stoi(std::string(deployment.tool.runs.back().headers.at("x-basilpoint-deadline-ms"))) <= std::chrono::milliseconds(payTimeout - 1s).count());
        deployment.end();
    });
}

// Guards against turns that are cut because they wait for the store or for a keeper that stops as well.
BOOST_AUTO_TEST_CASE(requestsInAPlannedStopAreAnsweredWhileTheStoreIsAwayAndAKeeperStops)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        startAll(deployment, { { "k1", "z1" }, { "k2", "z2" }, { "k3", "z3" } });
        BOOST_REQUIRE(eventually([&] { return deployment.turn("a", "first", "", "in", "p") == 200; }));
        deployment.engine.delay = 700ms;
        deployment.tool.delay = 700ms;
        auto start = std::chrono::steady_clock::now();
        int sent = 0;
        std::vector<int> statuses;
        auto send = [&](const std::function<int()>& call) {
            ++sent;
            spawnFiber([&, call] { statuses.push_back(call()); });
        };
        for (int n = 0; std::chrono::steady_clock::now() - start < lateSending; ++n) {
            // One after the other, with requests in between.
            if (n == 2)
                deployment.store.isDown = true;
            if (n == 4)
                for (const char* it : { "a", "k1" })
                    deployment.processes[it]->signal(SIGTERM);
            std::string id = fmt::format("turn-{}", n);
            send([&, id, program = fmt::format("p{}", n)] { return deployment.turn("a", id, "", "in", program); });
            send([&, id] { return deployment.turn("a", id + "-next", "first", "in", "p"); });
            send([&] { return deployment.call(deployment.instances["a"].callers, "POST", "/pay/1", { { "x-basilpoint-deadline-ms", "3000" } }, body).status; });
            pause(200ms);
        }
        BOOST_REQUIRE(eventually([&] { return statuses.size() == static_cast<std::size_t>(sent); }));
        BOOST_TEST(std::count(statuses.begin(), statuses.end(), 0) == 0);
        BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) > 0);
        BOOST_TEST(eventually([&] { return !deployment.processes["a"]->running() && !deployment.processes["k1"]->running(); }));
        deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
