// Case: a request whose method is TRACE and which has a body must not end the process that takes it.

#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>

using namespace basilpoint;
using namespace basilpoint::review;

static constexpr int exitHeld = 0;
static constexpr int exitBroken = 1;
static constexpr int exitNotRun = 2;
static constexpr std::size_t keepers = 3;
static constexpr Milliseconds startLimit { 20'000 };
// Longer than stableWindowMs.
static constexpr Milliseconds calmTime { 4'000 };
static constexpr Milliseconds answerLimit { 1'200 };
static constexpr Milliseconds requestInterval { 1'000 };
static constexpr int requests = 12;
static constexpr Milliseconds turnInterval { 20 };
static constexpr unsigned toleratedEnds = 2;
// A tenth of six machines, but two at least.
static constexpr std::size_t machinesThatCount = 2;

namespace {

class Case {
public:
    Case(boost::asio::io_context& io, Record& record, const std::string& folder, const std::string& program, bool hasTrouble)
        : m_record(record)
        , m_deployment(io, record, folder, program, kjpBasil)
        , m_hasTrouble(hasTrouble)
    {
    }

    int run();
    /// Ends all processes.
    void end() { m_deployment.killAll(); }

private:
    void sendTurns();
    void sendTurn(int number);
    int judge() const;

    Record& m_record;
    Deployment m_deployment;
    bool m_hasTrouble;
    bool m_isOver = false;
    std::size_t m_waiting = 0;
    std::size_t m_sent = 0;
    std::size_t m_served = 0;
};

} // namespace

void Case::sendTurn(int number)
{
    const auto& gateways = m_deployment.gateways();
    Deployment::Answer answer = m_deployment.send(gateways[static_cast<std::size_t>(number) % gateways.size()], { fmt::format("turn-{}", number), fmt::format("program-{}", number), {}, "input;" });
    m_served += answer.status == 200 ? 1 : 0;
    --m_waiting;
}

void Case::sendTurns()
{
    for (int n = 1; !m_isOver; ++n) {
        ++m_waiting;
        ++m_sent;
        spawnFiber([this, n] { sendTurn(n); });
        sleepFiber(turnInterval);
    }
}

int Case::judge() const
{
    std::size_t machines = 0;
    std::string ends;
    for (const auto& [name, count] : m_deployment.ends()) {
        machines += count > toleratedEnds ? 1 : 0;
        ends += fmt::format(" {}: {} times", name, count);
    }
    m_record.write(fmt::format("result: {} requests with a body by {}; {} of {} turns of other callers were answered whole; ended by themselves:{}", requests, m_hasTrouble ? "TRACE" : "POST", m_served, m_sent, ends.empty() ? " none" : ends));
    if (machines < machinesThatCount)
        return exitHeld;
    m_record.write(fmt::format("rule: Fault: processes of {} machines have ended by themselves three times or more", machines));
    return exitBroken;
}

int Case::run()
{
    for (const char* zone : { "bp-a", "bp-b", "bp-c" }) {
        m_deployment.addGateway(std::string("front-") + zone + "-1", zone);
        m_deployment.addKeeper(std::string("store-") + zone + "-1", zone);
    }
    m_deployment.putManifest();
    m_deployment.startAll();
    if (!m_deployment.awaitReady(keepers, startLimit)) {
        m_record.write("the deployment did not become ready");
        return exitNotRun;
    }
    m_record.write("the deployment is ready");
    m_deployment.enforceMemory();
    sleepFiber(calmTime);
    spawnFiber([this] { sendTurns(); });
    for (int n = 0; n < requests; ++n) {
        const std::string& gateway = m_deployment.gateways()[static_cast<std::size_t>(n) % m_deployment.gateways().size()];
        std::string request = fmt::format("{} /calls/1 HTTP/1.1\r\nHost: h.example\r\nX-Basilpoint-Request-Id: call-{}\r\nX-Basilpoint-Deadline-Ms: 1200\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", m_hasTrouble ? "TRACE" : "POST", n);
        m_record.write(fmt::format("sent: call-{} to {}", n, gateway));
        std::string answer = m_deployment.exchange(gateway, request, answerLimit);
        m_record.write(fmt::format("answered: call-{} with {}", n, answer.empty() ? "nothing" : answer.substr(0, answer.find('\r'))));
        sleepFiber(requestInterval);
    }
    m_isOver = true;
    while (m_waiting > 0)
        sleepFiber(Milliseconds(50));
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
