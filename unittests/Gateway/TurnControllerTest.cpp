#include "TurnController.h"
#include "KeeperCodec.h"
#include "PeerCall.h"
#include "PeerServer.h"

#include "../Net/TestRuntime.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberSignal.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

/// Store in memory that holds its commits until released.
class HeldStore final : public TransactionalStore {
public:
    void release()
    {
        m_isReleased = true;
        m_released.notifyAll();
    }

    std::optional<KeyValue> get(const std::string&) override
    {
        requireAvailable();
        return std::nullopt;
    }

    KeyTransactionResult commit(const KeyTransaction&, Milliseconds) override
    {
        requireAvailable();
        while (!m_isReleased)
            m_released.wait();
        ++commits;
        return { ++m_revision, {} };
    }

    std::int64_t awaitChanges(const std::string&, std::int64_t after, Milliseconds, Milliseconds, const ChangeHandler&) override { return after; }
    KeySnapshot snapshot(const std::string&, ReadMode, Milliseconds) override { return { {}, m_revision }; }

    int commits = 0;
    bool isDown = false;

private:
    void requireAvailable() const
    {
        if (isDown)
            throw KeyValueUnavailableError("down");
    }

    bool m_isReleased = false;
    FiberSignal m_released;
    std::int64_t m_revision = 1;
};

/// Records what a caller receives.
class RecordingWriter final : public ResponseWriter {
public:
    void send(const HttpResponse&) override { isStarted = isEnded = true; }
    void begin(int, const HttpHeaders&) override { isStarted = true; }
    void write(std::string_view chunk) override { body.append(chunk); }
    void end() override { isEnded = true; }
    bool started() const override { return isStarted; }

    std::string body;
    bool isStarted = false;
    bool isEnded = false;
};

constexpr const char* callHeader = "x-call";

WireFormat testFormat()
{
    WireFormat format;
    format.writeTargetCall = [](HttpRequest&, const TargetCallAttributes&) {};
    format.readResponse = [](const HttpResponse& response) {
        auto call = response.headers.find(callHeader);
        ResponseAttributes attributes;
        attributes.call = CallId(call == response.headers.end() ? "" : call->second);
        attributes.isSigned = true;
        return attributes;
    };
    return format;
}

std::shared_ptr<const RouteTable> testTable()
{
    ForwardingRoute route;
    route.name = "turns";
    route.host = "h.example";
    route.prefix = "/stream/";
    route.kind = CallKind::Stream;
    route.services = { { ServiceId("models"), 1 } };
    route.turnRetention = Milliseconds(60'000);
    return std::make_shared<const RouteTable>(ForwardingConfiguration { 1, { route }, { { ServiceId("models"), {}, std::nullopt } }, {} });
}

void answerWithOneEvent(ResponseWriter& writer)
{
    writer.begin(200, { { "content-type", "text/event-stream" }, { callHeader, "t1" } });
    writer.write("data: one\n\n");
    writer.end();
}

/// Controller of a daemon that knows no keepers, and a target.
struct Daemon {
    explicit Daemon(std::function<void(ResponseWriter&)> answer = answerWithOneEvent)
        : log(clock, -1, "daemon")
        , client(testRuntime().io())
        , target(testRuntime().io(), { "127.0.0.1", 0 }, HttpLimits {}, [answer = std::move(answer)](const HttpRequest&, ResponseWriter& writer) { answer(writer); })
        , format(testFormat())
        , storeClient(store, nullptr, {}, clock, log, metrics)
        , selector(1)
        , monitor(client, directory, 1, clock, log, metrics)
        , relays("g", {}, 1)
        , notices(clock, InstanceId("g"), 1, [](const InstanceId&, const std::string&) {})
        , crashes(client, directory, notices, clock, log, metrics)
        , repetitions(directory, notices, 1, clock, log, metrics)
        , limits("g", notices, clock, log, metrics)
        , rooms(client, selector, monitor, limits, format, clock, log, metrics, 1)
        , forwarder(client, directory, selector, monitor, relays, crashes, repetitions, limits, rooms, receiveBudget, format, clock, log, metrics)
        , ledger(DaemonLifetime("daemon~1"), LedgerSettings {})
        , writer(storeClient, ledger, clock, log)
        , journal(client, 0, clock, log)
        , accounts(storeClient, ledger, writer, journal, client, true, clock, log)
        , controller(forwarder, storeClient, ledger, writer, journal, accounts, receiveBudget, clock, log, metrics)
        , table(testTable())
    {
        target.start();
        directory.put({ TargetId("i-1"), ServiceId("models"), target.endpoint(), {}, 1, 4 });
        accounts.entered({});
    }

    /// Serves the turn "t1".
    std::optional<TurnController::Refusal> serve(ResponseWriter& response, Milliseconds timeLeft, TokenCount maxTokens = 0, std::optional<TokenCount> budget = std::nullopt)
    {
        HttpRequest request { "POST", "/stream/x", { { "host", "h.example" } }, "in" };
        CallAttributes attributes;
        attributes.call = CallId("t1");
        attributes.program = ProgramId("p");
        attributes.maxTokens = maxTokens;
        attributes.budget = budget;
        ForwardedCall call { request, attributes, table, *table->match("h.example", "/stream/x"), clock.now(), clock.now() + timeLeft };
        return controller.serve(call, response);
    }

    /// Ends the fibers, so that the runtime can stop.
    void stop()
    {
        store.release();
        target.stop();
        client.closeIdle(lifetimeOf(*directory.find(TargetId("i-1"))));
    }

    SystemClock clock;
    Metrics metrics;
    JsonLog log;
    HttpClient client;
    HttpServer target;
    WireFormat format;
    HeldStore store;
    StoreClient storeClient;
    TargetDirectory directory;
    TargetSelector selector;
    TargetMonitor monitor;
    RelaySelector relays;
    MemoryBudget receiveBudget { 1024 * 1024 };
    NoticeController notices;
    CrashTracker crashes;
    RepetitionTracker repetitions;
    RateLimitTracker limits;
    RoomController rooms;
    Forwarder forwarder;
    TurnLedger ledger;
    LedgerWriter writer;
    TurnJournalClient journal;
    AccountPeers accounts;
    TurnController controller;
    std::shared_ptr<const RouteTable> table;
};

constexpr Milliseconds longerThanFallbackDelay { 400 };

void probe(StoreClient& store)
{
    try {
        store.probe("x");
    } catch (const KeyValueUnavailableError&) {
        return;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TurnControllerTest)

BOOST_AUTO_TEST_CASE(answerEndsOnceTheTurnIsStoredAfterTheKeepersFailedToKeepIt)
{
    testRuntime().run([] {
        // Never deleted, since fibers use it until the process ends.
        auto& daemon = *new Daemon;
        auto& response = *new RecordingWriter;
        bool hasReturned = false;
        std::optional<TurnController::Refusal> refusal;
        spawnFiber([&] {
            refusal = daemon.serve(response, Milliseconds(3'000));
            hasReturned = true;
        });
        BOOST_TEST(waitUntil([&] { return response.body == "data: one\n\n"; }));
        pause(longerThanFallbackDelay);
        // Neither the store nor the keepers have the turn.
        BOOST_TEST(!response.isEnded);
        BOOST_TEST(!hasReturned);
        daemon.store.release();
        BOOST_TEST(waitUntil([&] { return hasReturned; }));
        BOOST_TEST(daemon.store.commits == 1);
        BOOST_TEST(!refusal.has_value());
        BOOST_TEST(response.isEnded);
        daemon.stop();
    });
}

// Guards against whole answers that are cut, since keepers refused the turn for a moment while the store was slow.
BOOST_AUTO_TEST_CASE(turnIsKeptByKeepersThatRefusedItAtFirst)
{
    testRuntime().run([] {
        auto& daemon = *new Daemon;
        auto& keeper = *new PeerServer(testRuntime().io(), { "127.0.0.1", 0 });
        TimePoint end = daemon.clock.now() + Milliseconds(600);
        int refusals = 0;
        keeper.on(peerpaths::journalAppend, [&](const std::string&) {
            if (daemon.clock.now() < end) {
                ++refusals;
                throw KeyValueUnavailableError("not ready");
            }
            return encodeAnswer({ std::nullopt, false, "kept" });
        });
        keeper.on(peerpaths::journalDrop, [](const std::string&) { return std::string("dropped"); });
        keeper.start();
        daemon.journal.setView({ 1, { { "k", {}, keeper.endpoint(), true } } });
        RecordingWriter response;
        auto refusal = daemon.serve(response, Milliseconds(3'000));
        BOOST_TEST(refusals > 0);
        BOOST_TEST(!refusal.has_value());
        BOOST_TEST(response.isEnded);
        BOOST_TEST(daemon.store.commits == 0);
        keeper.stop();
        daemon.stop();
    });
}

// Guards against answers that are cut with time left, since the store failed for a moment and their grant was too small.
BOOST_AUTO_TEST_CASE(turnThatUsesUpItsGrantGoesOnOnceTheStoreIsBack)
{
    testRuntime().run([] {
        constexpr TokenCount maxTokens = 20;
        constexpr TokenCount budget = 100;
        constexpr TokenCount grantedToOthers = 10;
        constexpr int events = 15;
        auto& daemon = *new Daemon([](ResponseWriter& writer) {
            writer.begin(200, { { "content-type", "text/event-stream" }, { callHeader, "t1" } });
            for (int n = 0; n < events; ++n)
                writer.write("data: one\n\n");
            writer.end();
        });
        daemon.store.release();
        daemon.store.isDown = true;
        AccountChange granted;
        granted.kind = AccountChange::Kind::Grant;
        granted.step = 1;
        granted.maxTokens = grantedToOthers;
        std::vector<JournalEntry> grants { { ProgramId("p"), DaemonLifetime("other~1"), { granted } } };
        auto& keeper = *new PeerServer(testRuntime().io(), { "127.0.0.1", 0 });
        keeper.on(peerpaths::journalGrant, [&](const std::string& body) {
            for (JournalEntry& it : decodeEntries(decodeRequest(body).body))
                grants.push_back(std::move(it));
            return encodeAnswer({ std::nullopt, false, encodeEntries(grants) });
        });
        keeper.on(peerpaths::journalGrants, [&](const std::string&) { return encodeAnswer({ std::nullopt, false, encodeEntries(grants) }); });
        keeper.on(peerpaths::journalAppend, [&](const std::string&) { return encodeAnswer({ std::nullopt, false, "kept" }); });
        keeper.start();
        daemon.journal.setView({ 1, { { "k", {}, keeper.endpoint(), true } } });
        bool hasReturned = false;
        bool isProbing = true;
        spawnFiber([&] {
            while (!hasReturned) {
                probe(daemon.storeClient);
                pause(Milliseconds(20));
            }
            isProbing = false;
        });
        BOOST_TEST(waitUntil([&] { return daemon.storeClient.isFailing(); }));
        RecordingWriter response;
        std::optional<TurnController::Refusal> refusal;
        TimePoint start = daemon.clock.now();
        spawnFiber([&] {
            refusal = daemon.serve(response, Milliseconds(4'000), maxTokens, budget);
            hasReturned = true;
        });
        BOOST_TEST(waitUntil([&] { return !response.body.empty() || hasReturned; }));
        pause(Milliseconds(300));
        BOOST_TEST(!response.isEnded);
        BOOST_TEST(!hasReturned);
        // The account has the other daemon's tokens now.
        grants.erase(grants.begin());
        daemon.store.isDown = false;
        BOOST_TEST(waitUntil([&] { return hasReturned && !isProbing; }));
        BOOST_TEST((daemon.clock.now() - start < Milliseconds(3'000)));
        BOOST_TEST(!refusal.has_value());
        BOOST_TEST(response.isEnded);
        std::string whole;
        for (int n = 0; n < events; ++n)
            whole += "data: one\n\n";
        BOOST_TEST(response.body == whole);
        keeper.stop();
        daemon.stop();
    });
}

BOOST_AUTO_TEST_CASE(answerOfTurnThatIsNotStoredNorKeptBreaksOffAtTheDeadline)
{
    testRuntime().run([] {
        auto& daemon = *new Daemon;
        RecordingWriter response;
        auto refusal = daemon.serve(response, Milliseconds(500));
        BOOST_REQUIRE(refusal.has_value());
        BOOST_TEST(refusal->isBrokenOff);
        BOOST_TEST(response.body == "data: one\n\n");
        BOOST_TEST(!response.isEnded);
        daemon.stop();
    });
}

// Targets in trouble send without end until the connection is closed.
BOOST_AUTO_TEST_CASE(eventThatNeverEndsIsGivenToTheCallerAsBroken)
{
    testRuntime().run([] {
        auto& daemon = *new Daemon([](ResponseWriter& writer) {
            writer.begin(200, { { "content-type", "text/event-stream" }, { callHeader, "t1" } });
            writer.write("data: one\n\ndata: ");
            for (std::string part(16 * 1024, 'a');;)
                writer.write(part);
        });
        daemon.store.release();
        RecordingWriter response;
        TimePoint start = daemon.clock.now();
        auto refusal = daemon.serve(response, Milliseconds(5'000));
        BOOST_TEST((daemon.clock.now() - start < Milliseconds(2'500)));
        BOOST_REQUIRE(refusal.has_value());
        BOOST_TEST(refusal->isBrokenOff);
        BOOST_TEST(response.body == "data: one\n\n");
        BOOST_TEST(!response.isEnded);
        BOOST_TEST(daemon.receiveBudget.used() == 0U);
        daemon.stop();
    });
}

// Many endless answers at once stay within one share of the process's memory.
BOOST_AUTO_TEST_CASE(endlessAnswersShareTheReceiveBudget)
{
    testRuntime().run([] {
        auto& daemon = *new Daemon([](ResponseWriter& writer) {
            writer.begin(500, {});
            for (std::string part(16 * 1024, 'a');;)
                writer.write(part);
        });
        daemon.store.release();
        int running = 4;
        std::size_t maxUsed = 0;
        for (int n = running; n > 0; --n) {
            spawnFiber([&] {
                RecordingWriter response;
                auto refusal = daemon.serve(response, Milliseconds(5'000));
                BOOST_TEST(refusal.has_value());
                BOOST_TEST(!response.isStarted);
                --running;
            });
        }
        BOOST_TEST(waitUntil([&] {
            maxUsed = std::max(maxUsed, daemon.receiveBudget.used());
            return running == 0;
        }));
        BOOST_TEST(maxUsed <= daemon.receiveBudget.limit());
        BOOST_TEST(daemon.receiveBudget.used() == 0U);
        daemon.stop();
    });
}

// Such a target would hand out more tokens than the turn has reserved.
BOOST_AUTO_TEST_CASE(turnThatExceedsItsMaximumTokensIsBrokenOff)
{
    testRuntime().run([] {
        auto& daemon = *new Daemon([](ResponseWriter& writer) {
            writer.begin(200, { { "content-type", "text/event-stream" }, { callHeader, "t1" } });
            for (;;)
                writer.write("data: one\n\n");
        });
        daemon.store.release();
        RecordingWriter response;
        constexpr TokenCount maxTokens = 20;
        auto refusal = daemon.serve(response, Milliseconds(5'000), maxTokens);
        BOOST_REQUIRE(refusal.has_value());
        BOOST_TEST(refusal->isBrokenOff);
        BOOST_TEST(refusal->code == "turn-too-long");
        std::string whole;
        for (TokenCount n = 0; n < maxTokens; ++n)
            whole += "data: one\n\n";
        BOOST_TEST(response.body == whole);
        BOOST_TEST(!response.isEnded);
        daemon.stop();
    });
}

BOOST_AUTO_TEST_SUITE_END()
