#include "Deployment.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberAwait.h"
#include "basilpoint/Net/FiberRuntime.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace basilpoint::review {

using Json = nlohmann::json;

static constexpr Milliseconds pollInterval { 50 };
static constexpr int statusOk = 200;
static constexpr Milliseconds memoryInterval { 20 };
static constexpr Milliseconds restartDelay { 500 };
static constexpr unsigned kilobytesPerMegabyte = 1'024;

// Below the range from which the system takes ports for outgoing connections.
static unsigned freePort()
{
    static constexpr unsigned firstPort = 12'000;
    static constexpr unsigned portCount = 18'000;
    static unsigned next = static_cast<unsigned>(getpid()) * 211;
    for (unsigned n = 0; n < portCount; ++n) {
        unsigned port = firstPort + next++ % portCount;
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        bool isFree = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        close(fd);
        if (isFree)
            return port;
    }
    throw std::runtime_error("no free port");
}

Deployment::Deployment(boost::asio::io_context& io, Record& record, std::filesystem::path folder, std::string program, const Figures& figures)
    : store(io, record)
    , engine(io, record, "i-engine-1", "lm-pool")
    , app(io, record, "i-app-1", "royalty-app")
    , m_io(io)
    , m_record(record)
    , m_folder(std::move(folder))
    , m_program(std::move(program))
    , m_figures(figures)
{
}

Deployment::~Deployment()
{
    killAll();
}

void Deployment::add(const std::string& name, const std::string& zone, bool isGateway)
{
    m_machines[name] = { zone, isGateway, freePort(), freePort(), freePort(), isGateway ? m_figures.gatewayMegabytes : m_figures.keeperMegabytes };
    if (isGateway)
        m_gateways.push_back(name);
    else
        std::filesystem::create_directories(m_folder / ("disk-" + name));
}

void Deployment::addGateway(const std::string& name, const std::string& zone)
{
    add(name, zone, true);
}

void Deployment::addKeeper(const std::string& name, const std::string& zone)
{
    add(name, zone, false);
}

// The settings of DEPLOY.md.
void Deployment::writeSettings(const std::string& name, const Machine& machine) const
{
    std::ofstream file(m_folder / (name + ".conf"), std::ios::trunc);
    file << fmt::format("node={}\nrole={}\nclass={}\nserves={}\nip=127.0.0.1\nzone={}\nregion=hu-central\n", name, machine.isGateway ? "gateway" : "keeper", machine.isGateway ? "front" : "store", machine.isGateway ? "front" : "store", machine.zone);
    file << "zones.bp-a=hu-central\nzones.bp-b=hu-central\nzones.bp-c=hu-central\n";
    if (machine.isGateway)
        file << fmt::format("listen.front=127.0.0.1:{}\nlisten.ready=127.0.0.1:{}\n", machine.callers, machine.readiness);
    else
        file << fmt::format("dataDir={}\n", (m_folder / ("disk-" + name)).string());
    file << fmt::format("portRange={},{}\nbootstrap={}\ninTolerance={}\n", machine.peers, machine.peers, machine.starts == 0, !machine.isGateway);
    file << fmt::format("limits.cpuShare={}\nlimits.cores=1\nlimits.memoryMb={}\nlimits.maxFds={}\n", machine.isGateway ? 0.25 : 0.5, machine.memoryMegabytes, machine.isGateway ? 4100 : 8200);
    file << "discovery=platform\nentry=vip\nbeatMs=1200\ncontracts=base,drain,config,cost,recover,agent,stream,engine,platform\n";
    file << "tolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4.4\n";
    file << "bounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configMs=2000\nbounds.downgradeSlackMs=250\nbounds.skewMaxMs=5000\nbounds.recoverS=12\n";
    file << fmt::format("provider.addr={}\nprovider.form=kv\nprovider.writesPerS=400\nprovider.readsPerS=2000\nprovider.historyS=20\nprovider.valueBytes=1048576\nprovider.ttlMinMs=1000\n", store.endpoint().text());
}

[[noreturn]] static void execProgram(const std::string& program, const std::string& settings, const std::string& log)
{
    // The kernel ends the process if the script's program dies.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    setenv("BASILPOINT_BOOT", settings.c_str(), 1);
    std::string path = program;
    std::array<char*, 2> arguments { path.data(), nullptr };
    execv(path.c_str(), arguments.data());
    _exit(127);
}

void Deployment::start(const std::string& name)
{
    Machine& machine = m_machines.at(name);
    writeSettings(name, machine);
    ++machine.starts;
    std::string settings = (m_folder / (name + ".conf")).string();
    std::string log = logOf(name).string();
    machine.process = fork();
    if (machine.process < 0)
        throw std::runtime_error("cannot start a process");
    if (machine.process == 0)
        execProgram(m_program, settings, log);
    m_record.write(fmt::format("platform: {} is started", name));
}

void Deployment::startAll()
{
    for (const auto& [name, machine] : m_machines)
        start(name);
}

static unsigned residentMegabytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmRSS:"))
            return static_cast<unsigned>(std::stoul(line.substr(std::string_view("VmRSS:").size()))) / kilobytesPerMegabyte;
    return 0;
}

// As DEPLOY.md says: a process that uses more than memoryMb is killed, and one that has ended is restarted after a short delay.
void Deployment::checkMemory(const std::string& name, Machine& machine)
{
    if (machine.process <= 0)
        return;
    unsigned used = residentMegabytes(machine.process);
    m_peaks[name] = std::max(m_peaks[name], used);
    if (used > machine.memoryMegabytes) {
        ::kill(machine.process, SIGKILL);
        m_record.write(fmt::format("platform: {} uses {} MB of {} MB and is killed", name, used, machine.memoryMegabytes));
    }
    int status = 0;
    if (waitpid(machine.process, &status, used > machine.memoryMegabytes ? 0 : WNOHANG) == 0)
        return;
    machine.process = 0;
    ++m_ends[name];
    m_record.write(fmt::format("platform: {} has ended, wait status {}", name, status));
    spawnFiber([this, name] {
        sleepFiber(restartDelay);
        if (m_isEnforcing && m_machines.at(name).process == 0)
            start(name);
    });
}

void Deployment::enforceMemory()
{
    m_isEnforcing = true;
    spawnFiber([this] {
        for (; m_isEnforcing; sleepFiber(memoryInterval))
            for (auto& [name, machine] : m_machines)
                checkMemory(name, machine);
    });
}

void Deployment::signal(const std::string& name, int number)
{
    Machine& machine = m_machines.at(name);
    if (machine.process == 0)
        return;
    ::kill(machine.process, number);
    m_record.write(fmt::format("platform: signal {} to {}", number, name));
    if (number != SIGKILL)
        return;
    waitpid(machine.process, nullptr, 0);
    machine.process = 0;
}

bool Deployment::retire(const std::string& keeper, Milliseconds limit)
{
    store.put("op/retire/" + keeper, Json { { "durationS", std::chrono::duration<double>(limit).count() } }.dump());
    m_record.write(fmt::format("operator: {} is to be emptied", keeper));
    auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        auto state = Json::parse(store.valueOf("status/retire/" + keeper), nullptr, false);
        if (state.is_object() && state.value("state", "") == "done") {
            signal(keeper, SIGKILL);
            m_machines.erase(keeper);
            std::filesystem::remove_all(m_folder / ("disk-" + keeper));
            m_record.write(fmt::format("operator: {} is empty and is taken away", keeper));
            return true;
        }
        sleepFiber(pollInterval);
    }
    return false;
}

void Deployment::killAll()
{
    m_isEnforcing = false;
    for (auto& [name, machine] : m_machines)
        if (machine.process > 0)
            ::kill(machine.process, SIGKILL);
    for (auto& [name, machine] : m_machines) {
        if (machine.process > 0)
            waitpid(machine.process, nullptr, 0);
        machine.process = 0;
    }
    m_record.write("platform: all processes are killed");
}

void Deployment::putManifest()
{
    Json route { { "name", "r-turns" }, { "host", "h.example" }, { "prefix", "/turns/" }, { "kind", "stream" }, { "timeoutMs", m_figures.deadlineMs }, { "targetLatencyMs", 250 }, { "priority", 0 }, { "service", "lm-pool" }, { "maxAttempts", 2 }, { "stateful", true }, { "retainS", 60.0 }, { "sticky", true }, { "resumable", false }, { "gapAimMs", 200 } };
    Json calls { { "name", "r-calls" }, { "host", "h.example" }, { "prefix", "/calls/" }, { "kind", "idempotent" }, { "timeoutMs", 1200 }, { "targetLatencyMs", 120 }, { "priority", 2 }, { "service", "royalty-app" }, { "maxAttempts", 2 } };
    Json plain { { "name", "royalty-app" }, { "healthPath", "/health" }, { "maxConns", 100 }, { "proto", "h1" }, { "tls", false } };
    Json service { { "name", "lm-pool" }, { "healthPath", "/health" }, { "maxConns", 170 }, { "proto", "h1" }, { "tls", false }, { "engine", { { "slots", 16 }, { "kvTokens", 127477 }, { "stride", 11 } } } };
    Json limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
    store.put("op/config", Json { { "version", 7 }, { "routes", Json::array({ route, calls }) }, { "services", Json::array({ service, plain }) }, { "limits", limits } }.dump());
    for (const Replica* it : { &engine, &app })
        store.put("servers/" + it->id(), it->registration());
}

static HttpCallOptions optionsWithin(Milliseconds limit)
{
    HttpCallOptions options;
    options.reuseConnection = false;
    options.connectTimeout = std::min(limit, Milliseconds(1'000));
    options.deadline = std::chrono::steady_clock::now() + limit;
    return options;
}

bool Deployment::isReady(const Machine& machine)
{
    HttpClient client(m_io);
    try {
        return client.call({ "127.0.0.1", static_cast<std::uint16_t>(machine.readiness) }, { "GET", "/-/ready", {}, {} }, optionsWithin(Milliseconds(500))).status == statusOk;
    } catch (const Error&) {
        return false;
    }
}

bool Deployment::awaitReady(std::size_t keepers, Milliseconds limit)
{
    auto end = std::chrono::steady_clock::now() + limit;
    for (;;) {
        auto view = Json::parse(store.valueOf("daemons/.keepers"), nullptr, false);
        bool areReady = view.is_object() && view.value("members", Json::array()).size() == keepers && !view.contains("previous");
        for (const std::string& it : m_gateways)
            areReady = areReady && isReady(m_machines.at(it)) && !store.valueOf("daemons/" + it).empty();
        if (areReady)
            return true;
        if (std::chrono::steady_clock::now() >= end)
            return false;
        sleepFiber(pollInterval);
    }
}

Deployment::Answer Deployment::send(const std::string& gateway, const Turn& turn)
{
    HttpHeaders headers { { "host", "h.example" }, { "x-basilpoint-request-id", turn.id }, { "x-basilpoint-program-id", turn.program }, { "x-basilpoint-session-id", "s-" + turn.program }, { "x-basilpoint-deadline-ms", std::to_string(m_figures.deadlineMs) }, { "x-basilpoint-finish-ms", "60000" }, { "x-basilpoint-token-budget", "2288" }, { "x-basilpoint-token-count", "1840,286" }, { "x-basilpoint-model", "m" } };
    if (!turn.previous.empty())
        headers["x-basilpoint-previous-turn"] = turn.previous;
    m_record.write(fmt::format("sent: {} to {}, program {}, previous {}, body of {} bytes", turn.id, gateway, turn.program, turn.previous.empty() ? "none" : turn.previous, turn.body.size()));
    HttpClient client(m_io);
    Answer answer;
    try {
        HttpResponse response = client.call({ "127.0.0.1", static_cast<std::uint16_t>(m_machines.at(gateway).callers) }, { "POST", "/turns/1", headers, turn.body }, optionsWithin(Milliseconds(m_figures.deadlineMs)));
        answer = { response.status, response.body };
        m_record.write(fmt::format("answered: {} with {}, whole{}", turn.id, answer.status, answer.status == statusOk ? "" : ": " + answer.body));
    } catch (const Error& error) {
        m_record.write(fmt::format("answered: {} not whole: {}", turn.id, error.what()));
    }
    return answer;
}

std::string Deployment::exchange(const std::string& gateway, const std::string& bytes, Milliseconds limit)
{
    namespace asio = boost::asio;
    boost::beast::tcp_stream stream(m_io);
    stream.expires_after(limit);
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(m_machines.at(gateway).callers));
    boost::system::error_code ec = awaitIo([&](auto handler) { stream.async_connect(endpoint, std::move(handler)); }).ec;
    if (!ec)
        ec = awaitIo([&](auto handler) { asio::async_write(stream, asio::buffer(bytes), std::move(handler)); }).ec;
    std::string answer;
    std::array<char, 4096> part {};
    while (!ec) {
        auto result = awaitIo([&](auto handler) { stream.async_read_some(asio::buffer(part), std::move(handler)); });
        ec = result.ec;
        answer.append(part.data(), ec ? 0 : result.size);
    }
    return answer;
}

} // namespace basilpoint::review
