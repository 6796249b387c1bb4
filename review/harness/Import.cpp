// New programs go on from turns of earlier programs when the store goes down and the gateways are killed.
#include "Harness.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

constexpr int outages = 4;
constexpr int programsEach = 110;
constexpr auto interval = milliseconds(14);
constexpr auto outage = milliseconds(4'500);
constexpr auto untilKill = milliseconds(2'000);
constexpr int tries = 6;

struct Program {
    std::string first = newId();
    std::string second = newId();
    std::string id = newId();
    bool isFirstWhole = false;
    bool isSecondWhole = false;
    unsigned tries = 0;
    bool isContinued = false;
    int lastStatus = 0;
};

class ImportCase {
public:
    ImportCase(const std::string& path, bool hasTrouble)
        : m_record(path)
        , m_store(m_record)
        , m_deployment(m_record, m_store)
        , m_programs(outages * programsEach)
        , m_hasTrouble(hasTrouble)
    {
    }

    int run()
    {
        for (int n = 0; n < 4; ++n)
            m_replicas.push_back(std::make_unique<Replica>(m_record, "i-" + std::to_string(n), "models", "za", 16));
        m_store.put("op/config", manifest(7));
        for (const auto& it : m_replicas)
            m_store.put("servers/" + it->id(), it->registration());
        m_deployment.startAll(3, 3);
        m_gateways = m_deployment.gateways();
        if (!m_deployment.awaitReady(milliseconds(15'000)))
            return fail("the deployment is not ready");
        sleepFor(milliseconds(3'000));
        makeEarlierTurns();
        // The final fault, also without the trouble: after it, new programs go on from turns of before.
        restart(true);
        if (!m_deployment.awaitReady(milliseconds(15'000)))
            return fail("the deployment is not ready after the final fault");
        sleepFor(milliseconds(3'000));
        for (int n = 0; n < outages; ++n) {
            goOn(n * programsEach);
            if (!m_deployment.awaitReady(milliseconds(15'000)))
                return fail("the deployment is not ready after an outage");
        }
        // After this all machines are in touch.
        sleepFor(milliseconds(7'000));
        for (int n = 0; n < tries; ++n)
            goOnAgain(n);
        return judge();
    }

private:
    static int fail(const char* reason)
    {
        std::cerr << reason << "\n";
        return 2;
    }

    unsigned portOf(int n) const { return m_deployment.callersOf(m_gateways[static_cast<std::size_t>(n) % m_gateways.size()]); }

    void noteAnswer(const std::string& turn, const Answer& answer)
    {
        m_record.write("turn " + turn + " answered " + std::to_string(answer.status) + (answer.isWhole ? " whole" : " not whole"));
    }

    void restart(bool withKeepers)
    {
        std::vector<std::string> names = m_gateways;
        if (withKeepers)
            for (const std::string& it : m_deployment.keepers())
                names.push_back(it);
        for (const std::string& it : names)
            m_deployment.kill(it);
        for (const std::string& it : names)
            m_deployment.start(it);
    }

    /// Calls \p send for each program of a range in a thread of its own, one after the other.
    template <typename Send>
    void forEachProgram(int begin, int end, milliseconds pause, Send send)
    {
        std::vector<std::thread> threads;
        for (int n = begin; n < end; ++n) {
            threads.emplace_back([&, n] { send(n, m_programs[static_cast<std::size_t>(n)]); });
            sleepFor(pause);
        }
        for (std::thread& it : threads)
            it.join();
    }

    void makeEarlierTurns()
    {
        forEachProgram(0, outages * programsEach, milliseconds(10), [&](int n, Program& program) {
            Answer answer = sendTurn(portOf(n), { program.first, "earlier-" + program.id, "", "input of the first turn;" });
            program.isFirstWhole = answer.status == 200 && answer.isWhole;
            noteAnswer(program.first, answer);
        });
    }

    // The store goes down in the midst of it.
    void goOn(int begin)
    {
        std::thread trouble([&] {
            if (!m_hasTrouble)
                return;
            sleepFor(interval * programsEach / 2);
            m_record.write("the store goes down");
            m_store.isSilent = true;
            sleepFor(untilKill);
            restart(false);
            sleepFor(outage - untilKill);
            m_store.isSilent = false;
            m_record.write("the store is back");
        });
        forEachProgram(begin, begin + programsEach, interval, [&](int n, Program& program) {
            if (!program.isFirstWhole)
                return;
            Answer answer = sendTurn(portOf(n), { program.second, program.id, program.first, "input of the second turn;" });
            program.isSecondWhole = answer.status == 200 && answer.isWhole;
            noteAnswer(program.second, answer);
        });
        trouble.join();
    }

    bool hasRun(const std::string& turn)
    {
        return std::any_of(m_replicas.begin(), m_replicas.end(), [&](const auto& it) { return it->runsOf(turn) > 0; });
    }

    // Each try goes to the next gateway.
    void goOnAgain(int round)
    {
        forEachProgram(0, outages * programsEach, milliseconds(2), [&](int n, Program& program) {
            if (!program.isSecondWhole || program.isContinued)
                return;
            TurnCall turn { newId(), program.id, program.second, "input of the third turn;" };
            ++program.tries;
            Answer answer = sendTurn(portOf(n + round), turn);
            program.lastStatus = answer.status;
            program.isContinued = hasRun(turn.id);
            m_record.write("turn " + turn.id + " goes on from " + program.second);
            noteAnswer(turn.id, answer);
        });
        sleepFor(milliseconds(1'000));
    }

    int judge()
    {
        int accepted = 0;
        int lost = 0;
        for (const Program& it : m_programs) {
            accepted += it.isSecondWhole ? 1 : 0;
            if (!it.isSecondWhole || it.isContinued || it.tries < 5)
                continue;
            ++lost;
            m_record.write("lost: turn " + it.second + " of program " + it.id + " was answered whole, and what goes on from it reached no replica in " + std::to_string(it.tries) + " tries, the last answered " + std::to_string(it.lastStatus));
        }
        int firstTurns = 0;
        for (int n = 0; n < 10; ++n)
            firstTurns += sendTurn(portOf(n), { newId(), newId(), "", "a first turn;" }).status == 200 ? 1 : 0;
        std::string summary = "second turns answered whole: " + std::to_string(accepted) + ", of these lost: " + std::to_string(lost) + ", first turns served at the end: " + std::to_string(firstTurns) + " of 10";
        m_record.write(summary);
        std::cout << summary << "\n";
        if (accepted == 0 || firstTurns < 9)
            return fail("not enough turns were served");
        return lost > 0 ? 1 : 0;
    }

    Record m_record;
    Store m_store;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    Deployment m_deployment;
    std::vector<std::string> m_gateways;
    std::vector<Program> m_programs;
    bool m_hasTrouble;
};

} // namespace

int main(int argc, char** argv)
{
    const char* trouble = std::getenv("TROUBLE");
    return ImportCase(argc > 1 ? argv[1] : "record.txt", !trouble || std::string(trouble) != "0").run();
}
