// A few clients send turns with long inputs at once, within the limits of the manifest.
#include "Harness.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr int longClients = 6;
constexpr std::size_t longBytes = 4'000'000;
constexpr std::size_t shortBytes = 4'000;
// Each of the replicas has memory for one such prompt.
constexpr int longTokens = 100'000;
constexpr int shortTokens = 1'000;
constexpr int clientsEach = 6;
constexpr auto limitOfGateway = 260L;
constexpr auto limitOfKeeper = 270L;

class MemoryCase {
public:
    MemoryCase(const std::string& path, bool hasTrouble)
        : m_record(path)
        , m_store(m_record)
        , m_deployment(m_record, m_store)
        , m_tools(m_record, "i-tools", "tools", "za", 64)
        , m_hasTrouble(hasTrouble)
    {
        m_deployment.memoryMb = limitOfGateway;
    }

    int run()
    {
        m_tools.firstMs = 250;
        m_store.put("op/config", manifest(7));
        for (int n = 0; n < longClients + 3; ++n) {
            m_models.push_back(std::make_unique<Replica>(m_record, "i-" + std::to_string(n), "models", "za", 8));
            m_store.put("servers/" + m_models.back()->id(), m_models.back()->registration());
        }
        m_store.put("servers/" + m_tools.id(), m_tools.registration());
        m_deployment.startAll(3, 3);
        m_gateways = m_deployment.gateways();
        if (!m_deployment.awaitReady(milliseconds(15'000))) {
            std::cerr << "the deployment is not ready\n";
            return 2;
        }
        sleepFor(milliseconds(4'000));
        std::thread platform([this] { watchMemory(); });
        std::vector<std::thread> threads;
        for (const std::string& gateway : m_gateways)
            for (int n = 0; n < clientsEach; ++n)
                threads.emplace_back([this, gateway] { pay(gateway); });
        sleepFor(milliseconds(2'000));
        for (int n = 0; n < longClients; ++n)
            threads.emplace_back([this] { sendLongTurn(); });
        sleepFor(milliseconds(25'000));
        m_isOver = true;
        for (std::thread& it : threads)
            it.join();
        platform.join();
        int ended = 0;
        for (const auto& [name, count] : m_ended) {
            ended += count;
            m_record.write("the platform ended the process of " + name + " " + std::to_string(count) + " times, since it used more memory than its machine has");
        }
        std::string summary = "payments answered: " + std::to_string(m_answered) + ", run and left without an answer: " + std::to_string(m_lost) + ", processes ended for their memory: " + std::to_string(ended) + ", long turns answered whole: " + std::to_string(m_longAnswered);
        m_record.write(summary);
        std::cout << summary << "\n";
        if (m_answered < 100)
            return 2;
        return m_lost > 3 ? 1 : 0;
    }

private:
    // The platform kills a process that uses more than its limit, and starts it again after a short delay.
    void watchMemory()
    {
        std::vector<std::string> names = m_gateways;
        for (const std::string& it : m_deployment.keepers())
            names.push_back(it);
        while (!m_isOver) {
            for (const std::string& it : names) {
                long used = m_deployment.residentMb(it);
                long limit = it.starts_with("front") ? limitOfGateway : limitOfKeeper;
                if (used <= limit)
                    continue;
                m_record.write(it + " uses " + std::to_string(used) + " MB of " + std::to_string(limit));
                ++m_ended[it];
                m_deployment.kill(it);
                sleepFor(milliseconds(300));
                m_deployment.start(it);
            }
            sleepFor(milliseconds(10));
        }
    }

    void note(const std::string& payment, const std::string& gateway, const std::string& what)
    {
        std::string line("payment ");
        m_record.write(line.append(payment).append(" at ").append(gateway).append(what));
    }

    // A client on a kept channel; after a failure it opens a new one.
    void pay(const std::string& gateway)
    {
        while (!m_isOver) {
            auto channel = Channel::connect(m_deployment.callersOf(gateway), milliseconds(1'000));
            while (channel && !m_isOver) {
                std::string id = newId();
                Headers headers { { "host", "h.example" }, { "x-basilpoint-request-id", id }, { "x-basilpoint-deadline-ms", "3000" } };
                bool isSent = channel->send(encode("POST", "/pay/x", headers, "payment " + id));
                Answer answer = isSent ? channel->readAnswer(milliseconds(3'500)) : Answer {};
                if (answer.status != 0 && answer.isWhole) {
                    ++m_answered;
                    if (answer.status != 200)
                        note(id, gateway, " answered " + std::to_string(answer.status));
                    sleepFor(milliseconds(20));
                    continue;
                }
                bool isLost = channel->isClosed() && m_tools.runsOf(id) > 0;
                m_lost += isLost ? 1 : 0;
                note(id, gateway, isLost ? ": has run; its channel is closed without an answer" : ": not answered");
                break;
            }
            sleepFor(milliseconds(100));
        }
    }

    // A turn that has failed is sent again, at most twice.
    void sendLongTurn()
    {
        for (int n = 0; n < 3; ++n) {
            TurnCall turn { newId(), newId(), "", std::string(m_hasTrouble ? longBytes : shortBytes, 'x') };
            turn.promptTokens = m_hasTrouble ? longTokens : shortTokens;
            Answer answer = sendTurn(m_deployment.callersOf(m_gateways[static_cast<std::size_t>(n) % m_gateways.size()]), turn);
            m_record.write("turn " + turn.id + " of " + std::to_string(turn.input.size()) + " bytes answered " + std::to_string(answer.status) + (answer.isWhole ? " whole" : " not whole"));
            if (answer.status == 200 && answer.isWhole) {
                ++m_longAnswered;
                return;
            }
            sleepFor(milliseconds(300));
        }
    }

    Record m_record;
    Store m_store;
    Deployment m_deployment;
    std::vector<std::unique_ptr<Replica>> m_models;
    Replica m_tools;
    bool m_hasTrouble;
    std::vector<std::string> m_gateways;
    std::map<std::string, int> m_ended;
    std::atomic<bool> m_isOver { false };
    std::atomic<int> m_answered { 0 };
    std::atomic<int> m_lost { 0 };
    std::atomic<int> m_longAnswered { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    const char* trouble = std::getenv("TROUBLE");
    return MemoryCase(argc > 1 ? argv[1] : "record.txt", !trouble || std::string(trouble) != "0").run();
}
