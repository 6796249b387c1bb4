#include "RelayDirectory.h"

#include "DaemonEntry.h"
#include "MemoryStore.h"

#include "../Net/TestRuntime.h"

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
