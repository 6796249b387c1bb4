// Case: keepers whose disks hold many turns of an outage must be able to start again within their memory.

#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <set>

using namespace basilpoint;
using namespace basilpoint::review;

static constexpr int exitHeld = 0;
static constexpr int exitBroken = 1;
static constexpr int exitNotRun = 2;
static constexpr std::size_t keepers = 3;
static constexpr Milliseconds startLimit { 20'000 };
// Longer than stableWindowMs.
static constexpr Milliseconds calmTime { 4'000 };
static constexpr Milliseconds outage { 4'500 };
static constexpr Milliseconds lossOfProcesses { 1'000 };
// Ends within a second of a disruption do not count.
static constexpr Milliseconds excusedTime { 1'000 };
static constexpr Milliseconds recoverTime { 12'000 };
static constexpr Milliseconds lastPart { 4'000 };
static constexpr Milliseconds observedTime { 25'000 };
static constexpr Milliseconds retryPause { 400 };
static constexpr std::size_t turnsPerSecond = 220;
static constexpr Milliseconds freshInterval { 200 };
static constexpr unsigned toleratedEnds = 2;
// A tenth of six machines, but two at least.
static constexpr std::size_t machinesThatCount = 2;

namespace {

class Case {
public:
    Case(boost::asio::io_context& io, Record& record, const std::string& folder, const std::string& program, bool hasTrouble, std::size_t bodyBytes)
        : m_record(record)
        , m_deployment(io, record, folder, program, kjpBasil)
        , m_hasTrouble(hasTrouble)
        , m_bodyBytes(bodyBytes)
    {
    }

    int run();
    /// Ends all processes.
    void end() { m_deployment.killAll(); }

private:
    void sendFirstTurns();
    void sendFirstTurn(std::size_t number);
    void continueTurn(const Deployment::Turn&);
    void sendFreshTurn(std::size_t number);
    const std::string& gatewayFor(std::size_t number) const { return m_deployment.gateways()[number % m_deployment.gateways().size()]; }
    int judge();

    Record& m_record;
    Deployment m_deployment;
    bool m_hasTrouble;
    std::size_t m_bodyBytes;
    /// Turns that were answered whole.
    std::vector<Deployment::Turn> m_kept;
    std::set<std::string> m_continued;
    std::size_t m_sent = 0;
    std::size_t m_waiting = 0;
    std::size_t m_refused = 0;
    /// Of the last four seconds before recoverS has passed.
    std::size_t m_fresh = 0;
    std::size_t m_freshServed = 0;
    bool m_isOver = false;
    std::chrono::steady_clock::time_point m_backAt;
};

} // namespace

void Case::sendFirstTurn(std::size_t number)
{
    std::string text = fmt::format("input of program {} ", number);
    std::string body;
    while (body.size() < m_bodyBytes)
        body += text;
    Deployment::Turn turn { fmt::format("turn-{}-1", number), fmt::format("program-{}", number), {}, std::move(body) };
    Deployment::Answer answer = m_deployment.send(gatewayFor(number), turn);
    if (answer.status == 200 && !m_isOver)
        m_kept.push_back(std::move(turn));
    --m_waiting;
}

void Case::sendFirstTurns()
{
    auto begin = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n * 1'000 / turnsPerSecond < static_cast<std::size_t>(outage.count()); ++n) {
        auto at = begin + Milliseconds(n * 1'000 / turnsPerSecond);
        auto now = std::chrono::steady_clock::now();
        if (now < at)
            sleepFiber(std::chrono::ceil<Milliseconds>(at - now));
        ++m_waiting;
        spawnFiber([this, number = ++m_sent] { sendFirstTurn(number); });
    }
}

void Case::continueTurn(const Deployment::Turn& kept)
{
    for (int n = 1; std::chrono::steady_clock::now() < m_backAt + recoverTime; ++n) {
        Deployment::Turn next { fmt::format("{}-next-{}", kept.id, n), kept.program, kept.id, "next;" };
        Deployment::Answer answer = m_deployment.send(gatewayFor(static_cast<std::size_t>(n)), next);
        if (answer.status == 404)
            ++m_refused;
        if (answer.status == 404 || answer.status == 200) {
            m_continued.insert(kept.id);
            break;
        }
        sleepFiber(retryPause);
    }
    --m_waiting;
}

void Case::sendFreshTurn(std::size_t number)
{
    auto now = std::chrono::steady_clock::now();
    bool counts = now >= m_backAt + recoverTime - lastPart && now < m_backAt + recoverTime;
    bool isServed = m_deployment.send(gatewayFor(number), { fmt::format("fresh-{}", number), fmt::format("fresh-program-{}", number), {}, "hello;" }).status == 200;
    m_fresh += counts ? 1 : 0;
    m_freshServed += counts && isServed ? 1 : 0;
    --m_waiting;
}

int Case::judge()
{
    std::size_t machines = 0;
    std::string ends;
    for (const auto& [name, count] : m_deployment.ends()) {
        machines += count > toleratedEnds ? 1 : 0;
        ends += fmt::format(" {}: {} times, at most {} MB", name, count, m_deployment.peaks().at(name));
    }
    std::size_t unanswered = m_kept.size() - m_continued.size();
    bool areOthersServed = m_freshServed * 5 >= m_fresh * 4 && m_fresh > 0;
    m_record.write(fmt::format("result: {} of {} turns were answered whole; {} of these reached no replica within recoverS and {} got 404; {} of {} new programs were served in the last 4 s before; ended by themselves:{}", m_kept.size(), m_sent, unanswered, m_refused, m_freshServed, m_fresh, ends.empty() ? " none" : ends));
    if (machines >= machinesThatCount)
        m_record.write(fmt::format("rule: Fault: processes of {} machines have ended by themselves three times or more", machines));
    if ((unanswered > 0 && areOthersServed) || m_refused > 0)
        m_record.write("rule: LOST: turns that were answered whole cannot be continued");
    return machines >= machinesThatCount || (unanswered > 0 && areOthersServed) || m_refused > 0 ? exitBroken : exitHeld;
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
    if (m_hasTrouble)
        m_deployment.store.setDown(true);
    sendFirstTurns();
    if (m_hasTrouble) {
        m_isOver = true;
        m_deployment.killAll();
        m_deployment.store.setDown(false);
        sleepFiber(lossOfProcesses);
        m_deployment.startAll();
    }
    m_backAt = std::chrono::steady_clock::now();
    m_record.write("the processes are back");
    sleepFiber(excusedTime);
    m_deployment.enforceMemory();
    for (const Deployment::Turn& it : m_kept) {
        ++m_waiting;
        spawnFiber([this, &it] { continueTurn(it); });
        sleepFiber(Milliseconds(2));
    }
    for (std::size_t n = 1; std::chrono::steady_clock::now() < m_backAt + observedTime; ++n) {
        ++m_waiting;
        spawnFiber([this, n] { sendFreshTurn(n); });
        sleepFiber(freshInterval);
    }
    while (m_waiting > 0)
        sleepFiber(Milliseconds(50));
    return m_kept.empty() ? exitNotRun : judge();
}

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fputs("arguments: PROGRAM FOLDER RECORD\n", stderr);
        return exitNotRun;
    }
    const char* trouble = std::getenv("TROUBLE");
    const char* bytes = std::getenv("BODY_BYTES");
    FiberRuntime runtime;
    runtime.run([&] {
        // Never deleted, since fibers use them until the process ends.
        auto& record = *new Record(argv[3]);
        auto& it = *new Case(runtime.io(), record, argv[2], argv[1], !trouble || std::string(trouble) != "0", bytes ? std::stoul(bytes) : 20'000);
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
