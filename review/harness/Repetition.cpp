// Sub-agents get the same instruction in parallel, and the replica that runs them crashes once (silently). Later another program
// starts sub-agents with that instruction.
#include "Harness.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr int agents = 8;
constexpr int replicaCount = 9;
constexpr int promptTokens = 20'000;
// A turn is sent again at most twice, and each time the client repeats an attempt that was answered with a promise once.
constexpr int sendsOfTurn = 3;
constexpr int attemptsOfSend = 2;
// Clients abandon a stream after a gap of two seconds.
constexpr int patienceMs = 2'000;

class RepetitionCase {
public:
    RepetitionCase(const std::string& path, bool hasTrouble)
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
        if (!startProgram(m_hasTrouble))
            return fail("the parent's turn was not served");
        // All machines are in touch, and all replicas run.
        sleepFor(milliseconds(8'000));
        m_lost = 0;
        if (!startProgram(false))
            return fail("the second parent's turn was not served");
        int lost = m_lost;
        int firstTurns = 0;
        for (int n = 0; n < 10; ++n)
            firstTurns += sendTurn(portOf(n), { newId(), newId(), "", "a first turn " + std::to_string(n) }).status == 200 ? 1 : 0;
        std::string summary = "sub-agents of the second program: " + std::to_string(agents) + ", lost: " + std::to_string(lost) + ", first turns served at the end: " + std::to_string(firstTurns) + " of 10";
        m_record.write(summary);
        std::cout << summary << "\n";
        if (firstTurns < 9)
            return fail("first turns were not served");
        return lost > 0 ? 1 : 0;
    }

private:
    static int fail(const char* reason)
    {
        std::cerr << reason << "\n";
        return 2;
    }

    unsigned portOf(int n) const { return m_deployment.callersOf(m_gateways[static_cast<std::size_t>(n) % m_gateways.size()]); }

    /// One program: its first turn, and then sub-agents that go on from it.
    bool startProgram(bool crashes)
    {
        std::string program = newId();
        TurnCall parent { newId(), program, "", program + std::string(80'000, 'p') };
        parent.promptTokens = promptTokens;
        parent.budget = 20'000;
        if (sendTurn(portOf(0), parent).status != 200)
            return false;
        m_record.write("the program " + program + " starts its sub-agents");
        for (const auto& it : m_replicas)
            it->firstMs = 400;
        std::vector<std::thread> threads;
        threads.reserve(agents);
        for (int n = 0; n < agents; ++n)
            threads.emplace_back([&] { runAgent(program, parent.id); });
        if (crashes) {
            sleepFor(milliseconds(200));
            auto busiest = std::max_element(m_replicas.begin(), m_replicas.end(), [](const auto& one, const auto& other) { return one->runs().size() < other->runs().size(); });
            (*busiest)->goDark();
            // Its entry is removed after three intervals of silence. It is back after some seconds, as a new lifetime.
            sleepFor(milliseconds(3'600));
            m_store.remove("servers/" + (*busiest)->id());
            sleepFor(milliseconds(300));
            (*busiest)->restart();
            m_store.put("servers/" + (*busiest)->id(), (*busiest)->registration());
        }
        for (std::thread& it : threads)
            it.join();
        for (const auto& it : m_replicas)
            it->firstMs = 60;
        return true;
    }

    bool hasRun(const std::string& turn)
    {
        return std::any_of(m_replicas.begin(), m_replicas.end(), [&](const auto& it) { return it->runsOf(turn) > 0; });
    }

    /// The first turn of a sub-agent, with all its tries. A client's channels lead to one gateway; retries reach others.
    void runAgent(const std::string& program, const std::string& parent)
    {
        std::string session = newId();
        int tries = 0;
        bool reachesReplica = false;
        for (int send = 0; send < sendsOfTurn; ++send) {
            for (int attempt = 0; attempt < attemptsOfSend; ++attempt) {
                TurnCall turn { newId(), program, parent, "Solve your part of the task." };
                turn.session = session;
                turn.promptTokens = promptTokens;
                turn.budget = 20'000;
                turn.patienceMs = patienceMs;
                Answer answer = sendTurn(portOf(tries++), turn);
                bool ran = hasRun(turn.id);
                reachesReplica = reachesReplica || ran;
                m_record.write("turn " + turn.id + " of the sub-agent " + session + " answered " + std::to_string(answer.status) + (answer.isWhole ? " whole" : " not whole") + (ran ? ", ran" : ", not run"));
                if (answer.status == 200 && answer.isWhole)
                    return;
                auto pause = answer.headers.find("retry-after");
                if (answer.status != 503 || pause == answer.headers.end())
                    break;
                sleepFor(milliseconds(static_cast<int>(1'000 * std::stod(pause->second))));
            }
            sleepFor(milliseconds(250));
        }
        if (reachesReplica || tries < 5)
            return;
        ++m_lost;
        m_record.write("the sub-agent " + session + " reached no replica in " + std::to_string(tries) + " tries");
    }

    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    Deployment m_deployment;
    std::vector<std::string> m_gateways;
    bool m_hasTrouble;
    std::atomic<int> m_lost { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    const char* trouble = std::getenv("TROUBLE");
    return RepetitionCase(argc > 1 ? argv[1] : "record.txt", !trouble || std::string(trouble) != "0").run();
}
