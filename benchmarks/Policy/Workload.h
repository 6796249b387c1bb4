#pragma once

#include "basilpoint/Support/Ids.h"
#include "basilpoint/Support/Random.h"

#include <string>
#include <vector>

namespace basilpoint::bench {

struct ProgramShape;

/// One model call of a program and what follows it.
struct Turn {
    TokenCount outputTokens = 0;
    /// Tool that is called after the answer; empty if the caller thinks.
    std::string tool;
    double pauseSeconds = 0;
    /// Tokens that the tool or the caller adds to the prompt.
    TokenCount addedTokens = 0;
    std::vector<ProgramShape> subAgents;
};

/// What a program does; the policies don't see it.
struct ProgramShape {
    double arrivalSeconds = 0;
    TokenCount promptTokens = 0;
    std::vector<Turn> turns;
    /// Longest acceptable time from arrival to the last answer.
    double deadlineSeconds = 0;
    std::string owner;
    double latencyWeight = 0.7;
    double cacheWeight = 0.3;
    /// Loops without end until its deadline; counted in no result.
    bool loops = false;
    /// Its first call kills each replica that runs it.
    bool crashes = false;
};

/// Kind of load, after the two users.
enum class WorkloadKind {
    /// Reconciliation near the close of a royalty period: long programs, payout tools, deadlines.
    PeriodClose,
    /// Dawn rush: many short chats, pauses of people.
    DawnRush,
};

struct WorkloadSettings {
    WorkloadKind kind = WorkloadKind::PeriodClose;
    double programsPerSecond = 1;
    double durationSeconds = 900;
    RandomEngine::result_type seed = 1;
};

/// Programs by rising arrival.
std::vector<ProgramShape> makeWorkload(const WorkloadSettings&);

} // namespace basilpoint::bench
