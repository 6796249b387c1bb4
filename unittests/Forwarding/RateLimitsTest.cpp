#include "basilpoint/Forwarding/RateLimits.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

const std::string target = "i-1/1700000000000";
constexpr TimePoint start(1h);

std::vector<std::string> names(std::size_t count)
{
    std::vector<std::string> all;
    for (std::size_t n = 0; n < count; ++n)
        all.push_back("gateway-" + std::to_string(n));
    return all;
}

/// Daemons that know of the target's limit and always have a call for it.
struct Fleet {
    Fleet(std::size_t count, double perSecond)
    {
        for (const std::string& it : names(count)) {
            daemons.emplace_back(it);
            daemons.back().setDaemons(names(count));
            daemons.back().limited(target, perSecond, start);
        }
    }

    /// Calls sent from \p from on for \p duration.
    unsigned callsIn(TimePoint from, std::chrono::milliseconds duration)
    {
        unsigned calls = 0;
        for (TimePoint now = from; now < from + duration; now += 10ms)
            for (RateLimits& it : daemons)
                if (it.admits(target, RateLimits::Precedence::Usual, now)) {
                    it.sent(target, now);
                    ++calls;
                }
        return calls;
    }

    std::vector<RateLimits> daemons;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RateLimitsTest)

BOOST_AUTO_TEST_CASE(fleetOfAnySizeStaysWithinTheLimitAndUsesIt)
{
    for (std::size_t count : { 1U, 7U, 72U, 259U })
        for (double perSecond : { 0.5, 1.0, 2.7, 5.9, 40.0 }) {
            Fleet fleet(count, perSecond);
            unsigned calls = fleet.callsIn(start + 4s, 20s);
            BOOST_TEST(calls <= 1.1 * perSecond * 20 + 1.5 * perSecond + 1.5);
            BOOST_TEST(calls >= 0.8 * perSecond * 20 - 1);
            // After a pause, the burst of all daemons stays within what the platform tolerates in four seconds.
            BOOST_TEST(fleet.callsIn(start + 60s, 4s) <= 1.5 * perSecond * 4 + 5);
        }
}

BOOST_AUTO_TEST_CASE(daemonThatDoesNotKnowOfANewOneExceedsNoTolerance)
{
    for (std::size_t count : { 2U, 7U, 72U })
        for (double perSecond : { 1.0, 2.7, 5.9 }) {
            Fleet fleet(count, perSecond);
            RateLimits added("gateway-new");
            auto all = names(count);
            all.emplace_back("gateway-new");
            added.setDaemons(all);
            added.limited(target, perSecond, start);
            fleet.daemons.push_back(added);
            BOOST_TEST(fleet.callsIn(start + 60s, 4s) <= 1.5 * perSecond * 4 + 5);
        }
}

BOOST_AUTO_TEST_CASE(daemonThatDoesNotKnowTheOthersSendsNothingToALimitedTarget)
{
    RateLimits limits("gateway-0");
    limits.limited(target, 5, start);
    BOOST_TEST(!limits.admits(target, RateLimits::Precedence::Usual, start + 1min));
    BOOST_TEST(limits.admits("i-2/1700000000000", RateLimits::Precedence::Usual, start));
}

BOOST_AUTO_TEST_CASE(answerToACallSentBeforeTheLimitWasNamedDoesNotLiftIt)
{
    RateLimits limits("gateway-0");
    limits.setDaemons({ "gateway-0" });
    BOOST_TEST((limits.answered(target, 5.0, start, start + 1s) == RateLimits::Change::Limited));
    BOOST_TEST((limits.answered(target, 5.0, start, start + 2s) == RateLimits::Change::None));
    BOOST_TEST((limits.answered(target, std::nullopt, start + 1s, start + 3s) == RateLimits::Change::None));
    BOOST_TEST((limits.answered(target, 4.0, start + 2s, start + 3s) == RateLimits::Change::Limited));
    BOOST_TEST(*limits.limitOf(target) == 4.0);
    BOOST_TEST((limits.answered(target, 4.0, start + 2s, start + 3s + RateLimits::reminderInterval) == RateLimits::Change::Limited));
    BOOST_TEST((limits.answered(target, std::nullopt, start + 5min, start + 5min) == RateLimits::Change::Lifted));
    BOOST_TEST(!limits.limitOf(target));
}

BOOST_AUTO_TEST_CASE(callsOfLowPrecedenceUseOnlyWhatIsLeftOver)
{
    RateLimits limits("gateway-0");
    limits.setDaemons({ "gateway-0" });
    limits.limited(target, 1, start);
    BOOST_TEST(limits.admits(target, RateLimits::Precedence::Usual, start + 1s));
    BOOST_TEST(!limits.admits(target, RateLimits::Precedence::Low, start + 1s));
    BOOST_TEST(limits.admits(target, RateLimits::Precedence::Low, start + 2s));
}

BOOST_AUTO_TEST_CASE(unconfirmedLimitIsDroppedOnceNobodyKnowsIt)
{
    RateLimits limits("gateway-0");
    limits.limited(target, 5, start);
    TimePoint later = start + RateLimits::retention + 1s;
    limits.sweep(later, [](const std::string&, double) { return true; });
    BOOST_TEST(limits.limitOf(target).has_value());
    limits.sweep(later, [](const std::string&, double) { return false; });
    BOOST_TEST(limits.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
