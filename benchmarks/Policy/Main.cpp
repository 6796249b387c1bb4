#include "BenchRun.h"
#include "RoutingCost.h"

#include <cstdio>
#include <string>

using namespace basilpoint;
using namespace basilpoint::bench;

namespace {

/// Workload of one user, the number of replicas that serve it, and its arrival rate at load 1 in programs per second.
struct UserLoad {
    const char* name;
    WorkloadKind kind;
    unsigned replicas;
    double capacity;
};

/// Named set of faults for a run of each policy.
struct Scenario {
    const char* name;
    FaultSettings faults;
};

} // namespace

// Load 1 is about the highest at which the best policy finishes 99 % of the programs in time.
static constexpr UserLoad users[] {
    { "period-close", WorkloadKind::PeriodClose, 8, 3.25 },
    { "dawn-rush", WorkloadKind::DawnRush, 10, 22 },
};
static constexpr double loads[] { 0.5, 0.75, 0.9, 1, 1.25, 1.5, 2, 3 };
static constexpr double faultLoad = 0.9;
static constexpr RandomEngine::result_type seeds[] { 11, 23, 37 };

static RunSettings settingsOf(const UserLoad& user, PolicyKind policy, double load, const FaultSettings& faults, RandomEngine::result_type seed)
{
    RunSettings settings;
    settings.policy = policy;
    settings.workload = { user.kind, user.capacity * load, 900, seed };
    settings.replicas = user.replicas;
    settings.faults = faults;
    return settings;
}

static void printRow(const UserLoad& user, const char* scenario, PolicyKind policy, double load, RandomEngine::result_type seed, const RunResult& r)
{
    std::printf("%s,%s,%s,%.2f,%llu,%zu,%.4f,%.3f,%.0f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%llu,%llu,%.3f,%.3f,%llu,%u\n",
        user.name, scenario, nameOf(policy).c_str(), load, static_cast<unsigned long long>(seed), r.programs, r.inTime, r.goodput, r.goodTokens, r.mean, r.p50, r.p95, r.p99, r.servedMean, r.servedP95,
        static_cast<unsigned long long>(r.recomputed), static_cast<unsigned long long>(r.prefilled), r.idleCache, r.endedProgramCache, static_cast<unsigned long long>(r.refusals), r.crashRequestCrashes);
}

static void runAll(const UserLoad& user, const Scenario& scenario, double load)
{
    for (PolicyKind policy : allPolicies) {
        for (auto seed : seeds)
            printRow(user, scenario.name, policy, load, seed, run(settingsOf(user, policy, load, scenario.faults, seed)));
    }
    std::fflush(stdout);
}

static std::vector<Scenario> scenarios()
{
    std::vector<Scenario> all;
    all.push_back({ "deaths", {} });
    all.back().faults.crashInterval = 120;
    all.push_back({ "data-centre-lost", {} });
    all.back().faults.dataCentreLostAt = 400;
    all.push_back({ "crash-request", {} });
    all.back().faults.crashRequestAt = 300;
    all.push_back({ "stale-reports", {} });
    all.back().faults.staleReports = true;
    return all;
}

static void printCost()
{
    for (unsigned replicas : { 8U, 80U, 820U })
        std::printf("replicas %u: %.2f us per call\n", replicas, decisionMicroseconds(replicas));
}

int main(int argc, char** argv)
{
    std::string mode = argc > 1 ? argv[1] : "";
    if (mode == "cost") {
        printCost();
        return 0;
    }
    if (mode != "loads" && mode != "faults") {
        std::fputs("usage: bench-policy cost | loads | faults [period-close | dawn-rush]\n", stderr);
        return 1;
    }
    std::printf("user,scenario,policy,load,seed,programs,in_time,goodput,good_tokens,mean,p50,p95,p99,served_mean,served_p95,recomputed,prefilled,idle_cache,gone_cache,refusals,crash_deaths\n");
    for (const UserLoad& user : users) {
        if (argc > 2 && std::string(argv[2]) != user.name)
            continue;
        if (mode == "loads") {
            for (double load : loads)
                runAll(user, { "none", {} }, load);
            continue;
        }
        for (const Scenario& scenario : scenarios())
            runAll(user, scenario, faultLoad);
    }
    return 0;
}
