// A turn crashes each replica that runs it, by its history. Its own input is one that sound turns have as well.
#include "Harness.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr int replicaCount = 9;
constexpr int retries = 22;
// Clients abandon a stream after a gap of two seconds.
constexpr int patienceMs = 2'000;
constexpr auto pauseOfSound = milliseconds(150);
constexpr double stableWindowSeconds = 3;
constexpr unsigned toleratedRetries = 3;

const char* const commonInput = "Yes, go on.";
const char* const crashingText = "the text that crashes";

class CrashingCase {
public:
    CrashingCase(const std::string& path, bool hasTrouble)
        : m_record(path)
        , m_store(m_record)
        , m_deployment(m_record, m_store)
        , m_hasTrouble(hasTrouble)
    {
    }

    int run()
    {
        for (int n = 0; n < replicaCount; ++n)
            m_replicas.push_back(std::make_unique<Replica>(m_record, "i-" + std::to_string(n), "models", "za", 8));
        m_store.put("op/config", manifest(7));
        for (const auto& it : m_replicas)
            m_store.put("servers/" + it->id(), it->registration());
        m_deployment.startAll(3, 3);
        m_gateways = m_deployment.gateways();
        if (!m_deployment.awaitReady(milliseconds(15'000)))
            return fail("the deployment is not ready");
        sleepFor(milliseconds(4'000));
        TurnCall first { newId(), newId(), "", crashingText };
        if (sendTurn(portOf(0), first).status != 200)
            return fail("the first turn was not served");
        if (m_hasTrouble)
            for (const auto& it : m_replicas)
                it->crashesOn = crashingText;
        std::vector<std::thread> threads;
        for (const auto& it : m_replicas)
            threads.emplace_back([this, &replica = *it] { bringBack(replica); });
        threads.emplace_back([this] { sendSoundTurns(); });
        sleepFor(milliseconds(1'000));
        sendCrashingTurns(first);
        m_isOver = true;
        for (std::thread& it : threads)
            it.join();
        return judge();
    }

private:
    static int fail(const char* reason)
    {
        std::cerr << reason << "\n";
        return 2;
    }

    unsigned portOf(int n) const { return m_deployment.callersOf(m_gateways[static_cast<std::size_t>(n) % m_gateways.size()]); }

    // The entry of a crashed replica is removed after three intervals of silence; it is back after some seconds.
    void bringBack(Replica& replica)
    {
        for (int known = 0; !m_isOver; sleepFor(milliseconds(20))) {
            if (replica.crashes == known)
                continue;
            ++known;
            sleepFor(milliseconds(3'600));
            m_store.remove("servers/" + replica.id());
            sleepFor(milliseconds(300));
            replica.restart();
            m_store.put("servers/" + replica.id(), replica.registration());
        }
    }

    void sendSoundTurns()
    {
        for (int n = 0; !m_isOver; ++n) {
            TurnCall first { newId(), newId(), "", "a sound beginning " + std::to_string(n) };
            if (sendTurn(portOf(n), first).status == 200) {
                TurnCall second { newId(), first.program, first.id, commonInput };
                Answer answer = sendTurn(portOf(n + 1), second);
                m_soundAnswers += answer.status == 200 && answer.isWhole ? 1 : 0;
                m_record.write("sound turn " + second.id + " answered " + std::to_string(answer.status));
            }
            sleepFor(pauseOfSound);
        }
    }

    void sendCrashingTurns(const TurnCall& first)
    {
        for (int n = 0; n < retries; ++n) {
            TurnCall turn { newId(), first.program, first.id, commonInput };
            turn.patienceMs = patienceMs;
            double sentAt = secondsNow();
            Answer answer = sendTurn(portOf(n), turn);
            bool ran = std::any_of(m_replicas.begin(), m_replicas.end(), [&](const auto& it) { return it->runsOf(turn.id) > 0; });
            m_record.write("the turn that crashes replicas, as " + turn.id + ", answered " + std::to_string(answer.status) + (ran ? ", ran" : ", not run"));
            if (ran && m_thirdAt > 0 && sentAt > m_thirdAt + stableWindowSeconds)
                ++m_lateRuns;
            if (ran && m_hasTrouble && ++m_crashes == 3)
                m_thirdAt = sentAt;
            sleepFor(milliseconds(300));
        }
    }

    int judge()
    {
        std::string summary = "replicas crashed: " + std::to_string(m_crashes) + ", retries that reached a replica later than " + std::to_string(static_cast<int>(stableWindowSeconds)) + " s after the third: " + std::to_string(m_lateRuns) + ", sound turns with the same input answered: " + std::to_string(m_soundAnswers);
        m_record.write(summary);
        std::cout << summary << "\n";
        if (m_soundAnswers < 20)
            return fail("sound turns were not served");
        return m_lateRuns > toleratedRetries ? 1 : 0;
    }

    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    Deployment m_deployment;
    std::vector<std::string> m_gateways;
    bool m_hasTrouble;
    std::atomic<bool> m_isOver { false };
    std::atomic<int> m_soundAnswers { 0 };
    unsigned m_crashes = 0;
    unsigned m_lateRuns = 0;
    double m_thirdAt = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const char* trouble = std::getenv("TROUBLE");
    return CrashingCase(argc > 1 ? argv[1] : "record.txt", !trouble || std::string(trouble) != "0").run();
}
