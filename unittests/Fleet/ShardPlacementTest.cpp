#include "basilpoint/Fleet/ShardPlacement.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace basilpoint;

/// Members in \p dataCentres data centres; every \p diskEvery th has a disk, or none if it is 0.
static std::vector<MemberInfo> makeMembers(std::size_t count, std::size_t dataCentres, std::size_t diskEvery)
{
    std::vector<MemberInfo> members(count);
    for (std::size_t n = 0; n < count; ++n) {
        members[n].id = InstanceId("i-" + std::to_string(n));
        members[n].dataCentre = DataCentreId("dc" + std::to_string(n % dataCentres));
        members[n].holder = HolderId("h-" + std::to_string(n));
        members[n].durable = diskEvery != 0 && n % diskEvery == 0;
    }
    return members;
}

static std::map<InstanceId, std::uint64_t> loadOf(const std::map<ShardId, ShardAssignment>& assignments)
{
    std::map<InstanceId, std::uint64_t> load;
    for (const auto& [shard, assignment] : assignments)
        ++load[assignment.owner];
    return load;
}

/// Number of shards whose owner changed although the old owner still owns shards, except moves to \p joined.
static std::uint64_t avoidableMoves(const std::map<ShardId, ShardAssignment>& before, const std::map<ShardId, ShardAssignment>& after, const std::set<InstanceId>& joined)
{
    auto load = loadOf(after);
    std::uint64_t moved = 0;
    for (const auto& [shard, assignment] : before) {
        const InstanceId& owner = after.at(shard).owner;
        moved += owner != assignment.owner && load.contains(assignment.owner) && !joined.contains(owner);
    }
    return moved;
}

BOOST_AUTO_TEST_SUITE(ShardPlacementTest)

BOOST_AUTO_TEST_CASE(everyShardHasAnOwnerWithinTheBoundAndHoldersInTwoDataCentres)
{
    BOOST_TEST(rc::check("bound, holders, determinism", [] {
        auto members = makeMembers(*rc::gen::inRange<std::size_t>(1, 60), *rc::gen::inRange<std::size_t>(1, 5), *rc::gen::inRange<std::size_t>(0, 4));
        for (MemberInfo& member : members)
            member.state = *rc::gen::weightedElement<MemberState>({ { 6, MemberState::Alive }, { 1, MemberState::Suspect }, { 1, MemberState::Leaving }, { 1, MemberState::Dead } });
        auto shards = *rc::gen::inRange<std::uint64_t>(1, 512);
        auto assignments = placeShards(members, shards);
        std::map<InstanceId, MemberInfo> usable;
        std::map<HolderId, MemberInfo> holders;
        std::set<DataCentreId> dataCentres;
        for (const MemberInfo& member : members) {
            if (member.state != MemberState::Alive && member.state != MemberState::Suspect)
                continue;
            usable[member.id] = member;
            holders[member.holder] = member;
            dataCentres.insert(member.dataCentre);
        }
        RC_ASSERT(assignments.size() == (usable.empty() ? 0 : shards));
        for (const auto& [owner, load] : loadOf(assignments)) {
            RC_ASSERT(usable.contains(owner));
            RC_ASSERT(load <= shards * 5 / (usable.size() * 4) + 1);
        }
        for (const auto& [shard, assignment] : assignments) {
            RC_ASSERT(assignment.holders.size() == std::min<std::size_t>(2, usable.size()));
            if (assignment.holders.size() < 2)
                continue;
            const MemberInfo& first = holders.at(assignment.holders[0]);
            const MemberInfo& second = holders.at(assignment.holders[1]);
            RC_ASSERT(first.id != second.id);
            RC_ASSERT((first.dataCentre != second.dataCentre || dataCentres.size() == 1));
            RC_ASSERT((first.durable || !second.durable));
            bool anyDurable = std::any_of(holders.begin(), holders.end(), [](const auto& it) { return it.second.durable; });
            RC_ASSERT(first.durable == anyDurable);
            if (usable.size() > 2 && dataCentres.size() == 1 && !anyDurable)
                RC_ASSERT((first.id != assignment.owner && second.id != assignment.owner));
        }
        std::reverse(members.begin(), members.end());
        RC_ASSERT(placeShards(members, shards) == assignments);
    }));
}

BOOST_AUTO_TEST_CASE(addingOrRemovingOneMemberMovesFewOtherShards)
{
    for (std::size_t count : { 7, 30, 100, 340 }) {
        std::uint64_t shards = count == 340 ? 4'096 : 64;
        auto members = makeMembers(count, 9, 10);
        auto before = placeShards(members, shards);
        auto average = shards / count + 1;
        for (std::size_t n = 0; n < 5; ++n) {
            auto fewer = members;
            fewer[n].state = MemberState::Leaving;
            auto after = placeShards(fewer, shards);
            BOOST_TEST(avoidableMoves(before, after, {}) <= average);
            BOOST_TEST(avoidableMoves(after, before, { members[n].id }) <= average);
        }
    }
}

BOOST_AUTO_TEST_CASE(lossOfADataCentreMovesFewShardsOfTheOthers)
{
    auto members = makeMembers(340, 9, 10);
    auto before = placeShards(members, 4'096);
    for (MemberInfo& member : members) {
        if (member.dataCentre == DataCentreId("dc4"))
            member.state = MemberState::Dead;
    }
    BOOST_TEST(avoidableMoves(before, placeShards(members, 4'096), {}) <= 4'096U / 9);
}

BOOST_AUTO_TEST_CASE(memoryHolderInAnotherDataCentreIsPreferredToASecondDiskInTheSame)
{
    auto members = makeMembers(6, 2, 2);
    auto assignments = placeShards(members, 32);
    for (const auto& [shard, assignment] : assignments) {
        BOOST_TEST(std::stoul(assignment.holders[0].text().substr(2)) % 2 == 0U);
        BOOST_TEST(std::stoul(assignment.holders[1].text().substr(2)) % 2 == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
