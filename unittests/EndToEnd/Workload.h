#pragma once

#include "Caller.h"

#include <map>
#include <set>

namespace basilpoint::test {

/// Programs that run at once while a test does harm, and what their callers were told.
class Workload {
public:
    Workload(HttpClient&, TestFleet&, unsigned answerTokens);

    /// Starts \p programs programs of \p turns turns, each with a payout after every turn.
    void start(unsigned programs, unsigned turns);

    bool finished() const { return m_done == m_programs; }
    unsigned turnsDone() const { return m_turnsDone; }
    unsigned repeats() const { return m_repeats; }
    unsigned unknownOutcomes() const { return m_unknown; }

    /// Checks every effect at the tool, every answer and every budget against what the callers know.
    void check();

private:
    void runProgram(unsigned n, unsigned turns);

    HttpClient& m_client;
    TestFleet& m_fleet;
    unsigned m_answerTokens;
    unsigned m_programs = 0;
    unsigned m_done = 0;
    unsigned m_turnsDone = 0;
    unsigned m_repeats = 0;
    unsigned m_unknown = 0;
    std::map<std::string, ToolResult> m_payouts;
    std::set<std::string> m_labels;
    unsigned m_answers = 0;
};

} // namespace basilpoint::test
