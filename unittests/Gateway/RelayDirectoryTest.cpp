#include "RelayDirectory.h"

#include "DaemonEntry.h"
#include "MemoryStore.h"

#include "../Net/TestRuntime.h"

#include "basilpoint/Gateway/CommitTracker.h"
#include "basilpoint/Turns/TurnLedger.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(RelayDirectoryTest)

// A keeper that replaces another one must not be among those whose answers are needed before its journal is complete.
BOOST_AUTO_TEST_CASE(daemonEntersTheListOnlyOnceTheEntryConditionHolds)
{
    testRuntime().run([] {
        SystemClock clock;
        Metrics metrics;
        MemoryStore store;
        JsonLog log(clock, -1, "keeper-2");
        HttpClient peers(testRuntime().io());
        StoreClient client(store, nullptr, DataCentreId("a"), clock, log, metrics);
        PeerServer server(testRuntime().io(), { "127.0.0.1", 0 });
        // No process listens at this address, so the announcement fails at once.
        RelayAddress other { "keeper-1", DataCentreId("b"), { "127.0.0.1", 1 }, true };
        store.items[DaemonEntry::keyOf("keeper-1")] = { DaemonEntry::keyOf("keeper-1"), encodeEntry({ other }), 1 };
        bool mayEnter = false;
        bool hasEntered = false;
        std::vector<RelayAddress> known;
        RelayDirectory directory(client, server, peers, { "keeper-2", DataCentreId("a"), { "127.0.0.1", 2 }, true }, clock, log, [&](const std::vector<RelayAddress>& relays, bool) { known = relays; });
        directory.setEntryCondition([&] { return mayEnter; });
        directory.onEnter([&](const RelayDirectory::Start&) { hasEntered = true; });
        bool isOver = false;
        spawnFiber([&] {
            directory.run();
            isOver = true;
        });
        BOOST_TEST(waitUntil([&] { return !known.empty(); }));
        pause(Milliseconds(400));
        BOOST_TEST(!store.items.contains(DaemonEntry::keyOf("keeper-2")));
        BOOST_TEST(!hasEntered);
        mayEnter = true;
        BOOST_TEST(waitUntil([&] { return hasEntered; }));
        BOOST_TEST(store.items.contains(DaemonEntry::keyOf("keeper-2")));
        directory.retire();
        BOOST_TEST(waitUntil([&] { return isOver; }));
        BOOST_TEST(!store.items.contains(DaemonEntry::keyOf("keeper-2")));
    });
}

namespace {

/// One lifetime of a daemon in a list of \p others more daemons that serve callers.
struct Lifetime {
    Lifetime(MemoryStore& memory, int others)
        : log(clock, -1, "gateway-0")
        , peers(testRuntime().io())
        , client(memory, &peers, DataCentreId("a"), clock, log, metrics)
        , server(testRuntime().io(), { "127.0.0.1", 0 })
        , directory(client, server, peers, { "gateway-0", DataCentreId("a"), { "127.0.0.1", 2 }, false }, clock, log, [](const std::vector<RelayAddress>&, bool) {})
    {
        for (int n = 1; n <= others; ++n) {
            std::string name = "gateway-" + std::to_string(n);
            // No process listens at this address, so announcements fail at once.
            memory.items[DaemonEntry::keyOf(name)] = { DaemonEntry::keyOf(name), encodeEntry({ { name, DataCentreId("a"), { "127.0.0.1", 1 }, false } }), 1 };
        }
        directory.onEnter([this](const RelayDirectory::Start& it) { start = it; });
        directory.onMayAttest([this](bool mayAttest) {
            asked.push_back(mayAttest);
            return mayAttest || isResolved;
        });
        spawnFiber([this] {
            directory.run();
            isOver = true;
        });
    }

    void end()
    {
        directory.recordHandover();
        BOOST_TEST(waitUntil([&] { return isOver; }));
    }

    SystemClock clock;
    Metrics metrics;
    JsonLog log;
    HttpClient peers;
    StoreClient client;
    PeerServer server;
    RelayDirectory directory;
    std::optional<RelayDirectory::Start> start;
    std::vector<bool> asked;
    bool isResolved = true;
    bool isOver = false;
};

bool saysThatItMayAttest(MemoryStore& store)
{
    auto item = store.get(DaemonEntry::keyOf("gateway-0"));
    auto entry = item ? decodeDaemonEntry(*item) : std::nullopt;
    return !entry || entry->mayAttest;
}

} // namespace

// After a restart of all 259 daemons at once, each asked the keepers again and again for outstanding grants and refused all
// turns, though none of them could have attested an account.
BOOST_AUTO_TEST_CASE(lifetimeAfterOneInALargeFleetHasNoEarlierAttestations)
{
    testRuntime().run([] {
        MemoryStore store;
        {
            Lifetime first(store, static_cast<int>(StorePaths::daemonsPerKeeper) + 5);
            BOOST_TEST(waitUntil([&] { return !saysThatItMayAttest(store); }));
            BOOST_TEST(!first.start->mayHaveAttested);
            first.end();
        }
        Lifetime second(store, 0);
        BOOST_TEST(waitUntil([&] { return second.start.has_value(); }));
        BOOST_TEST(!second.start->mayHaveAttested);
        BOOST_TEST(!second.start->mayAttest);
        second.end();
    });
}

BOOST_AUTO_TEST_CASE(entrySaysThatTheDaemonMayAttestWhileAttestationsMatter)
{
    testRuntime().run([] {
        MemoryStore store;
        // An earlier lifetime, in a smaller fleet, may have attested accounts.
        std::string key = DaemonEntry::keyOf("gateway-0");
        store.items[key] = { key, encodeEntry({ { "gateway-0", DataCentreId("a"), { "127.0.0.1", 2 }, false } }), 1 };
        {
            Lifetime first(store, static_cast<int>(StorePaths::daemonsPerKeeper) + 5);
            first.isResolved = false;
            BOOST_TEST(waitUntil([&] { return !first.asked.empty(); }));
            BOOST_TEST(saysThatItMayAttest(store));
            first.end();
        }
        Lifetime second(store, 0);
        BOOST_TEST(waitUntil([&] { return second.start.has_value(); }));
        BOOST_TEST(second.start->mayHaveAttested);
        second.end();
    });
}

// Before a daemon attests accounts again, its entry says so.
BOOST_AUTO_TEST_CASE(daemonOfAFleetThatHasShrunkMayAttestAgain)
{
    testRuntime().run([] {
        MemoryStore store;
        {
            Lifetime first(store, static_cast<int>(StorePaths::daemonsPerKeeper) + 5);
            BOOST_TEST(waitUntil([&] { return !saysThatItMayAttest(store); }));
            first.end();
        }
        std::erase_if(store.items, [](const auto& it) { return it.first != DaemonEntry::keyOf("gateway-0"); });
        Lifetime second(store, 3);
        BOOST_TEST(waitUntil([&] { return !second.asked.empty(); }));
        BOOST_TEST((second.asked == std::vector { true }));
        BOOST_TEST(saysThatItMayAttest(store));
        second.end();
    });
}

// The time of day may jump, so only the time that a lifetime has run shows that the records of a direct commit have expired.
BOOST_AUTO_TEST_CASE(markOfADirectCommitIsRemovedAfterALifetimeThatOutlivesItsRecords)
{
    testRuntime().run([] {
        ManualClock clock;
        Metrics metrics;
        MemoryStore store;
        JsonLog log(clock, -1, "gateway-1");
        HttpClient peers(testRuntime().io());
        StoreClient client(store, nullptr, DataCentreId("a"), clock, log, metrics);
        PeerServer server(testRuntime().io(), { "127.0.0.1", 0 });
        RelayAddress self { "gateway-1", DataCentreId("a"), { "127.0.0.1", 1 }, false };
        std::string key = DaemonEntry::keyOf("gateway-1");
        store.items[key] = { key, encodeEntry({ self, false, true }), 1 };
        RelayDirectory directory(client, server, peers, self, clock, log, [](const std::vector<RelayAddress>&, bool) {});
        bool isOver = false;
        spawnFiber([&] {
            directory.run();
            isOver = true;
        });
        auto isMarked = [&] { return decodeDaemonEntry(store.items.at(key))->hasDirectCommit; };
        clock.advance(CommitTracker::longestRetention);
        pause(Milliseconds(1'200));
        BOOST_TEST(isMarked());
        clock.advance(std::chrono::minutes(2));
        BOOST_TEST(waitUntil([&] { return !isMarked(); }));
        directory.retire();
        BOOST_TEST(waitUntil([&] { return isOver; }));
    });
}

// A daemon that reaches no keeper for 12 s commits directly 30 times a second. If each commit wrote the mark, the commits
// would be serialised by its key.
BOOST_AUTO_TEST_CASE(directCommitsWriteOneMark)
{
    ManualClock clock;
    Metrics metrics;
    MemoryStore store;
    JsonLog log(clock, -1, "gateway-1");
    StoreClient client(store, nullptr, DataCentreId("a"), clock, log, metrics);
    client.setDirectCommitMark([] { return KeyWrite { DaemonEntry::keyOf("gateway-1"), "mark" }; });
    auto commit = [&](const std::string& key) {
        auto current = store.get(key);
        client.commit({ { { key, current ? current->modRevision : 0 } }, { { key, "value" } }, {} });
        return store.last.puts.size() == 2U;
    };
    std::string account = TurnLedger::accountKey(ProgramId("p"));
    BOOST_TEST(!commit("daemons/other"));
    BOOST_TEST(commit(account));
    BOOST_TEST(!commit(account));
    clock.advance(std::chrono::seconds(12));
    BOOST_TEST(!commit(account));
    // The mark is renewed before readers consider it expired.
    clock.advance(std::chrono::seconds(30));
    BOOST_TEST(commit(account));
}

BOOST_AUTO_TEST_SUITE_END()
