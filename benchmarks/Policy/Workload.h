#pragma once

#include "basilpoint/Support/Ids.h"
#include "basilpoint/Support/Random.h"

#include <string>
#include <vector>

namespace basilpoint::bench {

struct ProgramSpec;

/// One model call of a program and the pause that follows it.
struct Turn {
    TokenCount outputTokens = 0;
    /// Tool that is called after the answer; empty if the program waits for its caller.
    std::string tool;
    double pauseSeconds = 0;
    /// Tokens that the tool or the caller adds to the prompt.
    TokenCount addedTokens = 0;
    /// Sub-agents that run after the answer instead of the tool.
    std::vector<ProgramSpec> subAgents;
};

/// Behaviour of a program. Policies have no access to it.
struct ProgramSpec {
    double arrivalSeconds = 0;
    TokenCount promptTokens = 0;
    std::vector<Turn> turns;
    /// Longest acceptable time from arrival to the last answer.
    double deadlineSeconds = 0;
    std::string owner;
    double latencyWeight = 0.7;
    double cacheWeight = 0.3;
    /// Whether the program repeats one turn until its deadline; such programs are excluded from the results.
    bool loops = false;
    /// Whether the program's first call crashes each replica that runs it; excluded from the results as well.
    bool crashes = false;
};

/// Kind of load; each one models the application of one user.
enum class WorkloadKind {
    /// Reconciliation near the close of a royalty period: long programs that call payout tools.
    PeriodClose,
    /// Many short chats in the early morning, with pauses of people.
    DawnRush,
};

struct WorkloadSettings {
    WorkloadKind kind = WorkloadKind::PeriodClose;
    double programsPerSecond = 1;
    double durationSeconds = 900;
    RandomEngine::result_type seed = 1;
};

/// Returns the programs in order of arrival.
std::vector<ProgramSpec> makeWorkload(const WorkloadSettings&);

} // namespace basilpoint::bench
