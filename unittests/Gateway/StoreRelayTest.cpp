#include "StoreRelay.h"

#include "MemoryStore.h"
#include "PeerCall.h"
#include "RelayedStore.h"

#include "../Net/TestRuntime.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

/// Store in memory that counts calls, answers reads after a while, and can fail.
class CountingStore final : public TransactionalStore {
public:
    std::optional<KeyValue> get(const std::string& key) override
    {
        count();
        return memory.get(key);
    }
    KeyTransactionResult commit(const KeyTransaction& transaction, Milliseconds limit) override
    {
        count();
        if (std::any_of(transaction.puts.begin(), transaction.puts.end(), [](const KeyWrite& it) { return it.value.size() > maxValueBytes; }))
            throw KeyValueRejectedError("too large");
        return memory.commit(transaction, limit);
    }
    std::int64_t awaitChanges(const std::string& prefix, std::int64_t after, Milliseconds wait, Milliseconds limit, const ChangeHandler& onChange) override
    {
        count();
        pause(latency);
        if (isSilent) {
            pause(wait + limit);
            throw KeyValueUnavailableError("timeout");
        }
        TimePoint end = std::chrono::steady_clock::now() + wait;
        while (std::chrono::steady_clock::now() < end) {
            bool anyFound = false;
            std::int64_t latest = after;
            for (const auto& [key, item] : memory.items) {
                latest = std::max(latest, item.modRevision);
                if (key.starts_with(prefix) && item.modRevision > after) {
                    onChange(key, item);
                    anyFound = true;
                }
            }
            if (anyFound)
                return latest;
            pause(Milliseconds(5));
        }
        return after;
    }
    KeySnapshot snapshot(const std::string& prefix, ReadMode mode, Milliseconds limit) override
    {
        count();
        KeySnapshot result = memory.snapshot(prefix, mode, limit);
        pause(Milliseconds(10) + latency);
        return result;
    }

    static constexpr std::size_t maxValueBytes = 100;
    MemoryStore memory;
    bool isFailing = false;
    /// Additional time of each read and watch.
    Milliseconds latency { 0 };
    /// Watches get no answer.
    bool isSilent = false;
    int calls = 0;

private:
    void count()
    {
        ++calls;
        if (isFailing)
            throw KeyValueUnavailableError("busy");
    }
};

/// A relay in this process and daemons that call the store through it.
struct Relay {
    Relay()
        : log(clock, -1, "keeper")
        , client(testRuntime().io())
        , server(testRuntime().io(), { "127.0.0.1", 0 })
        , relay(server, store, true, clock, log, metrics)
    {
        server.start();
    }

    /// Calls \p call in \p count fibers at once. \returns how many threw KeyValueUnavailableError.
    int callAtOnce(int count, const std::function<void(RelayedStore&)>& call)
    {
        int pending = count;
        int failed = 0;
        for (int n = 0; n < count; ++n) {
            spawnFiber([&] {
                RelayedStore relayed(client, server.endpoint());
                try {
                    call(relayed);
                } catch (const KeyValueUnavailableError&) {
                    ++failed;
                }
                --pending;
            });
        }
        BOOST_TEST(waitUntil([&] { return pending == 0; }));
        return failed;
    }

    SystemClock clock;
    Metrics metrics;
    JsonLog log;
    HttpClient client;
    CountingStore store;
    PeerServer server;
    StoreRelay relay;
};

constexpr Milliseconds readLimit { 1'000 };

} // namespace

BOOST_AUTO_TEST_SUITE(StoreRelayTest)

// Hundreds of daemons that start together each read the same three prefixes.
BOOST_AUTO_TEST_CASE(readsOfDaemonsThatStartTogetherAreOneCall)
{
    testRuntime().run([] {
        auto& relay = *new Relay;
        relay.store.memory.items["config/a"] = { "config/a", "one", 1 };
        std::size_t read = 0;
        BOOST_TEST(relay.callAtOnce(40, [&](RelayedStore& it) { read += it.snapshot("config/", ReadMode::Current, readLimit).items.size(); }) == 0);
        BOOST_TEST(read == 40U);
        BOOST_TEST(relay.store.calls <= 4);
        relay.server.stop();
    });
}

// A read that began before the request may miss what was written since.
BOOST_AUTO_TEST_CASE(sharedReadIsAsRecentAsEachRequest)
{
    testRuntime().run([] {
        auto& relay = *new Relay;
        bool isOver = false;
        spawnFiber([&] {
            RelayedStore relayed(relay.client, relay.server.endpoint());
            relayed.snapshot("config/", ReadMode::Current, readLimit);
            isOver = true;
        });
        BOOST_TEST(waitUntil([&] { return relay.store.calls == 1; }));
        relay.store.memory.items["config/a"] = { "config/a", "one", 1 };
        RelayedStore relayed(relay.client, relay.server.endpoint());
        BOOST_TEST(relayed.snapshot("config/", ReadMode::Current, readLimit).items.size() == 1U);
        BOOST_TEST(waitUntil([&] { return isOver; }));
        relay.server.stop();
    });
}

// Each daemon continues from the revision of its own last read, so hardly two of them ask for the same changes.
BOOST_AUTO_TEST_CASE(watchesOfAPrefixFromDifferentRevisionsAreOneCall)
{
    testRuntime().run([] {
        auto& relay = *new Relay;
        for (std::int64_t n = 1; n <= 40; ++n)
            relay.store.memory.items["other/" + std::to_string(n)] = { "other/" + std::to_string(n), "x", n };
        constexpr std::int64_t firstRevision = 100;
        constexpr Milliseconds wait { 1'000 };
        int next = 0;
        int seen = 0;
        spawnFiber([&] {
            pause(Milliseconds(200));
            relay.store.memory.items["config/a"] = { "config/a", "one", 200 };
        });
        BOOST_TEST(relay.callAtOnce(40, [&](RelayedStore& it) {
            std::int64_t after = firstRevision + next++;
            std::int64_t upTo = it.awaitChanges("config/", after, wait, readLimit, [&](const std::string& key, const std::optional<KeyValue>& item) { seen += key == "config/a" && item && item->value == "one" ? 1 : 0; });
            BOOST_TEST(upTo >= 200);
        }) == 0);
        BOOST_TEST(seen == 40);
        BOOST_TEST(relay.store.calls <= 3);
        // The next changes reach a daemon that continues from there.
        relay.store.memory.items["config/a"] = { "config/a", "two", 300 };
        std::string value;
        RelayedStore relayed(relay.client, relay.server.endpoint());
        relayed.awaitChanges("config/", 200, wait, readLimit, [&](const std::string&, const std::optional<KeyValue>& item) { value = item->value; });
        BOOST_TEST(value == "two");
        relay.server.stop();
    });
}

// A daemon that is told of no change does not ask another relay, which may know of one.
BOOST_AUTO_TEST_CASE(relayThatDoesNotHearTheStoreReportsNoWatch)
{
    testRuntime().run([] {
        auto& relay = *new Relay;
        auto watch = [](RelayedStore& it) { it.awaitChanges("config/", 0, Milliseconds(1'200), readLimit, [](const std::string&, const std::optional<KeyValue>&) {}); };
        BOOST_TEST(relay.callAtOnce(1, watch) == 0);
        relay.store.isSilent = true;
        // Every call that begins once the shared watch has fallen silent fails, and soon.
        BOOST_TEST(waitUntil([&] { return relay.callAtOnce(1, watch) == 1; }));
        for (int n = 0; n < 10; ++n) {
            TimePoint start = relay.clock.now();
            BOOST_TEST(relay.callAtOnce(2, watch) == 2);
            BOOST_TEST((relay.clock.now() - start < Milliseconds(1'000)));
        }
        relay.store.isSilent = false;
        BOOST_TEST(waitUntil([&] { return relay.callAtOnce(1, watch) == 0; }));
        relay.server.stop();
    });
}

// Guards against daemons that all watch a slow store themselves, since their relay refuses them.
BOOST_AUTO_TEST_CASE(relayWatchesASlowStoreForAllDaemons)
{
    testRuntime().run([] {
        auto& relay = *new Relay;
        relay.store.latency = Milliseconds(700);
        for (int n = 0; n < 3; ++n)
            BOOST_TEST(relay.callAtOnce(1, [](RelayedStore& it) { it.snapshot("config/", ReadMode::Current, readLimit); }) == 0);
        BOOST_TEST(relay.callAtOnce(40, [](RelayedStore& it) { it.awaitChanges("config/", 0, Milliseconds(400), readLimit, [](const std::string&, const std::optional<KeyValue>&) {}); }) == 0);
        BOOST_TEST(relay.store.calls <= 7);
        relay.server.stop();
    });
}

// Programs that go on after their budget is spent do so through many daemons, each of which must be certain of it.
BOOST_AUTO_TEST_CASE(recentReadsOfAKeyAreOneCall)
{
    testRuntime().run([] {
        auto& relay = *new Relay;
        relay.store.memory.items["account"] = { "account", "one", 1 };
        int found = 0;
        auto read = [&](RelayedStore& it) { found += it.recentGet("account")->value == "one" ? 1 : 0; };
        BOOST_TEST(relay.callAtOnce(40, read) == 0);
        BOOST_TEST(relay.callAtOnce(40, read) == 0);
        BOOST_TEST(found == 80);
        BOOST_TEST(relay.store.calls == 1);
        BOOST_TEST(relay.callAtOnce(1, [](RelayedStore& it) { BOOST_TEST(!it.recentGet("none").has_value()); }) == 0);
        // No answer is older than a second.
        relay.store.memory.items["account"].value = "two";
        pause(StoreRelay::recentAge);
        RelayedStore relayed(relay.client, relay.server.endpoint());
        BOOST_TEST(relayed.recentGet("account")->value == "two");
        // A failure is not remembered.
        relay.store.isFailing = true;
        BOOST_TEST(relay.callAtOnce(2, [](RelayedStore& it) { it.recentGet("other"); }) == 2);
        relay.store.isFailing = false;
        BOOST_TEST(relay.callAtOnce(1, [](RelayedStore& it) { it.recentGet("other"); }) == 0);
        relay.server.stop();
    });
}

// Guards against a value that no store takes and that every daemon then holds for an outage.
BOOST_AUTO_TEST_CASE(rejectedValueFailsItsOwnCommitOnlyAndIsNoOutage)
{
    testRuntime().run([] {
        auto& relay = *new Relay;
        int rejected = 0;
        int n = 0;
        auto commit = [&](RelayedStore& it) {
            std::string key = "key-" + std::to_string(n++);
            std::string value(key == "key-3" ? CountingStore::maxValueBytes + 1 : 1, 'x');
            try {
                BOOST_TEST(it.commit({ { { key, 0 } }, { { key, value } }, {} }, readLimit).revision.has_value());
            } catch (const KeyValueRejectedError&) {
                ++rejected;
            }
        };
        BOOST_TEST(relay.callAtOnce(8, commit) == 0);
        BOOST_TEST(rejected == 1);
        BOOST_TEST(relay.store.memory.items.size() == 7U);
        BOOST_TEST(!relay.relay.health().failingSince().has_value());
        relay.server.stop();
    });
}

// All daemons repeat their calls while the store fails; it must get few of them.
BOOST_AUTO_TEST_CASE(relayRefusesCallsWhileTheStoreFails)
{
    testRuntime().run([] {
        auto& relay = *new Relay;
        relay.store.isFailing = true;
        auto read = [](RelayedStore& it) { it.get("config/a"); };
        TimePoint end = relay.clock.now() + std::chrono::seconds(3);
        int calls = 0;
        while (relay.clock.now() < end) {
            constexpr int daemons = 10;
            BOOST_TEST(relay.callAtOnce(daemons, read) == daemons);
            calls += daemons;
            pause(Milliseconds(20));
        }
        BOOST_TEST(calls > 300);
        // Before the relay is certain of the failure, and then twice a second.
        int before = relay.store.calls;
        pause(Milliseconds(600));
        relay.callAtOnce(10, read);
        BOOST_TEST(relay.store.calls - before <= 1);
        relay.store.isFailing = false;
        BOOST_TEST(waitUntil([&] { return relay.callAtOnce(1, read) == 0; }));
        BOOST_TEST(relay.callAtOnce(10, read) == 0);
        relay.server.stop();
    });
}

BOOST_AUTO_TEST_SUITE_END()
