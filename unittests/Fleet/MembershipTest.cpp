#include "SimulatedFleet.h"

#include "basilpoint/Support/Error.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace basilpoint;
using namespace std::chrono_literals;

/// Time limit for all daemons to agree on the members after an instance fails or is reachable again.
static constexpr auto convergenceBound = 30s;

BOOST_AUTO_TEST_SUITE(MembershipTest)

BOOST_AUTO_TEST_CASE(fleetConvergesAfterStartAndReportsNoFurtherChanges)
{
    SimulatedFleet fleet({}, 1);
    fleet.start(30);
    BOOST_TEST((fleet.runUntil([&] { return fleet.hasConverged(); }, convergenceBound) < convergenceBound));
    unsigned observations = 0;
    fleet.onMemberChange = [&](const auto&) { ++observations; };
    fleet.run(60s);
    BOOST_TEST(observations == 0U);
}

BOOST_AUTO_TEST_CASE(fivePercentMessageLossCausesNoFalseDeaths)
{
    SimulatedFleet fleet({ .loss = 0.05 }, 2);
    fleet.start(60);
    fleet.run(20s);
    unsigned deaths = 0;
    fleet.onMemberChange = [&](const auto& it) { deaths += it.member.state == MemberState::Dead; };
    fleet.run(300s);
    BOOST_TEST(deaths == 0U);
    BOOST_TEST(fleet.hasConverged());
}

BOOST_AUTO_TEST_CASE(failureOfAWholeDataCentreIsDetectedByAllOthers)
{
    SimulatedFleet fleet({ .loss = 0.01, .dataCentres = 9 }, 3);
    fleet.startJoined(340);
    fleet.run(5s);
    BOOST_TEST(fleet.hasConverged());
    for (std::size_t n = 0; n < 340; n += 9)
        fleet.stop(n);
    BOOST_TEST((fleet.runUntil([&] { return fleet.hasConverged(); }, convergenceBound) < convergenceBound));
}

BOOST_AUTO_TEST_CASE(daemonThatReceivesNothingIsTheOnlyOneMarkedDead)
{
    SimulatedFleet fleet({}, 4);
    fleet.start(20);
    fleet.run(15s);
    std::set<InstanceId> dead;
    fleet.onMemberChange = [&](const auto& it) {
        if (it.observer != 0 && it.member.state == MemberState::Dead)
            dead.insert(it.member.id);
    };
    // The daemon receives nothing but still sends; its failure reports must not remove the others.
    fleet.isCut = [](std::size_t, std::size_t to) { return to == 0; };
    fleet.run(60s);
    BOOST_TEST((dead == std::set { SimulatedFleet::idOf(0) }));
    fleet.isCut = nullptr;
    BOOST_TEST((fleet.runUntil([&] { return fleet.hasConverged(); }, convergenceBound) < convergenceBound));
}

BOOST_AUTO_TEST_CASE(regionRejoinsAfterAPartitionOfAnHour)
{
    SimulatedFleet fleet({ .tickPeriod = 100ms }, 5);
    fleet.start(18);
    fleet.run(15s);
    fleet.isCut = [](std::size_t from, std::size_t to) { return (from < 6) != (to < 6); };
    fleet.run(1h);
    for (std::size_t n = 0; n < 18; ++n) {
        auto members = fleet.daemons()[n].membership->members();
        auto dead = std::count_if(members.begin(), members.end(), [](const MemberInfo& it) { return it.state == MemberState::Dead; });
        BOOST_TEST(dead == (n < 6 ? 12 : 6));
    }
    fleet.isCut = nullptr;
    BOOST_TEST((fleet.runUntil([&] { return fleet.hasConverged(); }, convergenceBound) < convergenceBound));
}

BOOST_AUTO_TEST_CASE(leavingIsKnownToAllWithinThreeSecondsAndPersistsThroughSuspicion)
{
    SimulatedFleet fleet({ .loss = 0.01 }, 6);
    fleet.start(100);
    fleet.run(20s);
    fleet.leave(7);
    fleet.run(3s);
    auto leavingFor = [&](std::size_t n) {
        auto members = fleet.daemons()[n].membership->members();
        return std::any_of(members.begin(), members.end(), [](const MemberInfo& it) { return it.id == SimulatedFleet::idOf(7) && it.state == MemberState::Leaving; });
    };
    for (std::size_t n = 0; n < 100; ++n)
        BOOST_TEST(leavingFor(n));
    fleet.setPaused(7, true);
    fleet.onMemberChange = [&](const auto& it) { BOOST_TEST((it.member.id != SimulatedFleet::idOf(7) || it.member.state == MemberState::Leaving || it.member.state == MemberState::Dead)); };
    fleet.run(4s);
    fleet.setPaused(7, false);
    fleet.onMemberChange = nullptr;
    fleet.run(convergenceBound);
    BOOST_TEST(leavingFor(3));
}

BOOST_AUTO_TEST_CASE(deadMembersAreForgotten)
{
    SimulatedFleet fleet({ .membership = { .deadRetention = std::chrono::minutes(1) } }, 7);
    fleet.start(5);
    fleet.run(10s);
    fleet.stop(4);
    fleet.run(90s);
    BOOST_TEST(fleet.daemons()[0].membership->members().size() == 4U);
}

BOOST_AUTO_TEST_CASE(replyOfAnotherInstanceFromTheAddressMarksTheOldOneDead)
{
    TimePoint now(1h);
    auto member = [](const char* id, const char* host) { return MemberInfo { InstanceId(id), DataCentreId("a"), { host, 1 }, { host, 2 }, HolderId() }; };
    Membership membership(member("self", "10.0.0.1"), {}, 8);
    MemberInfo old = member("old", "10.0.0.2");
    MemberInfo fresh = member("new", "10.0.0.2");
    membership.received(PingMessage { 1, old.id, { old } }, now);
    std::uint64_t sequence = 0;
    for (const auto& action : membership.tick(now))
        sequence = std::get<PingMessage>(std::get<SendMembershipAction>(action).message).sequence;
    membership.received(AckMessage { sequence, fresh.id, fresh.id, { fresh } }, now);
    for (const MemberInfo& it : membership.members())
        BOOST_TEST((it.state == (it.id == old.id ? MemberState::Dead : MemberState::Alive)));
}

BOOST_AUTO_TEST_CASE(failureSoonAfterJoiningIsDetected)
{
    SimulatedFleet fleet({}, 9);
    fleet.startJoined(120);
    fleet.run(10s);
    std::size_t joined = fleet.start();
    fleet.run(5s);
    BOOST_TEST(fleet.hasConverged());
    fleet.stop(joined);
    BOOST_TEST((fleet.runUntil([&] { return fleet.hasConverged(); }, convergenceBound) < convergenceBound));
}

BOOST_AUTO_TEST_CASE(lateSuspicionOfADeadMemberChangesNothing)
{
    TimePoint now(1h);
    auto member = [](const char* id, const char* host) { return MemberInfo { InstanceId(id), DataCentreId("a"), { host, 1 }, { host, 2 }, HolderId() }; };
    Membership membership(member("self", "10.0.0.1"), {}, 10);
    MemberInfo other = member("other", "10.0.0.2");
    membership.received(PingMessage { 1, other.id, { other } }, now);
    MemberInfo suspect = other;
    suspect.state = MemberState::Suspect;
    membership.received(AckMessage { 1, other.id, other.id, { suspect } }, now);
    for (int n = 0; n < 200; ++n)
        membership.tick(now += 50ms);
    BOOST_TEST((membership.members().back().state == MemberState::Dead));
    BOOST_TEST(membership.received(AckMessage { 1, other.id, other.id, { suspect } }, now).empty());
    auto before = membership.tick(now);
    BOOST_TEST(before.empty());
}

BOOST_AUTO_TEST_CASE(messagesRoundTripAndInvalidOnesAreRefused)
{
    MemberInfo member { InstanceId("i"), DataCentreId("bp-a"), { "10.0.0.1", 1 }, { "::1", 2 }, HolderId("h"), true, 7, MemberState::Leaving };
    for (const MembershipMessage& message : std::vector<MembershipMessage> { PingMessage { 1, InstanceId("i"), { member }, true, ~0ULL }, AckMessage { 2, InstanceId("i"), InstanceId("j"), { member } }, PingRequestMessage { 3, InstanceId("i"), InstanceId("j"), {} } })
        BOOST_TEST((decodeMembershipMessage(encodeMembershipMessage(message)) == message));
    MemberInfo suspect { member.id, {}, {}, {}, {}, false, 7, MemberState::Suspect };
    PingMessage failureReport { 1, InstanceId("i"), { suspect } };
    BOOST_TEST((std::get<PingMessage>(decodeMembershipMessage(encodeMembershipMessage(failureReport))) == failureReport));
    BOOST_TEST(rc::check("any bytes decode or are refused", [&](const std::string& bytes) {
        std::string damaged = encodeMembershipMessage(PingMessage { 1, InstanceId("i"), { member } });
        damaged.replace(*rc::gen::inRange<std::size_t>(0, damaged.size()), std::min<std::size_t>(bytes.size(), 3), bytes);
        for (const std::string& it : { bytes, damaged }) {
            try {
                decodeMembershipMessage(it);
            } catch (const InvalidInputError&) {
            }
        }
    }));
}

/// Injects or ends one fault: a stop, start or pause of daemons, or a network partition.
static void injectFault(SimulatedFleet& fleet, std::set<std::size_t>& paused)
{
    auto daemon = *rc::gen::inRange<std::size_t>(0, fleet.daemons().size());
    auto other = *rc::gen::inRange<std::size_t>(0, fleet.daemons().size());
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        if (fleet.upCount() > 3)
            fleet.stop(daemon);
        break;
    case 1:
        fleet.start();
        break;
    case 2:
        if (paused.insert(daemon).second)
            fleet.setPaused(daemon, true);
        break;
    case 3:
        for (std::size_t n : paused)
            fleet.setPaused(n, false);
        paused.clear();
        break;
    case 4:
        fleet.isCut = [=](std::size_t from, std::size_t to) { return from == daemon && to % 2 == other % 2; };
        break;
    case 5:
        fleet.isCut = [=](std::size_t from, std::size_t to) { return (from < daemon) != (to < daemon); };
        break;
    case 6:
        fleet.isCut = nullptr;
        break;
    }
}

BOOST_AUTO_TEST_CASE(fleetConvergesAfterRandomFaults)
{
    BOOST_TEST(rc::check("agreement once faults end", [] {
        SimulatedFleet fleet({ .loss = *rc::gen::element(0.0, 0.01, 0.05) }, *rc::gen::arbitrary<std::uint64_t>());
        fleet.start(*rc::gen::inRange<std::size_t>(4, 12));
        fleet.run(5s);
        std::set<std::size_t> paused;
        for (int n = *rc::gen::inRange(1, 10); n > 0; --n) {
            injectFault(fleet, paused);
            fleet.run(Milliseconds(*rc::gen::inRange(50, 15'000)));
        }
        for (std::size_t n : paused)
            fleet.setPaused(n, false);
        fleet.isCut = nullptr;
        auto time = fleet.runUntil([&] { return fleet.hasConverged(); }, convergenceBound);
        RC_ASSERT(time < convergenceBound);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
