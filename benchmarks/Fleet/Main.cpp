#include "DeliveryTree.h"
#include "SimulatedFleet.h"

#include "basilpoint/Fleet/ShardPlacement.h"

#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <numeric>

using namespace basilpoint;
using namespace std::chrono_literals;

/// Bytes that a message takes on a link in addition to its body: WebSocket, TLS, TCP and IP headers, and the receiver's
/// TCP acknowledgement.
static constexpr double linkBytesPerMessage = 150;

static constexpr std::size_t environmentCount = 9'500;
static constexpr std::size_t documentBytes = 1'500;

static double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

static double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

static double seconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

static SimulatedFleet::Options fleetOptions(double loss)
{
    SimulatedFleet::Options options;
    options.loss = loss;
    options.dataCentres = 9;
    options.withConfiguration = true;
    return options;
}

/// Starts a fleet and runs it until all daemons report ready and are idle.
static void startIdleFleet(SimulatedFleet& fleet, std::size_t count)
{
    fleet.startJoined(count);
    for (auto& daemon : fleet.daemons())
        daemon.configuration->markListComplete();
    fleet.run(30s);
}

static StoredEnvironment makeDocument(std::uint64_t revision)
{
    return { Revision(revision), std::string(documentBytes, 'x') };
}

static double perDaemonSecond(std::uint64_t after, std::uint64_t before, std::size_t count, double duration)
{
    return static_cast<double>(after - before) / static_cast<double>(count) / duration;
}

static void measureIdleFleet()
{
    std::printf("membership and configuration traffic of an idle fleet, per daemon (sent; received is the same)\n");
    std::printf("members  loss  messages/s  body B/s  link B/s  processor %%  memory KB\n");
    for (std::size_t count : { 7, 30, 100, 340 }) {
        for (double loss : { 0.0, 0.01, 0.05 }) {
            double heap = heapBytes();
            SimulatedFleet fleet(fleetOptions(loss), 1);
            startIdleFleet(fleet, count);
            heap = (heapBytes() - heap) / static_cast<double>(count);
            auto membership = fleet.traffic(&SimulatedFleet::Daemon::membershipSent);
            auto configuration = fleet.traffic(&SimulatedFleet::Daemon::configurationSent);
            double processor = processorSeconds();
            constexpr double duration = 60;
            fleet.run(60s);
            processor = processorSeconds() - processor;
            auto membershipAfter = fleet.traffic(&SimulatedFleet::Daemon::membershipSent);
            auto configurationAfter = fleet.traffic(&SimulatedFleet::Daemon::configurationSent);
            double messages = perDaemonSecond(membershipAfter.messages + configurationAfter.messages, membership.messages + configuration.messages, count, duration);
            double bytes = perDaemonSecond(membershipAfter.bytes + configurationAfter.bytes, membership.bytes + configuration.bytes, count, duration);
            std::printf("%7zu  %3.0f%%  %10.2f  %8.0f  %8.0f  %11.4f  %9.0f\n", count, loss * 100, messages, bytes, bytes + messages * linkBytesPerMessage, processor / static_cast<double>(count) / duration * 100, heap / 1'024);
        }
    }
}

static void measureDetection()
{
    std::printf("\nfailure of one instance: time until all others consider it dead, 5 runs; false deaths and suspicions in 600 s\n");
    std::printf("members  loss  mean s  worst s  false deaths  false suspicions\n");
    for (std::size_t count : { 7, 30, 100, 340 }) {
        for (double loss : { 0.01, 0.05 }) {
            SimulatedFleet fleet(fleetOptions(loss), 2);
            startIdleFleet(fleet, count);
            unsigned deaths = 0;
            std::set<std::pair<InstanceId, std::uint64_t>> suspicions;
            fleet.onMemberChange = [&](const auto& it) {
                deaths += it.member.state == MemberState::Dead;
                if (it.member.state == MemberState::Suspect)
                    suspicions.emplace(it.member.id, it.member.incarnation);
            };
            fleet.run(600s);
            unsigned falseDeaths = deaths;
            std::size_t falseSuspicions = suspicions.size();
            std::vector<double> times;
            for (std::size_t n = 0; n < 5; ++n) {
                fleet.stop(n);
                times.push_back(seconds(fleet.runUntil([&] { return fleet.hasConverged(); }, 120s)));
                fleet.run(10s);
            }
            std::printf("%7zu  %3.0f%%  %6.1f  %7.1f  %12u  %16zu\n", count, loss * 100, std::accumulate(times.begin(), times.end(), 0.0) / 5, *std::max_element(times.begin(), times.end()), falseDeaths, falseSuspicions);
        }
    }
}

static void measureLostDataCentre()
{
    SimulatedFleet fleet(fleetOptions(0.01), 3);
    startIdleFleet(fleet, 340);
    auto before = fleet.traffic(&SimulatedFleet::Daemon::membershipSent);
    auto assignmentsBefore = placeShards(fleet.daemons()[1].membership->members(), 4'096);
    for (std::size_t n = 0; n < 340; n += 9)
        fleet.stop(n);
    double time = seconds(fleet.runUntil([&] { return fleet.hasConverged(); }, 120s));
    auto after = fleet.traffic(&SimulatedFleet::Daemon::membershipSent);
    double processor = processorSeconds();
    auto assignmentsAfter = placeShards(fleet.daemons()[1].membership->members(), 4'096);
    processor = processorSeconds() - processor;
    std::size_t moved = 0;
    std::size_t holdersMoved = 0;
    for (const auto& [shard, assignment] : assignmentsBefore) {
        moved += assignmentsAfter.at(shard).owner != assignment.owner;
        holdersMoved += assignmentsAfter.at(shard).holders != assignment.holders;
    }
    std::printf("\n38 of 340 stopped at once, 1%% loss: known to all after %.1f s, %.0f body B per daemon until then\n", time, static_cast<double>(after.bytes - before.bytes) / 302);
    std::printf("placement of 4,096 shards: %zu owners change, %zu holder pairs change, %.0f ms of processor time\n", moved, holdersMoved, processor * 1'000);
}

static void measureLostMember()
{
    SimulatedFleet fleet(fleetOptions(0), 4);
    startIdleFleet(fleet, 340);
    auto members = fleet.daemons()[1].membership->members();
    auto before = placeShards(members, 4'096);
    std::size_t moved = 0;
    std::size_t needed = 0;
    for (std::size_t n = 0; n < 10; ++n) {
        auto fewer = members;
        fewer[n * 30].state = MemberState::Dead;
        for (const auto& [shard, assignment] : placeShards(fewer, 4'096)) {
            needed += before.at(shard).owner == members[n * 30].id;
            moved += before.at(shard).owner != assignment.owner;
        }
    }
    std::printf("one of 340 stopped: %.1f owners of 4,096 shards change, of which %.1f must\n", static_cast<double>(moved) / 10, static_cast<double>(needed) / 10);
}

/// Delivery of one changed document by gossip from the only daemon whose watch reports it.
static DeliveryResult deliverByGossip(std::size_t count, double loss, const std::set<std::size_t>& failed, std::uint64_t seed)
{
    SimulatedFleet fleet(fleetOptions(loss), seed);
    startIdleFleet(fleet, count);
    for (std::size_t n : failed)
        fleet.stop(n);
    auto before = fleet.traffic(&SimulatedFleet::Daemon::configurationSent);
    std::size_t reached = 0;
    fleet.onApplied = [&](std::size_t, const auto&) { ++reached; };
    EnvironmentId id("environment");
    std::size_t first = 1;
    fleet.perform(first, fleet.daemons()[first].configuration->stored(id, makeDocument(1), fleet.now()));
    auto time = fleet.runUntil([&] { return reached == fleet.upCount(); }, 60s);
    auto after = fleet.traffic(&SimulatedFleet::Daemon::configurationSent);
    // Subtracts the traffic of an idle fleet, one digest per second and daemon, which the change does not cause.
    auto idleMessages = static_cast<std::uint64_t>(seconds(time) * static_cast<double>(fleet.upCount()));
    std::uint64_t sent = after.messages - before.messages;
    return { sent - std::min(sent, idleMessages), time };
}

static void measureDelivery()
{
    std::printf("\none changed document, mean of 5: messages and time to the last daemon\n");
    std::printf("members  loss  failed  gossip: messages  s     tree of 4: messages  s     watches: calls\n");
    for (std::size_t count : { 7, 30, 100, 340 }) {
        for (auto [loss, failing] : { std::pair(0.0, false), std::pair(0.01, false), std::pair(0.05, false), std::pair(0.01, true) }) {
            std::set<std::size_t> failed;
            for (std::size_t n = 2; failing && n < count; n += 9)
                failed.insert(n);
            DeliveryResult gossip;
            DeliveryResult tree;
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                auto one = deliverByGossip(count, loss, failed, seed);
                gossip = { gossip.messages + one.messages, gossip.timeToLast + one.timeToLast };
                one = deliverByTree(count, 4, loss, failed, seed);
                tree = { tree.messages + one.messages, tree.timeToLast + one.timeToLast };
            }
            // With watches, each daemon's watch is answered once and set up again: two calls.
            std::printf("%7zu  %3.0f%%  %6zu  %16lu  %4.1f  %19lu  %4.1f  %14zu\n", count, loss * 100, failed.size(), gossip.messages / 5, seconds(gossip.timeToLast) / 5, tree.messages / 5, seconds(tree.timeToLast) / 5, 2 * count);
        }
    }
}

static void measureJoining()
{
    SimulatedFleet fleet(fleetOptions(0.01), 5);
    fleet.startJoined(7);
    double heap = heapBytes();
    for (auto& daemon : fleet.daemons()) {
        std::map<EnvironmentId, StoredEnvironment> documents;
        for (std::size_t n = 0; n < environmentCount; ++n)
            documents.emplace(EnvironmentId("organisation-" + std::to_string(n)), makeDocument(3));
        daemon.configuration->restore(documents);
        daemon.configuration->markListComplete();
    }
    heap = (heapBytes() - heap) / 7;
    fleet.run(10s);
    auto before = fleet.traffic(&SimulatedFleet::Daemon::configurationSent);
    double processor = processorSeconds();
    std::size_t joined = fleet.start();
    double time = seconds(fleet.runUntil([&] { return fleet.daemons()[joined].configuration->ready(); }, 60s));
    processor = processorSeconds() - processor;
    auto after = fleet.traffic(&SimulatedFleet::Daemon::configurationSent);
    std::printf("\njoining while the key-value service is down, %zu environments of %zu B: ready after %.1f s, %.1f MB sent by peers, %.2f s of processor time in all\n", environmentCount, documentBytes, time, static_cast<double>(after.bytes - before.bytes) / 1e6, processor);
    std::printf("memory of these documents: %.1f MB per daemon\n", heap / 1e6);
}

int main()
{
    measureIdleFleet();
    measureDetection();
    measureLostDataCentre();
    measureLostMember();
    measureDelivery();
    measureJoining();
    return 0;
}
