// Case: a request under which replicas end must not be sent on again and again once it has ended three.

#include "Deployment.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>

using namespace basilpoint;
using namespace basilpoint::review;

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

static constexpr int exitHeld = 0;
static constexpr int exitBroken = 1;
static constexpr int exitNotRun = 2;
static constexpr std::size_t keepers = 3;
static constexpr int replicas = 7;
static constexpr Milliseconds startLimit { 20'000 };
// stableWindowMs of the sheet.
static constexpr Milliseconds stableWindow { 3'000 };
static constexpr Milliseconds calmTime { 4'000 };
// A replica that ends is back after this time, and writes its entry one beat later.
static constexpr Milliseconds downTime { 3'400 };
static constexpr Milliseconds beat { 1'200 };
static constexpr Milliseconds callerLimit { 1'250 };
// The caller waits this long after the third end, and then tries again and again.
static constexpr Milliseconds pauseOfCaller { 3'200 };
static constexpr Milliseconds pauseBetweenTries { 100 };
static constexpr int tries = 22;
static constexpr Milliseconds soundInterval { 20 };
static constexpr Milliseconds workTime { 20 };
static constexpr Milliseconds pollTime { 10 };
static constexpr std::size_t endsBefore = 3;
static constexpr std::size_t toleratedRetries = 3;
static const std::string fatalBody = "crash;";

namespace {

/// A replica that ends, without a sign of it, when it begins to run a request with the fatal body.
class EndingReplica {
public:
    EndingReplica(boost::asio::io_context&, Store&, Record&, std::string id, std::vector<SteadyClock::time_point>& ends, bool hasTrouble);

private:
    void handle(const HttpRequest&, ResponseWriter&);
    void awaitOwnEnd(int lifetime) const;
    void end();
    void enter();

    Store& m_store;
    Record& m_record;
    std::string m_id;
    std::vector<SteadyClock::time_point>& m_ends;
    bool m_hasTrouble;
    int m_lifetime = 1;
    bool m_isDown = false;
    HttpServer m_server;
};

class Case {
public:
    Case(boost::asio::io_context& io, Record& record, const std::string& folder, const std::string& program, bool hasTrouble)
        : m_io(io)
        , m_record(record)
        , m_deployment(io, record, folder, program, kjpBasil)
        , m_hasTrouble(hasTrouble)
    {
    }

    int run();
    /// Ends all processes.
    void end() { m_deployment.killAll(); }

private:
    std::string call(int gateway, const std::string& id, const std::string& program, const std::string& body);
    void sendSoundCalls();
    int judge() const;

    boost::asio::io_context& m_io;
    Record& m_record;
    Deployment m_deployment;
    bool m_hasTrouble;
    std::vector<std::unique_ptr<EndingReplica>> m_replicas;
    std::vector<SteadyClock::time_point> m_ends;
    bool m_isOver = false;
    std::size_t m_waiting = 0;
    std::size_t m_sound = 0;
    std::size_t m_served = 0;
};

} // namespace

EndingReplica::EndingReplica(boost::asio::io_context& io, Store& store, Record& record, std::string id, std::vector<SteadyClock::time_point>& ends, bool hasTrouble)
    : m_store(store)
    , m_record(record)
    , m_id(std::move(id))
    , m_ends(ends)
    , m_hasTrouble(hasTrouble)
    , m_server(io, { "127.0.0.1", 0 }, HttpLimits {}, [this](const HttpRequest& request, ResponseWriter& writer) { handle(request, writer); })
{
    m_server.start();
    enter();
}

void EndingReplica::enter()
{
    m_store.put("servers/" + m_id, Json { { "service", "royalty-app" }, { "addr", m_server.endpoint().text() }, { "zone", "bp-a" }, { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "seq", 1 }, { "born", 1'700'000'000'000 + m_lifetime } }.dump());
}

// The connections of an ended process are silent until its address has a process again, which resets them.
void EndingReplica::awaitOwnEnd(int lifetime) const
{
    while (m_isDown && lifetime == m_lifetime)
        sleepFiber(pollTime);
    if (lifetime != m_lifetime)
        throw ConnectionLostError("the process has ended");
}

void EndingReplica::end()
{
    m_isDown = true;
    m_ends.push_back(SteadyClock::now());
    spawnFiber([this] {
        sleepFiber(downTime);
        ++m_lifetime;
        m_isDown = false;
        m_record.write(fmt::format("platform: {} has started again", m_id));
        sleepFiber(beat);
        enter();
    });
}

void EndingReplica::handle(const HttpRequest& request, ResponseWriter& writer)
{
    int lifetime = m_lifetime;
    awaitOwnEnd(lifetime);
    std::string id(request.header("x-basilpoint-request-id"));
    if (request.header("x-basilpoint-expect-instance") != m_id)
        return writer.send({ 421, { { "x-basilpoint-instance-id", m_id } }, {} });
    if (request.body == fatalBody) {
        m_record.write(fmt::format("run: {} at {}{}", id, m_id, m_hasTrouble ? ", which ends" : ""));
        if (m_hasTrouble)
            end();
    }
    sleepFiber(workTime);
    awaitOwnEnd(lifetime);
    writer.send({ 200, { { "x-basilpoint-request-id", id }, { "x-basilpoint-server-stamp", "stamp-" + id } }, "done" });
}

std::string Case::call(int gateway, const std::string& id, const std::string& program, const std::string& body)
{
    std::string request = fmt::format("POST /calls/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Basilpoint-Request-Id: {}\r\nX-Basilpoint-Program-Id: {}\r\nX-Basilpoint-Deadline-Ms: 1200\r\nContent-Length: {}\r\n\r\n{}", id, program, body.size(), body);
    const auto& gateways = m_deployment.gateways();
    return m_deployment.exchange(gateways[static_cast<std::size_t>(gateway) % gateways.size()], request, callerLimit);
}

void Case::sendSoundCalls()
{
    for (int n = 0; !m_isOver; ++n) {
        ++m_waiting;
        ++m_sound;
        spawnFiber([this, n] {
            m_served += call(n, fmt::format("sound-{}", n), fmt::format("program-{}", n), fmt::format("sound {};", n)).starts_with("HTTP/1.1 200") ? 1 : 0;
            --m_waiting;
        });
        sleepFiber(soundInterval);
    }
}

int Case::judge() const
{
    std::size_t late = 0;
    if (m_ends.size() > endsBefore)
        late = static_cast<std::size_t>(std::count_if(m_ends.begin(), m_ends.end(), [&](SteadyClock::time_point it) { return it > m_ends[endsBefore - 1] + stableWindow; }));
    m_record.write(fmt::format("result: the request has ended {} replicas; {} retries reached one later than stableWindowMs after the third end (3 are allowed); {} of {} sound calls were served", m_ends.size(), late, m_served, m_sound));
    return late > toleratedRetries ? exitBroken : exitHeld;
}

int Case::run()
{
    for (const char* zone : { "bp-a", "bp-b", "bp-c" }) {
        m_deployment.addGateway(std::string("front-") + zone + "-1", zone);
        m_deployment.addKeeper(std::string("store-") + zone + "-1", zone);
    }
    m_deployment.putManifest();
    m_deployment.store.remove("servers/" + m_deployment.app.id());
    for (int n = 1; n <= replicas; ++n)
        m_replicas.push_back(std::make_unique<EndingReplica>(m_io, m_deployment.store, m_record, fmt::format("i-app-{}", n + 1), m_ends, m_hasTrouble));
    m_deployment.startAll();
    if (!m_deployment.awaitReady(keepers, startLimit)) {
        m_record.write("the deployment did not become ready");
        return exitNotRun;
    }
    m_record.write("the deployment is ready");
    sleepFiber(calmTime);
    spawnFiber([this] { sendSoundCalls(); });
    bool hasPaused = false;
    for (int n = 0; n < tries; ++n) {
        if (m_ends.size() >= endsBefore && !std::exchange(hasPaused, true))
            while (SteadyClock::now() < m_ends[endsBefore - 1] + pauseOfCaller)
                sleepFiber(pollTime);
        m_record.write(fmt::format("sent: try-{}", n));
        std::string answer = call(n, fmt::format("try-{}", n), "program", fatalBody);
        m_record.write(fmt::format("answered: try-{} with {}", n, answer.empty() ? "nothing" : answer.substr(0, answer.find('\r'))));
        sleepFiber(pauseBetweenTries);
    }
    m_isOver = true;
    while (m_waiting > 0)
        sleepFiber(pollTime);
    return judge();
}

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fputs("arguments: PROGRAM FOLDER RECORD\n", stderr);
        return exitNotRun;
    }
    const char* trouble = std::getenv("TROUBLE");
    FiberRuntime runtime;
    runtime.run([&] {
        // Never deleted, since fibers use them until the process ends.
        auto& record = *new Record(argv[3]);
        auto& it = *new Case(runtime.io(), record, argv[2], argv[1], !trouble || std::string(trouble) != "0");
        int status = exitNotRun;
        try {
            status = it.run();
        } catch (const std::exception& error) {
            record.write(fmt::format("the case could not run: {}", error.what()));
        }
        it.end();
        exitProcess(status);
    });
}
