#include "BenchRun.h"

#include <cstdio>
#include <cstdlib>

using namespace basilpoint::bench;

int main(int argc, char** argv)
{
    WorkloadKind kind = argc > 1 && std::string(argv[1]) == "dawn" ? WorkloadKind::DawnRush : WorkloadKind::PeriodClose;
    for (int k = 2; k < argc; ++k) {
        for (PolicyKind policy : allPolicies) {
            RunSettings settings;
            settings.policy = policy;
            settings.workload.kind = kind;
            settings.workload.programsPerSecond = std::atof(argv[k]);
            RunResult r = run(settings);
            std::printf("%s %-13s n=%zu inTime=%.3f good=%.3f mean=%.1f p50=%.1f p95=%.1f p99=%.1f served=%.1f served95=%.1f recomp=%.1fM pref=%.1fM idle=%.2f gone=%.2f refusals=%lu\n", argv[k], nameOf(policy).c_str(), r.programs, r.inTime, r.goodput, r.mean, r.p50, r.p95, r.p99, r.servedMean, r.servedP95, r.recomputed / 1e6, r.prefilled / 1e6, r.idleCache, r.goneCache, r.refusals);
        }
    }
}
