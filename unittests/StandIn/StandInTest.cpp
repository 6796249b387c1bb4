#include "StandIn.h"
#include "KeyValueState.h"
#include "TestRuntime.h"

#include "basilpoint/Net/Errors.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace basilpoint;
using Json = nlohmann::json;

namespace {

// Collects the response body that a handler writes.
class RecordingWriter final : public ResponseWriter {
public:
    void send(const HttpResponse& response) override
    {
        body = response.body;
        m_started = true;
    }
    void begin(int, const HttpHeaders&) override { m_started = true; }
    void write(std::string_view chunk) override { body += chunk; }
    void end() override { }
    bool started() const override { return m_started; }

    std::string body;

private:
    bool m_started = false;
};

struct Service {
    std::string call(const std::string& method, const std::string& path, const std::string& body = "", const HttpHeaders& headers = {})
    {
        RecordingWriter writer;
        handler({ method, path, headers, body }, writer);
        return writer.body;
    }

    Json json(const std::string& method, const std::string& path, const std::string& body = "", const HttpHeaders& headers = {})
    {
        return Json::parse(call(method, path, body, headers));
    }

    HttpServer::Handler handler;
};

ManualClock manualClock;

standin::StandInSettings settingsWithoutDelays()
{
    standin::StandInSettings settings;
    settings.prefillPerThousand = settings.perToken = settings.toolDelay = Milliseconds(0);
    return settings;
}

} // namespace

static void inFiber(const std::function<void()>& body)
{
    testRuntime().run(body);
}

BOOST_AUTO_TEST_SUITE(StandInTest)

BOOST_AUTO_TEST_CASE(engineCachesPromptsByProgramWithinItsCapacity)
{
    inFiber([] {
        auto settings = settingsWithoutDelays();
        settings.cacheTokens = 100;
        Service engine { standin::makeEngine(testRuntime().io(), manualClock, settings) };
        const std::string prompt = R"({"max_tokens":1,"messages":["0123456789012345678901234567890123456789012345678901234567890123456789"]})";
        auto cachedFor = [&](const std::string& program) {
            return engine.json("POST", "/v1/chat/completions", prompt, { { "basilpoint-program", program } })["usage"]["prompt_tokens_details"]["cached_tokens"].get<int>();
        };
        BOOST_TEST(cachedFor("a") == 0);
        BOOST_TEST(cachedFor("a") > 0);
        for (const char* program : { "b", "c", "d", "e", "f" })
            cachedFor(program);
        BOOST_TEST(cachedFor("a") == 0);
        BOOST_TEST(engine.json("GET", "/cache").size() < 6U);
        engine.call("POST", "/orders", R"({"kind":"release","program":"a","fencing":1})");
        BOOST_TEST(!engine.json("GET", "/cache").contains("a"));
    });
}

BOOST_AUTO_TEST_CASE(engineRefusesOldFencingNumbersOnlyIfItHonoursThem)
{
    auto settings = settingsWithoutDelays();
    Service enforcing { standin::makeEngine(testRuntime().io(), manualClock, settings) };
    settings.honoursFencing = false;
    Service ignoring { standin::makeEngine(testRuntime().io(), manualClock, settings) };
    for (Service* engine : { &enforcing, &ignoring })
        engine->call("POST", "/orders", R"({"kind":"role","fencing":7})");
    BOOST_CHECK_THROW(enforcing.call("POST", "/orders", R"({"kind":"role","fencing":6})"), Error);
    ignoring.call("POST", "/orders", R"({"kind":"role","fencing":6})");
    BOOST_TEST(enforcing.json("GET", "/orders").size() == 1U);
    BOOST_TEST(ignoring.json("GET", "/orders").size() == 2U);
}

BOOST_AUTO_TEST_CASE(loadReportsAndInstanceListsAreDelayed)
{
    auto settings = settingsWithoutDelays();
    settings.lag = Milliseconds(1'000);
    Service platform { standin::makePlatform(manualClock, settings) };
    Service engine { standin::makeEngine(testRuntime().io(), manualClock, settings) };
    manualClock.advance(Milliseconds(5'000));
    platform.call("POST", "/standin/instances", R"({"instances":[{"address":"127.0.0.1:1","state":"leaving"}]})");
    engine.call("POST", "/standin/fault", R"({"leaving":true})");
    manualClock.advance(Milliseconds(999));
    BOOST_TEST(platform.json("GET", "/instances")["instances"].empty());
    BOOST_TEST(engine.json("GET", "/load")["leaving"] == false);
    manualClock.advance(Milliseconds(1));
    BOOST_TEST(platform.json("GET", "/instances")["instances"].size() == 1U);
    BOOST_TEST(engine.json("GET", "/load")["leaving"] == true);
    BOOST_CHECK_THROW(platform.call("POST", "/standin/instances", R"({"instances":[{"address":"x","state":"gone"}]})"), InvalidInputError);
}

BOOST_AUTO_TEST_CASE(toolReturnsTheResultByKeyAfterALostAnswer)
{
    inFiber([] {
        Service tool { standin::makeTool(testRuntime().io(), settingsWithoutDelays()) };
        BOOST_CHECK_THROW(tool.call("GET", "/calls/k"), RouteNotFoundError);
        tool.call("POST", "/standin/fault", R"({"loseAnswers":1})");
        BOOST_CHECK_THROW(tool.call("POST", "/payout", "{}", { { "idempotency-key", "k" } }), ConnectionLostError);
        BOOST_TEST(tool.json("GET", "/calls/k")["effects"] == 1);
        tool.call("POST", "/payout", "{}", { { "idempotency-key", "k" } });
        BOOST_TEST(tool.json("GET", "/effects")["k"] == 2);
    });
}

BOOST_AUTO_TEST_CASE(watchFromACompactedRevisionIsRefused)
{
    inFiber([] {
        Service store { standin::makeKeyValue(testRuntime().io(), manualClock) };
        // 70 values of 1 MB exceed the 64 MiB of the change log.
        const std::string put = R"({"key":"YQ==","value":")" + std::string(1'333'332, 'A') + "\"}";
        for (int n = 0; n < 70; ++n)
            store.call("POST", "/v3/kv/put", put);
        std::string answer = store.call("POST", "/v3/watch", R"({"create_request":{"key":"YQ==","start_revision":"2"}})");
        BOOST_TEST(answer.find("\"canceled\":true") != std::string::npos);
        BOOST_TEST(answer.find("compact_revision") != std::string::npos);
        BOOST_CHECK_THROW(store.call("POST", "/v3/kv/put", R"({"key":"YQ==","value":")" + std::string(1'500'000, 'A') + "\"}"), InvalidInputError);
    });
}

BOOST_AUTO_TEST_CASE(storeHasNoCapacityBeyondItsMemoryLimit)
{
    standin::KeyValueState state;
    constexpr std::size_t valueBytes = 1'000'000;
    BOOST_TEST(state.hasCapacityFor(200'000'000));
    for (int n = 0; n < 100; ++n)
        state.put("a" + std::to_string(n), std::string(valueBytes, 'x'), 0);
    BOOST_TEST(!state.hasCapacityFor(200'000'000));
    state.remove("a", "b");
    BOOST_TEST(state.hasCapacityFor(200'000'000));
}

// Sends malformed requests to every service. Each must return a result or throw a basilpoint::Error, never
// another exception.
BOOST_AUTO_TEST_CASE(malformedRequestsGetAResultOrATypedError)
{
    static const std::vector<std::pair<std::string, std::string>> seeds {
        { "/v3/kv/txn", R"({"compare":[{"key":"YQ==","target":"MOD","mod_revision":"0"}],"success":[{"request_put":{"key":"YQ==","value":"YQ==","lease":"0"}}],"failure":[{"request_range":{"key":"YQ=="}}]})" },
        { "/v3/kv/range", R"({"key":"YQ==","range_end":"Yg=="})" },
        { "/v3/lease/grant", R"({"TTL":"5"})" },
        { "/v3/lease/keepalive", R"({"ID":"5"})" },
        { "/v1/chat/completions", R"({"model":"m","max_tokens":2,"stream":true,"messages":[{"role":"user","content":"x"}]})" },
        { "/orders", R"({"kind":"release","program":"a","fencing":1})" },
        { "/standin/instances", R"({"instances":[{"address":"127.0.0.1:1","state":"live"}]})" },
        { "/payout", R"({"amount":1})" },
    };
    static const std::vector<std::string> fragments { "\"", "{", "}", "[", "]", ":", ",", "null", "-1", "1e999", "99999999999999999999", "\xff", "=", "\"x\"" };
    inFiber([] {
        auto& io = testRuntime().io();
        std::vector<Service> services { { standin::makeKeyValue(io, manualClock) }, { standin::makeEngine(io, manualClock, settingsWithoutDelays()) }, { standin::makeTool(io, settingsWithoutDelays()) }, { standin::makePlatform(manualClock, settingsWithoutDelays()) } };
        BOOST_TEST(rc::check([&] {
            auto [path, body] = *rc::gen::elementOf(seeds);
            for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
                body.replace(*rc::gen::inRange<std::size_t>(0, body.size()), *rc::gen::inRange<std::size_t>(0, 4), *rc::gen::elementOf(fragments));
            for (Service& service : services) {
                try {
                    service.call("POST", path, body);
                } catch (const Error& error) {
                    RC_ASSERT(!std::string(error.what()).empty());
                }
            }
        }));
        BOOST_CHECK_THROW(services[0].call("POST", "/v3/kv/range", R"({"a":)" + std::string(1'000'000, '[')), InvalidInputError);
    });
}

BOOST_AUTO_TEST_SUITE_END()
