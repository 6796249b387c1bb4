#include "basilpoint/Fleet/DrainPlan.h"
#include "basilpoint/Fleet/LeavingTargetTracker.h"
#include "basilpoint/Fleet/NoticeGossip.h"
#include "basilpoint/Support/Cbor.h"
#include "basilpoint/Support/Error.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace basilpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LeavingTest)

BOOST_AUTO_TEST_CASE(drainStepsAreInOrderAndExitWaitsForShardsAndRequests)
{
    BOOST_TEST(rc::check("steps in order", [] {
        DrainSettings settings;
        DrainPlan plan(settings);
        WallTimePoint now(24h);
        WallTimePoint deadline = now + Milliseconds(*rc::gen::inRange(0, 3'000'000));
        plan.stopBy(deadline);
        DrainStep last = DrainStep::Serving;
        DrainProgress progress { 5, 5 };
        WallTimePoint notReadySince;
        for (int n = 0; n < 200; ++n) {
            now += Milliseconds(*rc::gen::inRange(1, 40'000));
            progress.shards -= std::min<std::size_t>(progress.shards, *rc::gen::inRange<std::size_t>(0, 2));
            progress.requests = *rc::gen::inRange<std::size_t>(0, 3);
            DrainStep step = plan.update(progress, now);
            RC_ASSERT(step == last || static_cast<int>(step) == static_cast<int>(last) + 1);
            RC_ASSERT((step == DrainStep::Serving) == (now < *plan.startsAt()));
            if (step == DrainStep::NotReady && last == DrainStep::Serving)
                notReadySince = now;
            if (step == DrainStep::HandingOver && last == DrainStep::NotReady)
                RC_ASSERT(now >= notReadySince + settings.propagationTime);
            if (step == DrainStep::Finishing)
                RC_ASSERT(progress.shards == 0);
            if (step == DrainStep::Exit && last != DrainStep::Exit)
                RC_ASSERT(progress.requests == 0);
            last = step;
        }
    }));
}

BOOST_AUTO_TEST_CASE(longestResponseThatStartsDuringHandOverEndsBeforeTheDeadline)
{
    DrainSettings settings;
    DrainPlan plan(settings);
    WallTimePoint deadline(48h);
    plan.stopBy(deadline + 1h);
    plan.stopBy(deadline);
    BOOST_TEST((*plan.startsAt() + settings.propagationTime + settings.handOverTime + settings.maxResponseTime <= deadline));
    BOOST_TEST(!plan.isLate(*plan.startsAt()));
    BOOST_TEST(plan.isLate(deadline - 1s));
    plan.cancel();
    BOOST_TEST(!plan.startsAt().has_value());
}

BOOST_AUTO_TEST_CASE(firstNoticeCountsAndAnOutdatedListDoesNotUndoIt)
{
    LeavingTargetTracker tracker;
    TargetId target("10.0.0.9:8000");
    TimePoint now(1h);
    BOOST_TEST(tracker.markLeaving(target, LeavingSource::TargetReport, now));
    BOOST_TEST(!tracker.markLeaving(target, LeavingSource::PlatformList, now + 10s));
    BOOST_TEST((tracker.find(target)->source == LeavingSource::TargetReport));
    tracker.updateListed({ target });
    BOOST_TEST(!tracker.admitsWork(target));
    tracker.updateListed({});
    BOOST_TEST(!tracker.admitsWork(target));
    tracker.updateListed({ target });
    BOOST_TEST(tracker.admitsWork(target));
}

BOOST_AUTO_TEST_CASE(noticesRoundTripAndInvalidOnesAreRefused)
{
    NoticeMessage message { InstanceId("i"), 5, { { { NoticeKind::LeavingTarget, "t" }, 2, true, 7s } }, true };
    BOOST_TEST((decodeNoticeMessage(encodeNoticeMessage(message)) == message));
    BOOST_CHECK_THROW(decodeNoticeMessage("no message"), InvalidInputError);
}

static nlohmann::json cborOf(const NoticeMessage& message)
{
    return nlohmann::json::from_cbor(encodeNoticeMessage(message));
}

// Guards against messages that daemons of the release before refuse as a whole, quarantines included.
BOOST_AUTO_TEST_CASE(messageWithUnansweredRunsIsReadByTheReleaseBefore)
{
    Notice quarantine { { NoticeKind::QuarantinedRequest, "crashing" }, 1, false, 7s };
    Notice run { { NoticeKind::UnansweredRun, "run" }, 3, true, 9s };
    NoticeMessage message { InstanceId("i"), 5, { quarantine, run }, true };
    BOOST_TEST((decodeNoticeMessage(encodeNoticeMessage(message)) == message));
    // The release before reads the first four elements, and of the notices only kinds up to CutOffDaemon.
    nlohmann::json json = cborOf(message);
    BOOST_TEST(json.at(2).size() == 1U);
    BOOST_TEST(json.at(2).at(0).at(0) == static_cast<unsigned>(NoticeKind::QuarantinedRequest));
    // Its own messages end after these.
    json.erase(4);
    NoticeMessage older { InstanceId("i"), 5, { quarantine }, true };
    BOOST_TEST((decodeNoticeMessage(toCbor(json)) == older));
}

BOOST_AUTO_TEST_CASE(noticesOfLaterReleasesArePassedOver)
{
    NoticeMessage message { InstanceId("i"), 5, { { { NoticeKind::UnansweredRun, "run" }, 3, true, 9s } }, false };
    nlohmann::json json = cborOf(message);
    json.at(4).push_back({ 77, "of a later release", 1, false, 100 });
    BOOST_TEST((decodeNoticeMessage(toCbor(json)) == message));
}

namespace {

/// Simulation of NoticeGossip in a fleet, on a transport that loses messages and delivers the others at once.
struct NoticeFleet {
    explicit NoticeFleet(std::size_t count)
    {
        std::vector<InstanceId> ids;
        for (std::size_t n = 0; n < count; ++n)
            ids.emplace_back(std::to_string(n));
        for (std::size_t n = 0; n < count; ++n) {
            daemons.emplace_back(ids[n], n + 1);
            daemons.back().setPeers(ids);
        }
    }

    void perform(const NoticeActions& actions)
    {
        for (const NoticeAction& action : actions) {
            const auto* send = std::get_if<SendNoticeAction>(&action);
            if (send && !std::bernoulli_distribution(loss)(random))
                perform(daemons[std::stoul(send->to.text())].received(decodeNoticeMessage(encodeNoticeMessage(send->message)), now));
        }
    }

    void run(Milliseconds duration)
    {
        for (TimePoint end = now + duration; now < end; now += 200ms) {
            for (NoticeGossip& daemon : daemons)
                perform(daemon.tick(now));
        }
    }

    /// Makes each daemon send to \p count others only.
    void drawNeighbours(std::size_t count)
    {
        for (NoticeGossip& daemon : daemons) {
            std::vector<InstanceId> peers;
            for (std::size_t n = 0; n < count; ++n)
                peers.emplace_back(std::to_string(std::uniform_int_distribution<std::size_t>(0, daemons.size() - 1)(random)));
            daemon.setPeers(peers);
        }
    }

    /// Runs with 500 new notices a second about other requests.
    void runWithStorm(Milliseconds duration)
    {
        for (TimePoint end = now + duration; now < end;) {
            for (unsigned n = 0; n < 100; ++n, ++storm)
                perform(daemons[storm % daemons.size()].raise({ storm % 3 ? NoticeKind::UnansweredRun : NoticeKind::SuspectedRequest, "other-" + std::to_string(storm) }, 10min, now));
            run(200ms);
        }
    }

    auto inForce(const NoticeSubject& subject) const
    {
        return std::count_if(daemons.begin(), daemons.end(), [&](const NoticeGossip& it) { return it.inForce(subject, now); });
    }

    std::vector<NoticeGossip> daemons;
    RandomEngine random { 4 };
    double loss = 0.05;
    std::size_t storm = 0;
    TimePoint now { 1h };
};

} // namespace

BOOST_AUTO_TEST_CASE(leavingTargetNoticeReachesAllDaemonsWithinThreeSeconds)
{
    NoticeFleet fleet(340);
    NoticeSubject subject { NoticeKind::LeavingTarget, "10.0.0.9:8000" };
    fleet.perform(fleet.daemons[17].raise(subject, 10min, fleet.now));
    fleet.run(3s);
    BOOST_TEST(fleet.inForce(subject) == 340);
}

// Each gateway sends notices to eight others, and a service has ended with hundreds of calls.
BOOST_AUTO_TEST_CASE(quarantineReachesAllGatewaysWithinThreeSecondsAmongManySuspects)
{
    constexpr std::size_t count = 259;
    NoticeFleet fleet(count);
    fleet.drawNeighbours(8);
    for (std::size_t n = 0; n < 600; ++n)
        fleet.perform(fleet.daemons[n % count].raise({ NoticeKind::SuspectedRequest, "sound-" + std::to_string(n) }, 10min, fleet.now));
    fleet.run(400ms);
    NoticeSubject subject { NoticeKind::QuarantinedRequest, "crashing" };
    fleet.perform(fleet.daemons[17].raise(subject, 10min, fleet.now));
    fleet.run(3s);
    BOOST_TEST(fleet.inForce(subject) == count);
    for (std::size_t n = 0; n < NoticeGossip::maxEntries + 1'000; ++n)
        fleet.daemons[0].raise({ NoticeKind::SuspectedRequest, "flood-" + std::to_string(n) }, 10min, fleet.now);
    BOOST_TEST(fleet.daemons[0].size() == NoticeGossip::maxEntries);
}

// Guards against runs of one request that are lost among those of many others, as when a rack of targets ends.
BOOST_DATA_TEST_CASE(runsOfARequestReachAllGatewaysWithinThreeSecondsDuringAStorm, boost::unit_test::data::make({ 7, 72, 259 }), gateways)
{
    auto count = static_cast<std::size_t>(gateways);
    NoticeFleet fleet(count);
    fleet.drawNeighbours(8);
    fleet.runWithStorm(1s);
    std::vector<NoticeSubject> runs;
    for (unsigned n = 0; n < 6; ++n) {
        runs.push_back({ NoticeKind::UnansweredRun, "deadly-" + std::to_string(n) });
        fleet.perform(fleet.daemons[(n * 17) % count].raise(runs.back(), 10min, fleet.now));
    }
    fleet.runWithStorm(3s);
    for (const NoticeSubject& it : runs)
        BOOST_TEST(static_cast<std::size_t>(fleet.inForce(it)) == count);
}

// Guards against runs that are not noted any more, since those of an overload, long answered, take all room.
BOOST_AUTO_TEST_CASE(liftedRunsLeaveRoomForOthers)
{
    NoticeFleet fleet(2);
    auto subject = [](std::size_t n) { return NoticeSubject { NoticeKind::UnansweredRun, "run-" + std::to_string(n) }; };
    for (std::size_t n = 0; n <= NoticeGossip::maxEntriesWithRuns; ++n) {
        fleet.daemons[0].raise(subject(n), 10min, fleet.now);
        fleet.daemons[0].lift(subject(n), fleet.now);
    }
    BOOST_TEST(fleet.daemons[0].size() == NoticeGossip::maxEntriesWithRuns);
    fleet.daemons[0].tick(fleet.now);
    NoticeSubject quarantine { NoticeKind::QuarantinedRequest, "crashing" };
    fleet.daemons[0].raise(quarantine, 10min, fleet.now);
    fleet.daemons[0].raise(subject(0), 10min, fleet.now);
    BOOST_TEST(fleet.daemons[0].inForce(subject(0), fleet.now));
    BOOST_TEST(fleet.daemons[0].size() == 2U);
}

BOOST_AUTO_TEST_CASE(restartedDaemonThatKnowsNothingLearnsTheNoticesInForce)
{
    NoticeFleet fleet(7);
    NoticeSubject subject { NoticeKind::QuarantinedRequest, "crashing" };
    fleet.perform(fleet.daemons[3].raise(subject, 10min, fleet.now));
    fleet.run(5s);
    NoticeGossip restarted(InstanceId("5"), 77);
    restarted.setPeers({ InstanceId("0"), InstanceId("1"), InstanceId("2") });
    std::swap(fleet.daemons[5], restarted);
    fleet.run(400ms);
    BOOST_TEST(fleet.daemons[5].inForce(subject, fleet.now));
}

BOOST_AUTO_TEST_CASE(manyNoticesReachAllAndALiftedOneStaysLifted)
{
    NoticeFleet fleet(20);
    auto subject = [](int n) { return NoticeSubject { NoticeKind::QuarantinedRequest, std::to_string(n) }; };
    for (int n = 0; n < 200; ++n)
        fleet.perform(fleet.daemons[static_cast<std::size_t>(n) % 20].raise(subject(n), 5min, fleet.now));
    fleet.run(60s);
    for (int n = 0; n < 200; ++n)
        BOOST_TEST(fleet.inForce(subject(n)) == 20);
    fleet.perform(fleet.daemons[3].lift(subject(7), fleet.now));
    fleet.run(60s);
    BOOST_TEST(fleet.inForce(subject(7)) == 0);
    fleet.run(4min);
    BOOST_TEST(fleet.inForce(subject(8)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
