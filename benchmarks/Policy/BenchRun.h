#pragma once

#include "EnginePool.h"
#include "Policies.h"
#include "Workload.h"

namespace basilpoint::bench {

/// Faults of a run.
struct FaultSettings {
    /// A random replica dies this often; 0 for never.
    double deathInterval = 0;
    /// Time at which a third of the replicas is lost, and how long for; 0 for never.
    double dataCentreLostAt = 0;
    double dataCentreLostFor = 180;
    /// Time at which a request that kills replicas first comes; 0 for never.
    double crashRequestAt = 0;
    bool staleReports = false;
};

struct RunSettings {
    PolicyKind policy = PolicyKind::Basilpoint;
    WorkloadSettings workload;
    FaultSettings faults;
    EngineSettings engine;
    unsigned replicas = 8;
    SchedulerSettings scheduler;
};

/// What one run showed, over the root programs that arrived after the warm-up.
struct RunResult {
    std::size_t programs = 0;
    /// Share of all programs that finished before their deadline.
    double inTime = 0;
    /// Programs finished in time per second.
    double goodput = 0;
    /// Output tokens of the programs finished in time per second. Long programs try again for
    /// longer when they are refused, so the mix of programs shifts at overload.
    double goodTokens = 0;
    /// Latency in seconds; a program that did not finish counts with its whole time until the deadline.
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    /// Latency less the program's own pauses for tools and people, which no policy can shorten.
    double servedMean = 0;
    double servedP95 = 0;
    /// Tokens that had been computed before and were computed again, and all computed prompt tokens.
    TokenCount recomputed = 0;
    TokenCount prefilled = 0;
    double idleCache = 0;
    double goneCache = 0;
    std::uint64_t refusals = 0;
    unsigned crashDeaths = 0;
};

RunResult run(const RunSettings&);

} // namespace basilpoint::bench
