#include "PaceTracker.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

struct Side {
    Side(const Clock& clock, const char* name, NoticeController::Sender send)
        : log(clock, -1, name)
        , notices(clock, InstanceId(name), 1, std::move(send))
        , tracker(selector, notices, clock, log, metrics)
    {
        notices.onChange([this](const NoticeSubject& subject, bool inForce) { tracker.apply(subject, inForce); });
    }

    JsonLog log;
    Metrics metrics;
    TargetSelector selector { 1 };
    NoticeController notices;
    PaceTracker tracker;
};

struct Fixture {
    Fixture()
    {
        for (int n = 0; n < 6; ++n)
            targets.push_back({ TargetId("t/" + std::to_string(n)), ServiceId("pool"), {}, DataCentreId("a"), 1'700 + n, 8, false, Milliseconds(0) });
        first.notices.setPeers({ InstanceId("second") });
        second.notices.setPeers({ InstanceId("first") });
    }

    // One call at each target, of which the first takes some times as long.
    void round(double factor)
    {
        for (std::size_t n = 0; n < targets.size(); ++n)
            first.tracker.ended(targets[n], { "turns", 20 * (n == 0 ? factor : 1), 50, 400, 1'000 });
        clock.advance(std::chrono::seconds(6));
    }

    ManualClock clock;
    Side first { clock, "first", [this](const InstanceId&, const std::string& body) { second.notices.received(body); } };
    Side second { clock, "second", [this](const InstanceId&, const std::string& body) { first.notices.received(body); } };
    std::vector<Registration> targets;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PaceTrackerTest, Fixture)

// Guards against gateways that do not learn of slow targets from each other, or keep a pace that is over.
BOOST_AUTO_TEST_CASE(paceReachesTheOtherGatewayAndIsReplaced)
{
    for (int n = 0; n < 6; ++n)
        round(2.4);
    BOOST_TEST(second.selector.paces().stepOf(targets[0]) == TargetPaces::stepOf(2.4));
    BOOST_TEST(second.selector.paces().stepOf(targets[1]) == 0);
    for (int n = 0; n < 12; ++n)
        round(1);
    BOOST_TEST(first.selector.paces().stepOf(targets[0]) == 0);
    // Sends the end of the pace too, as the next period of the gossip would; periods do not run here.
    first.notices.raise({ NoticeKind::LeavingTarget, "other" });
    BOOST_TEST(second.selector.paces().stepOf(targets[0]) == 0);
}

// Guards against a pace that ends although calls confirm it, and one that stays although the target is silent.
BOOST_AUTO_TEST_CASE(paceExpiresUnlessConfirmed)
{
    for (int n = 0; n < 100; ++n)
        round(2.4);
    second.tracker.sweep();
    BOOST_TEST(second.selector.paces().stepOf(targets[0]) == TargetPaces::stepOf(2.4));
    clock.advance(TargetPaces::lifetime);
    second.tracker.sweep();
    BOOST_TEST(second.selector.paces().stepOf(targets[0]) == 0);
}

// Guards against a crash or a wrong pace through text that another release sends.
BOOST_AUTO_TEST_CASE(invalidNoticesAreIgnored)
{
    for (const char* text : { "", "=", "t=2", "t/x=2", "t/1700=", "t/1700=-2", "t/1700=nan", "/=", "t/1=2=3/4" })
        first.tracker.apply({ NoticeKind::TargetPace, text }, true);
    BOOST_TEST(first.selector.paces().size() == 0U);
    first.tracker.apply({ NoticeKind::TargetPace, "t/0/1700=1e300" }, true);
    BOOST_TEST(TargetPaces::ratioOf(first.selector.paces().stepOf(targets[0])) < 20);
}

BOOST_AUTO_TEST_SUITE_END()
