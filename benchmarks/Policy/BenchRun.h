#pragma once

#include "EnginePool.h"
#include "Policies.h"
#include "Workload.h"

namespace basilpoint::bench {

/// Faults injected into a run. Times are in seconds.
struct FaultSettings {
    /// Mean interval between crashes of a random replica; 0 for none.
    double crashInterval = 0;
    /// Time at which a third of the replicas is lost; 0 for never.
    double dataCentreLostAt = 0;
    /// Duration of that loss.
    double dataCentreLostFor = 180;
    /// Time at which a request that crashes replicas is first submitted; 0 for never.
    double crashRequestAt = 0;
    /// Whether reports and cache events are rare, late and often lost.
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

/// Results of one run, over the root programs that arrived after the warm-up. Times are in seconds.
struct RunResult {
    std::size_t programs = 0;
    /// Share of all programs that finished before their deadline.
    double inTime = 0;
    /// Programs finished in time per second.
    double goodput = 0;
    /// Output tokens of the programs finished in time per second. At overload the mix of finished
    /// programs shifts, because a refused long program retries for longer.
    double goodTokens = 0;
    /// Latency; a program that did not finish counts with the time until its deadline.
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    /// Latency without the program's pauses for tools and people, which no policy can shorten.
    double servedMean = 0;
    double servedP95 = 0;
    /// Prompt tokens that were computed although an engine had computed them before.
    TokenCount recomputed = 0;
    /// All computed prompt tokens.
    TokenCount prefilled = 0;
    /// Mean share of cache memory in idle entries.
    double idleCache = 0;
    /// Mean share of cache memory in idle entries of ended programs.
    double endedProgramCache = 0;
    std::uint64_t refusals = 0;
    /// Replica crashes caused by the crash request.
    unsigned crashRequestCrashes = 0;
};

RunResult run(const RunSettings&);

} // namespace basilpoint::bench
