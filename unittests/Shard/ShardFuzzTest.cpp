#include "ShardCluster.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace basilpoint::test;

namespace {

constexpr std::uint64_t seeds = 1'000;
constexpr std::uint64_t seedsForMutation = 1'500;
constexpr Milliseconds runSpan { 2'000 };

std::optional<std::string> violationOf(std::uint64_t seed, bool allowWithoutService, Mutation mutation)
{
    ShardCluster cluster({ seed, allowWithoutService, mutation });
    cluster.runFuzz(runSpan);
    bool hasRecovered = mutation != Mutation::None || cluster.recovers();
    auto violation = findViolation(cluster.history());
    if (!violation && !hasRecovered)
        return "the shard is not served after all faults ended";
    return violation;
}

constexpr Mutation mutations[] = {
    Mutation::SealingSkipped,
    Mutation::DispatchBeforeAcknowledgement,
    Mutation::OneHolderAcknowledges,
    Mutation::EpochNotCompared,
    Mutation::PairNotAdded,
    Mutation::PairsNotSealed,
    Mutation::EmptiedHolderAccepted,
    Mutation::LogsComparedByLength,
    Mutation::DegradedTreatedAsDurable,
    Mutation::UnansweredWriteAssumed,
};

} // namespace

namespace basilpoint::test {

static std::ostream& operator<<(std::ostream& out, Mutation mutation)
{
    return out << static_cast<int>(mutation);
}

} // namespace basilpoint::test

BOOST_AUTO_TEST_SUITE(ShardFuzzTest)

BOOST_DATA_TEST_CASE(randomRunsKeepTheInvariants, boost::unit_test::data::make({ false, true }), allowWithoutService)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto violation = violationOf(seed, allowWithoutService, Mutation::None);
        BOOST_TEST(!violation, "seed " << seed << ": " << violation.value_or(""));
    }
}

BOOST_DATA_TEST_CASE(regressionSeedsKeepTheInvariants, boost::unit_test::data::make({ 2'008'627, 2'044'424, 2'059'982, 3'016'209, 3'018'700, 3'041'930, 3'048'232, 3'051'237 }), seed)
{
    auto violation = violationOf(static_cast<std::uint64_t>(seed), true, Mutation::None);
    BOOST_TEST(!violation, "seed " << seed << ": " << violation.value_or(""));
}

BOOST_DATA_TEST_CASE(historyCheckDetectsInjectedFaults, boost::unit_test::data::make(mutations), mutation)
{
    std::optional<std::string> violation;
    for (std::uint64_t seed = 1; seed <= seedsForMutation && !violation; ++seed)
        violation = violationOf(seed, true, mutation);
    BOOST_TEST(violation.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
