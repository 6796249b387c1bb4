#include "Deployment.h"

#include "basilpoint/Net/Errors.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <sys/resource.h>

namespace basilpoint::test {

using Json = nlohmann::json;

Deployment::Deployment(unsigned toleratedLosses, unsigned moreToolCount)
    : folder(std::filesystem::temp_directory_path() / ("basilpoint-day-" + std::to_string(::getpid()) + "-" + std::to_string(++count)))
    , tolerated(toleratedLosses)
    , store(testRuntime().io())
    , engine(testRuntime().io(), "i-engine", "models")
    , spare(testRuntime().io(), "i-spare", "models")
    , tool(testRuntime().io(), "i-tool", "tools")
{
    std::filesystem::create_directories(folder);
    putConfiguration(3, {});
    for (const FakeTarget* it : { &engine, &tool })
        put(*it);
    for (unsigned n = 1; n <= moreToolCount; ++n)
        put(*moreTools.emplace_back(std::make_unique<FakeTarget>(testRuntime().io(), "i-tool-" + std::to_string(n), "tools")));
}

void Deployment::end()
{
    processes.clear();
    for (const auto& [name, its] : links)
        for (const auto& [address, link] : its.byAddress)
            link->stop();
    std::filesystem::remove_all(folder);
    // The runtime stops only once no fiber is left.
    store.stop();
    for (FakeTarget* it : { &engine, &spare, &tool })
        it->stop();
    for (const auto& it : moreTools)
        it->stop();
    pause(std::chrono::milliseconds(1'500));
}

void Deployment::put(const FakeTarget& target, const char* state)
{
    store.put("servers/" + target.id(), target.registration(state));
}

void Deployment::putConfiguration(int version, const std::vector<std::string>& morePrefixes)
{
    Json routes = Json::array({ { { "name", "turns" }, { "host", "h.example" }, { "prefix", "/stream/" }, { "kind", "stream" }, { "timeoutMs", 4000 }, { "targetLatencyMs", 250 }, { "priority", 0 }, { "service", "models" }, { "maxAttempts", 2 }, { "stateful", true }, { "retainS", 60.0 } },
        { { "name", "chat" }, { "host", "h.example" }, { "prefix", "/chat/" }, { "kind", "stream" }, { "timeoutMs", 4000 }, { "targetLatencyMs", 250 }, { "priority", 0 }, { "service", "models" }, { "maxAttempts", 1 }, { "stateful", false }, { "retainS", 60.0 } },
        { { "name", "pay" }, { "host", "h.example" }, { "prefix", "/pay/" }, { "kind", "non_idempotent" }, { "timeoutMs", 3000 }, { "service", "tools" }, { "maxAttempts", 1 } } });
    if (isResumable)
        routes[1]["resumable"] = true;
    for (const std::string& prefix : morePrefixes)
        routes.push_back({ { "name", prefix }, { "host", "h.example" }, { "prefix", prefix }, { "kind", "idempotent" }, { "timeoutMs", 1000 }, { "service", "tools" } });
    for (const std::string& prefix : publicPrefixes)
        routes.push_back({ { "name", prefix }, { "host", "h.example" }, { "prefix", prefix }, { "kind", "idempotent" }, { "timeoutMs", 1000 }, { "service", "tools" }, { "public", true } });
    Json services = Json::array({ { { "name", "models" }, { "healthPath", "/health" }, { "engine", { { "slots", 4 }, { "kvTokens", 1000 }, { "stride", 10 } } } }, { { "name", "tools" } } });
    if (longestReservation > 0)
        services[0]["engine"]["holdMs"] = longestReservation;
    Json configuration { { "version", version }, { "routes", routes }, { "services", services }, { "limits", Json::object() } };
    if (!m_organisations.is_null())
        configuration["tenants"] = m_organisations;
    store.put("op/config", configuration.dump());
}

void Deployment::start(const std::string& name, bool isGateway, const std::string& zone)
{
    Instance& instance = instances[name];
    if (instance.callers == 0) {
        instance.callers = freePort();
        instance.readiness = freePort();
        instance.peers = freePort();
    }
    std::ofstream settings(folder / (name + ".conf"));
    settings << "node=" << name << "\nzone=" << zone << "\nip=127.0.0.1\nprovider.addr=" << (storeAddresses.contains(name) ? storeAddresses[name] : store.endpoint()).text() << "\nportRange=" << instance.peers << "," << instance.peers
             << "\nlimits.maxFds=" << descriptors << "\nlimits.memoryMb=" << memoryMegabytes << "\nbounds.graceS=" << graceSeconds << "\ntolerate.machines=" << tolerated << "\nbootstrap=" << (instance.starts++ == 0 ? "true" : "false") << "\nserves=" << (isGateway ? "front" : "store") << "\n";
    if (isGateway)
        settings << "listen.front=127.0.0.1:" << instance.callers << "\nlisten.ready=127.0.0.1:" << instance.readiness << "\n";
    else
        settings << "dataDir=" << (folder / name).string() << "\n";
    settings.close();
    std::vector<std::string> arguments { "--settings", (folder / (name + ".conf")).string() };
    if (longestReservation > 0)
        arguments.emplace_back("--reserve-room");
    processes[name] = std::make_unique<Process>("basilpoint-platform", arguments, (folder / (name + ".log")).string());
}

static std::shared_ptr<FakeLink>& linkTo(Deployment::Links& links, const std::string& address)
{
    auto& link = links.byAddress[address];
    if (!link) {
        auto colon = address.rfind(':');
        link = std::make_shared<FakeLink>(testRuntime().io(), Endpoint { address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) });
        if (links.cut)
            link->cut(*links.cut);
    }
    return link;
}

void Deployment::linkTargets(const std::string& name)
{
    storeAddresses[name] = store.addView([this, name](const std::string& value) {
        Json json = Json::parse(value, nullptr, false);
        if (!json.is_object() || !json.contains("addr"))
            return value;
        json["addr"] = test::linkTo(links[name], json["addr"].get<std::string>())->endpoint().text();
        return json.dump();
    });
}

FakeLink& Deployment::linkTo(const std::string& name, const FakeTarget& target)
{
    return *test::linkTo(links[name], target.endpoint().text());
}

void Deployment::cut(const std::string& name, CutKind kind)
{
    links[name].cut = kind;
    for (const auto& [address, link] : links[name].byAddress)
        link->cut(kind);
}

void Deployment::heal(const std::string& name)
{
    links[name].cut.reset();
    for (const auto& [address, link] : links[name].byAddress)
        link->heal();
}

// Whether the process's main function has begun, which decides about SIGHUP before anything else.
static bool hasBegun(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::uint64_t handled = 0;
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("SigIgn:") || line.starts_with("SigCgt:"))
            handled |= std::strtoull(line.c_str() + std::string_view("SigIgn:").size(), nullptr, 16);
    return (handled >> (SIGHUP - 1)) & 1U;
}

bool Deployment::awaitBegin(const Process& process)
{
    return eventually([&] { return hasBegun(process.id()); });
}

void Deployment::limitDescriptors(const std::string& name)
{
    // Until it executes its own program, the child has the test's descriptors.
    awaitBegin(*processes[name]);
    rlimit limit { descriptors, descriptors };
    prlimit(processes[name]->id(), RLIMIT_NOFILE, &limit, nullptr);
}

unsigned Deployment::peakMegabytes(const std::string& name)
{
    static constexpr unsigned kilobytesPerMegabyte = 1'000;
    std::ifstream status("/proc/" + std::to_string(processes[name]->id()) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:"))
            return static_cast<unsigned>(std::stoul(line.substr(std::string_view("VmHWM:").size()))) / kilobytesPerMegabyte;
    return 0;
}

bool Deployment::kill(const std::string& name)
{
    processes[name]->signal(SIGKILL);
    return eventually([&] { return !processes[name]->running(); });
}

HttpResponse Deployment::call(unsigned port, const std::string& method, const std::string& target, HttpHeaders headers, const std::string& body)
{
    HttpCallOptions options;
    options.reuseConnection = false;
    options.readTimeout = std::chrono::seconds(4);
    options.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    headers.emplace("host", "h.example");
    headers.insert(callerHeaders.begin(), callerHeaders.end());
    headers.emplace("x-basilpoint-request-id", "call-" + std::to_string(++calls));
    // Closes its connection at the end.
    HttpClient client(testRuntime().io());
    try {
        return client.call({ "127.0.0.1", static_cast<std::uint16_t>(port) }, { method, target, headers, body }, options);
    } catch (const TargetError&) {
        return { 0, {}, {} };
    }
}

int Deployment::statusAt(unsigned port, const std::string& method, const std::string& target, HttpHeaders headers, const std::string& body)
{
    HttpResponse response = call(port, method, target, std::move(headers), body);
    answer = response.body;
    answerHeaders = response.headers;
    return response.status;
}

int Deployment::turn(const std::string& at, const std::string& id, const std::string& previous, const std::string& input, const std::string& program, int budget)
{
    HttpHeaders headers { { "x-basilpoint-request-id", id }, { "x-basilpoint-deadline-ms", "3000" }, { "x-basilpoint-program-id", program }, { "x-basilpoint-session-id", "s" }, { "x-basilpoint-token-budget", std::to_string(budget) }, { "x-basilpoint-token-count", "50,40" } };
    if (!previous.empty())
        headers["x-basilpoint-previous-turn"] = previous;
    return statusAt(instances[at].callers, "POST", "/stream/x", headers, input);
}

void startAll(Deployment& deployment, const std::map<std::string, std::string>& zonesOfKeepers)
{
    for (const auto& [keeper, zone] : zonesOfKeepers)
        deployment.start(keeper, false, zone);
    deployment.start("a", true);
    deployment.start("b", true);
    BOOST_REQUIRE(eventually([&] {
        return deployment.isReady("a") && deployment.isReady("b") && deployment.store.has("daemons/a") && deployment.store.has("daemons/b")
            && std::all_of(zonesOfKeepers.begin(), zonesOfKeepers.end(), [&](const auto& it) { return deployment.store.has("daemons/" + it.first); });
    }));
}

void emptyAndRemove(Deployment& deployment, const std::string& keeper)
{
    deployment.store.put("op/retire/" + keeper, Json { { "durationS", 10 } }.dump());
    BOOST_REQUIRE(eventually([&] { return deployment.store.has("status/retire/" + keeper); }));
    BOOST_TEST(Json::parse(deployment.store.valueOf("status/retire/" + keeper)).at("state") == "done");
    BOOST_REQUIRE(deployment.kill(keeper));
    std::filesystem::remove_all(deployment.folder / keeper);
    BOOST_TEST(eventually([&] { return !deployment.store.has("daemons/" + keeper); }));
}

void inFiber(const std::function<void()>& body)
{
    testRuntime().run(body);
}

} // namespace basilpoint::test
