#include "basilpoint/Forwarding/TargetPaces.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace basilpoint;

namespace {

struct Fixture {
    Fixture()
    {
        for (int n = 0; n < 10; ++n)
            targets.push_back({ TargetId(std::to_string(n)), ServiceId("pool"), {}, DataCentreId("a"), 1, 8, false, Milliseconds(0) });
    }

    // One call at each target; those after the seventh take 2.4 times as long.
    void round(double factorOfFirst = 1)
    {
        for (std::size_t n = 0; n < targets.size(); ++n) {
            double spread = 0.95 + 0.02 * static_cast<double>((calls * 3 + n) % 6);
            paces.record(targets[n], "turns", 20 * spread * (n >= 7 ? 2.4 : 1) * (n == 0 ? factorOfFirst : 1), now);
        }
        ++calls;
        now += std::chrono::seconds(7);
    }

    TimePoint now { std::chrono::hours(1) };
    std::vector<Registration> targets;
    TargetPaces paces;
    std::size_t calls = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetPacesTest, Fixture)

// Guards against slow engines that are taken for average ones, and against notices about average ones.
BOOST_AUTO_TEST_CASE(announcesSlowTargetsOnceKnown)
{
    for (int n = 0; n < 4; ++n)
        round();
    BOOST_TEST(!paces.takeAnnouncement(targets[0], now));
    auto announcement = paces.takeAnnouncement(targets[8], now);
    BOOST_REQUIRE(announcement.has_value());
    BOOST_TEST(std::abs(announcement->step - TargetPaces::stepOf(2.4)) <= 1);
    // At most once in 5 s.
    BOOST_TEST(!paces.takeAnnouncement(targets[8], now + Milliseconds(4'999)));
    BOOST_TEST(paces.takeAnnouncement(targets[8], now + Milliseconds(5'000)).has_value());
    paces.apply(targets[8].id, 1, announcement->step, true);
    BOOST_TEST(!paces.takeAnnouncement(targets[8], now + Milliseconds(10'000)));
    BOOST_TEST(paces.confirms(targets[8], now));
}

// Guards against a stalled target that counts as slow for minutes. The bound is the stated 5%.
BOOST_AUTO_TEST_CASE(oneStalledCallHardlyMovesTheEstimate)
{
    for (int n = 0; n < 5; ++n)
        round();
    double before = paces.estimate(targets[0], now).value();
    round(4);
    double after = paces.estimate(targets[0], now).value();
    BOOST_TEST(std::abs(after - before) < std::log(1.05));
    BOOST_TEST(!paces.takeAnnouncement(targets[0], now));
}

// Guards against paces that outlive their target, and calls that count forever.
BOOST_AUTO_TEST_CASE(restartedAndSilentTargetsAreAverage)
{
    for (int n = 0; n < 5; ++n)
        round();
    paces.apply(targets[8].id, 1, 6, true);
    BOOST_TEST(paces.stepOf(targets[8]) == 6);
    Registration restarted = targets[8];
    restarted.startedAt = 2;
    BOOST_TEST(paces.stepOf(restarted) == 0);
    BOOST_TEST(!paces.estimate(restarted, now));
    paces.apply(restarted.id, 2, 3, true);
    BOOST_TEST(paces.stepOf(restarted) == 3);
    // A late notice or the end of the earlier lifetime concerns only that one.
    paces.apply(restarted.id, 1, 6, true);
    paces.forget(restarted.id, 1);
    BOOST_TEST(paces.stepOf(restarted) == 3);
    BOOST_TEST(!paces.estimate(targets[9], now + std::chrono::seconds(61)));
    paces.sweep(now + std::chrono::seconds(61), [](const TargetId&, std::int64_t, int) { return false; });
    BOOST_TEST(paces.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
