#include "ShardCluster.h"

#include <cxxopts.hpp>

#include <cstdio>

using namespace basilpoint;
using namespace basilpoint::test;

static constexpr Milliseconds runSpan { 2'000 };

static void print(const ClusterCounts& counts)
{
    std::printf("takeOvers=%u withoutService=%u changes=%u losses=%u degraded=%u compactions=%u acknowledged=%u effects=%u\n", counts.takeOvers, counts.withoutService, counts.changes, counts.losses, counts.degraded, counts.compactions, counts.acknowledged, counts.effects);
}

/// Runs the shard fuzzer over a range of seeds; exit status 1 if any run violates an invariant.
int main(int argc, char** argv)
{
    cxxopts::Options options("shard-fuzz", "Random runs of owners, holders and the key-value service");
    options.add_options()("first", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))("count", "Number of seeds", cxxopts::value<std::uint64_t>()->default_value("1000"))("without-service", "Allow take-overs while the service is down")("mutation", "Number of the Mutation to inject; 0 for none", cxxopts::value<int>()->default_value("0"))("help", "Print this text");
    auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
        std::puts(options.help().c_str());
        return 0;
    }
    auto first = flags["first"].as<std::uint64_t>();
    auto count = flags["count"].as<std::uint64_t>();
    ClusterCounts total;
    unsigned violations = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        ShardCluster cluster({ seed, flags.count("without-service") > 0, static_cast<Mutation>(flags["mutation"].as<int>()) });
        cluster.runFuzz(runSpan);
        total += cluster.counts();
        bool isMutated = flags["mutation"].as<int>() != 0;
        bool hasRecovered = isMutated || cluster.recovers();
        auto violation = findViolation(cluster.history());
        if (!violation && !hasRecovered)
            violation = "the shard is not served after all faults ended";
        if (violation && ++violations <= 5)
            std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), violation->c_str());
    }
    std::printf("runs=%llu violations=%u ", static_cast<unsigned long long>(count), violations);
    print(total);
    return violations == 0 ? 0 : 1;
}
