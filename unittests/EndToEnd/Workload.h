#pragma once

#include "Caller.h"

#include <map>
#include <set>

namespace basilpoint::test {

/// Programs that run concurrently while a test injects faults, and the outcomes reported to their callers.
class Workload {
public:
    Workload(HttpClient&, TestFleet&, unsigned answerTokens);

    /// Starts \p programs programs of \p turns turns, with a payout call after every turn.
    void start(unsigned programs, unsigned turns);

    bool finished() const { return m_done == m_programs; }
    unsigned turnsDone() const { return m_turnsDone; }
    unsigned retries() const { return m_retries; }
    unsigned unknownOutcomes() const { return m_unknown; }

    /// Checks the number of effects of each payout at the tool against its reported outcome, and that all
    /// answers have different labels.
    void check();

private:
    void runProgram(unsigned n, unsigned turns);

    HttpClient& m_client;
    TestFleet& m_fleet;
    unsigned m_answerTokens;
    unsigned m_programs = 0;
    unsigned m_done = 0;
    unsigned m_turnsDone = 0;
    unsigned m_retries = 0;
    unsigned m_unknown = 0;
    std::map<std::string, ToolResult> m_payouts;
    std::set<std::string> m_promptLabels;
    unsigned m_answers = 0;
};

} // namespace basilpoint::test
