#include "Workload.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <boost/test/unit_test.hpp>

namespace basilpoint::test {

static constexpr unsigned budgetTokens = 100'000;

Workload::Workload(HttpClient& client, TestFleet& fleet, unsigned answerTokens)
    : m_client(client)
    , m_fleet(fleet)
    , m_answerTokens(answerTokens)
{
}

void Workload::start(unsigned programs, unsigned turns)
{
    unsigned first = m_programs;
    m_programs += programs;
    for (unsigned n = first; n < m_programs; ++n)
        spawnFiber([this, n, turns] {
            try {
                runProgram(n, turns);
            } catch (const CallerFailed&) {
                ++m_done;
            }
        });
}

void Workload::runProgram(unsigned n, unsigned turns)
{
    Caller caller(m_client, m_fleet, n + 1);
    std::string program = caller.open("open-" + std::to_string(n), budgetTokens);
    for (unsigned turn = 1; turn <= turns; ++turn) {
        std::string name = std::to_string(n) + "-" + std::to_string(turn);
        std::string content = caller.chat(program, "turn-" + name, "question " + name);
        BOOST_TEST(isCompleteAnswer(content, m_answerTokens), content);
        m_promptLabels.insert(labelOf(content));
        ++m_answers;
        ToolResult result = caller.pay(program, "pay-" + name);
        m_payouts["pay-" + name] = result;
        m_unknown += result == ToolResult::Unknown ? 1 : 0;
        ++m_turnsDone;
    }
    nlohmann::json summary = caller.show(program);
    BOOST_TEST(summary.value("turns", 0U) == turns, summary.dump());
    BOOST_TEST(summary.value("spentTokens", budgetTokens) <= budgetTokens, summary.dump());
    BOOST_TEST(summary.value("reservedTokens", 1U) == 0U, summary.dump());
    caller.close(program);
    m_retries += caller.retries();
    ++m_done;
}

void Workload::check()
{
    nlohmann::json effects = m_fleet.effects();
    for (const auto& [key, result] : m_payouts) {
        unsigned count = effects.value(key, 0U);
        switch (result) {
        case ToolResult::Ran:
            BOOST_TEST(count == 1U, key);
            break;
        case ToolResult::NotRun:
            BOOST_TEST(count == 0U, key);
            break;
        case ToolResult::Unknown:
            BOOST_TEST(count <= 1U, key);
            break;
        }
    }
    // The label is a hash of the whole prompt, so a lost history or one of another program would show as a
    // duplicate label.
    BOOST_TEST(m_promptLabels.size() == m_answers);
}

} // namespace basilpoint::test
