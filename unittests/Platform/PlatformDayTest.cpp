#include "FakePlatform.h"

#include "../EndToEnd/Process.h"
#include "../Net/TestRuntime.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/HttpClient.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

using namespace basilpoint;
using namespace basilpoint::test;
using Json = nlohmann::json;

namespace {

/// A whole small deployment: two gateways and a keeper as processes of their own, before stand-ins.
class Deployment {
public:
    Deployment()
        : folder(std::filesystem::temp_directory_path() / ("basilpoint-day-" + std::to_string(::getpid())))
        , client(testRuntime().io())
        , store(testRuntime().io())
        , engine(testRuntime().io(), "i-engine", "models")
        , spare(testRuntime().io(), "i-spare", "models")
        , tool(testRuntime().io(), "i-tool", "tools")
    {
        std::filesystem::create_directories(folder);
        putConfiguration(3, {});
        for (const MiniTarget* it : { &engine, &tool })
            store.put("servers/" + it->id(), it->registration("ready"));
    }

    void end()
    {
        processes.clear();
        std::filesystem::remove_all(folder);
        // The program ends only once no fiber is left.
        store.stop();
        for (MiniTarget* it : { &engine, &spare, &tool })
            it->stop();
        pause(std::chrono::milliseconds(1'500));
    }

    void putConfiguration(int version, const std::vector<std::string>& morePrefixes)
    {
        Json routes = Json::array({ { { "name", "turns" }, { "host", "h.example" }, { "prefix", "/stream/" }, { "kind", "stream" }, { "timeoutMs", 4000 }, { "targetLatencyMs", 250 }, { "priority", 0 }, { "service", "models" }, { "maxAttempts", 2 }, { "stateful", true }, { "retainS", 60.0 } },
            { { "name", "pay" }, { "host", "h.example" }, { "prefix", "/pay/" }, { "kind", "non_idempotent" }, { "timeoutMs", 3000 }, { "service", "tools" }, { "maxAttempts", 1 } } });
        for (const std::string& prefix : morePrefixes)
            routes.push_back({ { "name", prefix }, { "host", "h.example" }, { "prefix", prefix }, { "kind", "idempotent" }, { "timeoutMs", 1000 }, { "service", "tools" } });
        Json services = Json::array({ { { "name", "models" }, { "healthPath", "/health" }, { "engine", { { "slots", 4 }, { "kvTokens", 1000 }, { "stride", 10 } } } }, { { "name", "tools" } } });
        store.put("op/config", Json { { "version", version }, { "routes", routes }, { "services", services }, { "limits", Json::object() } }.dump());
    }

    void start(const std::string& name, bool isGateway)
    {
        Instance& instance = instances[name];
        if (instance.callers == 0) {
            instance.callers = freePort();
            instance.readiness = freePort();
            instance.peers = freePort();
        }
        std::ofstream settings(folder / (name + ".conf"));
        settings << "node=" << name << "\nzone=z\nip=127.0.0.1\nprovider.addr=" << store.endpoint().text() << "\nportRange=" << instance.peers << "," << instance.peers
                 << "\nbounds.graceS=6\ntolerate.machines=0\nbootstrap=" << (instance.starts++ == 0 ? "true" : "false") << "\nserves=" << (isGateway ? "front" : "store") << "\n";
        if (isGateway)
            settings << "listen.front=127.0.0.1:" << instance.callers << "\nlisten.ready=127.0.0.1:" << instance.readiness << "\n";
        else
            settings << "dataDir=" << (folder / name).string() << "\n";
        settings.close();
        processes[name] = std::make_unique<Process>("basilpoint-platform", std::vector<std::string> { "--settings", (folder / (name + ".conf")).string() }, (folder / (name + ".log")).string());
    }

    int statusAt(unsigned port, const std::string& method, const std::string& target, HttpHeaders headers = {}, const std::string& body = {})
    {
        answer.clear();
        HttpCallOptions options;
        options.reuseConnection = false;
        options.readTimeout = std::chrono::seconds(4);
        options.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(4);
        headers["host"] = "h.example";
        headers.emplace("x-basilpoint-request-id", "call-" + std::to_string(++calls));
        try {
            HttpResponse response = client.call({ "127.0.0.1", static_cast<std::uint16_t>(port) }, { method, target, headers, body }, options);
            answer = response.body;
            answerHeaders = response.headers;
            return response.status;
        } catch (const TargetError&) {
            return 0;
        }
    }

    bool isReady(const std::string& name) { return statusAt(instances[name].readiness, "GET", "/-/ready") == 200; }

    int turn(const std::string& at, const std::string& id, const std::string& previous, const std::string& input, const std::string& program = "p1", int budget = 1000)
    {
        HttpHeaders headers { { "x-basilpoint-request-id", id }, { "x-basilpoint-deadline-ms", "3000" }, { "x-basilpoint-program-id", program }, { "x-basilpoint-session-id", "s" }, { "x-basilpoint-token-budget", std::to_string(budget) }, { "x-basilpoint-token-count", "50,40" } };
        if (!previous.empty())
            headers["x-basilpoint-previous-turn"] = previous;
        return statusAt(instances[at].callers, "POST", "/stream/x", headers, input);
    }

    struct Instance {
        unsigned callers = 0;
        unsigned readiness = 0;
        unsigned peers = 0;
        int starts = 0;
    };

    std::filesystem::path folder;
    HttpClient client;
    MiniStore store;
    MiniTarget engine;
    MiniTarget spare;
    MiniTarget tool;
    std::map<std::string, Instance> instances;
    std::map<std::string, std::unique_ptr<Process>> processes;
    std::string answer;
    HttpHeaders answerHeaders;
    int calls = 0;
};

/// Tries until \p condition holds, for ten seconds.
template <typename Condition>
bool eventually(Condition condition)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        pause(std::chrono::milliseconds(20));
    }
    return true;
}

void inFiber(const std::function<void()>& body)
{
    testRuntime().run(body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformDayTest)

BOOST_AUTO_TEST_CASE(wholeDayInMiniature)
{
    inFiber([] {
        // Fibers of the stand-ins use them until the process ends.
        auto& day = *new Deployment;
        day.start("keeper", false);
        day.start("a", true);
        day.start("b", true);
        BOOST_REQUIRE(eventually([&] { return day.isReady("a") && day.isReady("b"); }));
        BOOST_REQUIRE(eventually([&] { return day.store.has("daemons/keeper") && day.store.has("daemons/a") && day.store.has("daemons/b"); }));

        // Turns over two daemons: the engine gets the whole chain each time.
        BOOST_TEST(day.turn("a", "t1", "", "in1;") == 200);
        BOOST_TEST(day.answer == "id: one\ndata: one-t1\n\nid: two\ndata: two-t1\n\n");
        BOOST_TEST(day.answerHeaders["x-basilpoint-server-stamp"] == "stamp-i-engine");
        BOOST_TEST(day.turn("b", "t2", "t1", "in2;") == 200);
        BOOST_TEST(day.engine.runs.back().body == "in1;one-t1\ntwo-t1\nin2;");
        // Several turns may continue the same one.
        BOOST_TEST(day.turn("a", "t3", "t1", "in3;") == 200);
        BOOST_TEST(day.engine.runs.back().body == "in1;one-t1\ntwo-t1\nin3;");
        // Until the daemon knows the keepers it cannot be certain that a turn does not exist.
        BOOST_TEST(eventually([&] { return day.turn("a", "t4", "nothing", "in4;") == 404; }));
        BOOST_TEST(day.turn("b", "t5", "", "in5;", "small", 30) == 402);
        auto runs = day.engine.runs.size();

        // A tool call runs once; what no route allows is refused.
        BOOST_TEST(day.statusAt(day.instances["a"].callers, "POST", "/pay/1", {}, "12") == 200);
        BOOST_TEST(day.tool.runs.size() == 1U);
        BOOST_TEST(day.tool.runs.back().body == "12");
        BOOST_TEST(day.statusAt(day.instances["a"].callers, "GET", "/new/1") == 404);

        // A new configuration is in force everywhere within two seconds.
        day.putConfiguration(7, { "/new/" });
        pause(std::chrono::milliseconds(2'000));
        for (const char* it : { "a", "b" })
            BOOST_TEST(day.statusAt(day.instances[it].callers, "GET", "/new/1") == 200);

        // A leaving target gets nothing new.
        day.store.put("servers/" + day.spare.id(), day.spare.registration("ready"));
        day.store.put("servers/" + day.engine.id(), day.engine.registration("draining"));
        pause(std::chrono::milliseconds(500));
        BOOST_TEST(day.turn("b", "t6", "t2", "in6;") == 200);
        BOOST_TEST(day.engine.runs.size() == runs);
        BOOST_TEST(day.spare.runs.back().body == "in1;one-t1\ntwo-t1\nin2;one-t2\ntwo-t2\nin6;");

        // A killed daemon loses nothing.
        day.processes["b"]->signal(SIGKILL);
        BOOST_TEST(eventually([&] { return !day.processes["b"]->running(); }));
        BOOST_TEST(day.turn("a", "t7", "t6", "in7;") == 200);

        // While the store is down, a turn goes on and is kept on the keeper's disk.
        day.store.isDown = true;
        pause(std::chrono::milliseconds(600));
        BOOST_TEST(day.turn("a", "t8", "t7", "in8;") == 200);
        BOOST_TEST(!day.store.has("turns/t8"));
        // The daemon that holds it dies with the outage: the keeper has it, and brings it to the store.
        day.processes["a"]->signal(SIGKILL);
        BOOST_TEST(eventually([&] { return !day.processes["a"]->running(); }));
        day.store.isDown = false;
        day.start("b", true);
        BOOST_REQUIRE(eventually([&] { return day.isReady("b"); }));
        BOOST_TEST(eventually([&] { return day.turn("b", "t9", "t8", "in9;") == 200; }));
        BOOST_TEST(day.spare.runs.back().body.find("in8;one-t8\ntwo-t8\nin9;") != std::string::npos);
        BOOST_TEST(eventually([&] { return day.store.has("turns/t8"); }));

        // A planned stop: not ready at once, then a clean exit.
        day.processes["b"]->signal(SIGTERM);
        BOOST_TEST(eventually([&] { return !day.isReady("b"); }));
        BOOST_TEST(eventually([&] { return !day.processes["b"]->running(); }));
        BOOST_TEST(day.processes["b"]->exitStatus() == 0);
        BOOST_TEST(day.processes["b"]->log().find("\"event\":\"stop\"") != std::string::npos);
        day.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
