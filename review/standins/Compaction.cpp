// Case: turns that are kept on the keepers' disks while the store is down must outlive the end of all processes.

#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <csignal>
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
static constexpr Milliseconds retireLimit { 8'300 };
// Longer than stableWindowMs.
static constexpr Milliseconds calmTime { 4'000 };
static constexpr Milliseconds outage { 6'700 };
static constexpr Milliseconds lossOfProcesses { 1'000 };
static constexpr Milliseconds retryPause { 200 };
static constexpr int maxTries = 40;
static constexpr int agents = 3;
// A turn is lost only if it is being written while the journal is compacted, which not each round meets.
static constexpr int rounds = 4;
// A round that begins later might not end within two minutes.
static constexpr std::chrono::seconds lastBeginning { 80 };

namespace {

struct Settings {
    bool hasTrouble = true;
    std::size_t turnsPerSecond = 180;
    std::size_t bodyBytes = 26'000;
};

class Case {
public:
    Case(boost::asio::io_context& io, Record& record, const std::string& folder, const std::string& program, const Settings& settings)
        : m_record(record)
        , m_deployment(io, record, folder, program, futoorProd)
        , m_settings(settings)
    {
    }

    int run();
    /// Ends all processes.
    void end() { m_deployment.killAll(); }

private:
    void sendFirstTurns(Milliseconds time);
    void sendFirstTurn(std::size_t number);
    void continueTurn(const Deployment::Turn&, int agent);

    Record& m_record;
    Deployment m_deployment;
    Settings m_settings;
    /// Turns that were answered whole while the store was down.
    std::vector<Deployment::Turn> m_kept;
    std::size_t m_sent = 0;
    std::size_t m_waiting = 0;
    std::size_t m_lost = 0;
    std::size_t m_unanswered = 0;
    std::size_t m_continued = 0;
    bool m_isOver = false;
};

} // namespace

void Case::sendFirstTurn(std::size_t number)
{
    std::string text = fmt::format("input of program {} ", number);
    std::string body;
    while (body.size() < m_settings.bodyBytes)
        body += text;
    Deployment::Turn turn { fmt::format("turn-{}-1", number), fmt::format("program-{}", number), {}, std::move(body) };
    const std::string& gateway = m_deployment.gateways()[number % m_deployment.gateways().size()];
    Deployment::Answer answer = m_deployment.send(gateway, turn);
    if (answer.status == 200 && !m_isOver)
        m_kept.push_back(std::move(turn));
    --m_waiting;
}

void Case::sendFirstTurns(Milliseconds time)
{
    auto begin = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n * 1'000 / m_settings.turnsPerSecond < static_cast<std::size_t>(time.count()); ++n) {
        auto at = begin + Milliseconds(n * 1'000 / m_settings.turnsPerSecond);
        auto now = std::chrono::steady_clock::now();
        if (now < at)
            sleepFiber(std::chrono::ceil<Milliseconds>(at - now));
        ++m_waiting;
        spawnFiber([this, number = ++m_sent] { sendFirstTurn(number); });
    }
}

// As a sub-agent does that begins with what was said before.
void Case::continueTurn(const Deployment::Turn& kept, int agent)
{
    for (int n = 1; n <= maxTries; ++n) {
        Deployment::Turn next { fmt::format("{}-agent-{}-try-{}", kept.id, agent, n), kept.program, kept.id, "next;" };
        Deployment::Answer answer = m_deployment.send(m_deployment.gateways()[static_cast<std::size_t>(agent) % m_deployment.gateways().size()], next);
        if (answer.status == 404 || answer.status == 410) {
            ++m_lost;
            m_record.write(fmt::format("rule: {} was answered whole and is answered {} as previous turn", kept.id, answer.status));
            break;
        }
        if (answer.status == 200) {
            ++m_continued;
            break;
        }
        if (n == maxTries)
            ++m_unanswered;
        sleepFiber(retryPause);
    }
    --m_waiting;
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
    if (!m_deployment.retire("store-bp-c-1", retireLimit)) {
        m_record.write("the machine was not emptied");
        return exitNotRun;
    }
    sleepFiber(calmTime);
    if (m_settings.hasTrouble)
        m_deployment.store.setDown(true);
    sleepFiber(Milliseconds(300));
    sendFirstTurns(outage - Milliseconds(300));
    if (m_settings.hasTrouble) {
        m_isOver = true;
        m_deployment.killAll();
        m_deployment.store.setDown(false);
        sleepFiber(lossOfProcesses);
        m_deployment.startAll();
        if (!m_deployment.awaitReady(keepers - 1, startLimit)) {
            m_record.write("the deployment did not become ready again");
            return exitNotRun;
        }
    }
    while (m_waiting > 0)
        sleepFiber(Milliseconds(50));
    m_record.write(fmt::format("{} turns were answered whole; each is continued", m_kept.size()));
    if (m_kept.empty())
        return exitNotRun;
    for (const Deployment::Turn& it : m_kept) {
        for (int agent = 1; agent <= agents; ++agent) {
            ++m_waiting;
            spawnFiber([this, &it, agent] { continueTurn(it, agent); });
        }
        sleepFiber(Milliseconds(4));
    }
    while (m_waiting > 0)
        sleepFiber(Milliseconds(50));
    m_record.write(fmt::format("result: {} turns sent, {} answered whole; of their continuations {} ran, {} answered 404 or 410, {} without an answer", m_sent, m_kept.size(), m_continued, m_lost, m_unanswered));
    return m_lost > 0 ? exitBroken : exitHeld;
}

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fputs("arguments: PROGRAM FOLDER RECORD\n", stderr);
        return exitNotRun;
    }
    Settings settings;
    if (const char* trouble = std::getenv("TROUBLE"))
        settings.hasTrouble = std::string(trouble) != "0";
    // Smaller turns keep the journals below the size at which they are compacted.
    if (const char* bytes = std::getenv("BODY_BYTES"))
        settings.bodyBytes = std::stoul(bytes);
    FiberRuntime runtime;
    runtime.run([&] {
        // Never deleted, since fibers use them until the process ends.
        auto& record = *new Record(argv[3]);
        int status = exitHeld;
        auto begin = std::chrono::steady_clock::now();
        // Each round is a day of its own.
        for (int n = 1; n <= rounds && status == exitHeld && std::chrono::steady_clock::now() < begin + lastBeginning; ++n) {
            std::string folder = fmt::format("{}/{}", argv[2], n);
            std::filesystem::create_directories(folder);
            auto& it = *new Case(runtime.io(), record, folder, argv[1], settings);
            record.write(fmt::format("round {}", n));
            try {
                status = it.run();
            } catch (const std::exception& error) {
                record.write(fmt::format("the case could not run: {}", error.what()));
                status = exitNotRun;
            }
            it.end();
        }
        exitProcess(status);
    });
}
