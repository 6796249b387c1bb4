#include "TestFleet.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Support/Error.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <stdexcept>

namespace basilpoint::test {

using Json = nlohmann::json;

static constexpr Milliseconds pollInterval { 20 };
static constexpr Milliseconds startTimeout { 10'000 };

void runInFiber(const std::function<void(HttpClient&)>& body)
{
    static FiberRuntime runtime;
    runtime.run([&] {
        HttpClient client(runtime.io());
        body(client);
    });
}

bool eventually(const std::function<bool()>& condition, Milliseconds timeout)
{
    auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        sleepFiber(pollInterval);
    }
    return condition();
}

void requireEventually(const TestFleet& fleet, const std::function<bool()>& condition, Milliseconds timeout)
{
    bool holds = eventually(condition, timeout);
    BOOST_REQUIRE_MESSAGE(holds, (holds ? std::string() : fleet.logs()));
}

static Endpoint freeEndpoint()
{
    return { "127.0.0.1", static_cast<std::uint16_t>(freePort()) };
}

TestFleet::TestFleet(HttpClient& client, Options options)
    : m_client(client)
    , m_options(std::move(options))
    , m_folder(std::filesystem::temp_directory_path() / ("basilpoint-test-" + std::to_string(getpid()) + "-" + std::to_string(freePort())))
{
    std::filesystem::create_directories(m_folder);
    m_keyValue = startStandIn("kv", {});
    m_tool = startStandIn("tool", m_options.toolArguments);
    for (unsigned n = 0; n < m_options.engines; ++n)
        m_engines.push_back(startStandIn("engine", m_options.engineArguments));
    for (unsigned n = 0; n < m_options.daemons; ++n)
        m_addresses.push_back({ freeEndpoint(), freeEndpoint(), freeEndpoint() });
    m_daemons.resize(m_options.daemons);
    for (unsigned n = 0; n < m_options.daemons; ++n)
        startDaemon(n);
}

TestFleet::~TestFleet()
{
    m_daemons.clear();
    m_standIns.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

Endpoint TestFleet::startStandIn(const std::string& kind, std::vector<std::string> arguments)
{
    Endpoint address = freeEndpoint();
    arguments.insert(arguments.end(), { "--kind", kind, "--listen", address.text() });
    m_standIns.push_back(std::make_unique<Process>("basilpoint-standin", arguments, path(kind + std::to_string(m_fileCount++) + ".log")));
    Process& process = *m_standIns.back();
    if (!eventually([&] { return process.log().find('\n') != std::string::npos; }, startTimeout))
        throw std::runtime_error("stand-in did not start: " + process.log());
    return address;
}

void TestFleet::startDaemon(unsigned n)
{
    std::string peers;
    for (unsigned k = 0; k < m_addresses.size() && m_addresses.size() > 1; ++k)
        peers += (peers.empty() ? "" : ",") + m_addresses[k].peers.text();
    const Addresses& addresses = m_addresses[n];
    std::vector<std::string> arguments {
        "--listen", addresses.callers.text(), "--operator-listen", addresses.operators.text(), "--peer-listen", addresses.peers.text(),
        "--key-value", m_keyValue.text(), "--peers", peers, "--data-centre", "dc-" + std::to_string(n % 3),
        "--probe-period-ms", "200", "--suspicion-ms", "800", "--log-level", "debug"
    };
    if (n < m_options.durableDaemons)
        arguments.insert(arguments.end(), { "--data-folder", path("data" + std::to_string(n)) });
    m_daemons[n] = nullptr;
    m_daemons[n] = std::make_unique<Process>("basilpointd", arguments, path("daemon" + std::to_string(n) + ".log"));
}

Json TestFleet::state(unsigned n) const
{
    HttpCallOptions options;
    options.readTimeout = Milliseconds(1'000);
    options.reuseConnection = false;
    try {
        return Json::parse(m_client.call(m_addresses[n].operators, { "GET", "/debug/state", {}, {} }, options).body);
    } catch (const Error&) {
        return nullptr;
    }
}

bool TestFleet::ready(unsigned n) const
{
    Json dump = state(n);
    return dump.is_object() && dump.value("ready", false);
}

bool TestFleet::allReady() const
{
    std::size_t shards = 0;
    for (unsigned n = 0; n < daemonCount(); ++n) {
        Json dump = state(n);
        if (!dump.is_object() || !dump.value("ready", false))
            return false;
        shards += dump["shards"].size();
    }
    static constexpr std::size_t defaultShards = 64;
    return shards == defaultShards;
}

Json TestFleet::document() const
{
    Json replicas = Json::array();
    for (const Endpoint& engine : m_engines)
        replicas.push_back(engine.text());
    Json tool = Json::array({ m_tool.text() });
    return {
        { "environment", "test" }, { "operator", "tester" },
        { "models", Json::array({ { { "name", "m" }, { "replicas", replicas } } }) },
        { "tools", Json::array({ { { "name", "pay" }, { "idempotent", false }, { "addresses", tool } }, { { "name", "look" }, { "idempotent", true }, { "addresses", tool } } }) }
    };
}

int TestFleet::apply(const Json& document)
{
    std::string file = path("environment" + std::to_string(m_fileCount++) + ".json");
    std::ofstream(file) << document.dump();
    Process process("basilpoint", { "--key-value", m_keyValue.text(), "env", "apply", file }, file + ".log");
    if (!eventually([&] { return !process.running(); }, startTimeout))
        throw std::runtime_error("env apply did not exit");
    return process.exitStatus();
}

void TestFleet::setFault(const Endpoint& standIn, const Json& fault)
{
    m_client.call(standIn, { "POST", "/standin/fault", {}, fault.dump() });
}

std::optional<std::uint64_t> TestFleet::startedCalls(unsigned engine)
{
    try {
        Json load = Json::parse(m_client.call(m_engines[engine], { "GET", "/load", {}, {} }).body);
        return load.value("served", std::uint64_t(0)) + load.value("running", std::uint64_t(0));
    } catch (const Error&) {
        return std::nullopt;
    }
}

unsigned TestFleet::runningEngineCount()
{
    unsigned running = 0;
    for (unsigned n = 0; n < m_engines.size(); ++n)
        running += startedCalls(n) ? 1 : 0;
    return running;
}

HttpResponse TestFleet::postToOperatorListener(unsigned n, const std::string& path, const Json& body)
{
    return m_client.call(m_addresses[n].operators, { "POST", path, {}, body.dump() });
}

Json TestFleet::effects()
{
    return Json::parse(m_client.call(m_tool, { "GET", "/effects", {}, {} }).body);
}

static std::string tail(const std::string& log)
{
    static constexpr std::size_t maxLogBytes = 3'000;
    return log.size() > maxLogBytes ? log.substr(log.size() - maxLogBytes) : log;
}

std::string TestFleet::logs() const
{
    std::string text;
    for (const auto& daemon : m_daemons)
        text += tail(daemon->log()) + "\n----\n";
    return text;
}

} // namespace basilpoint::test
