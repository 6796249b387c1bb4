#include "TurnJournalClient.h"
#include "TurnJournalServer.h"

#include "MemoryStore.h"

#include "../Journal/TemporaryFolder.h"
#include "../Net/TestRuntime.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

constexpr Milliseconds callTime { 2'000 };

/// Clock whose time of day can jump.
class SteppedClock final : public Clock {
public:
    TimePoint now() const override { return m_clock.now(); }
    WallTimePoint wallNow() const override { return m_clock.wallNow() + step; }

    std::chrono::seconds step { 0 };

private:
    SystemClock m_clock;
};

/// A keeper's journal and its server in this process. Destroyed and made again on the same folder, it has restarted.
struct TestKeeper {
    TestKeeper(std::string instance, unsigned tolerated, const std::filesystem::path& folder, bool isFirstStart, MemoryStore& memory)
        : name(std::move(instance))
        , log(clock, -1, name)
        , peers(testRuntime().io())
        , store(memory, nullptr, DataCentreId("z"), clock, log, metrics)
        , server(testRuntime().io(), { "127.0.0.1", 0 })
        , relay(server, memory, isFirstStart, clock, log, metrics)
        , journal(testRuntime().io(), server, peers, { name, folder, tolerated, isFirstStart }, store, relay, clock, log)
    {
        server.start();
    }

    RelayAddress address() const { return { name, DataCentreId("z"), server.endpoint(), true }; }

    std::string name;
    SteppedClock clock;
    Metrics metrics;
    JsonLog log;
    HttpClient peers;
    StoreClient store;
    PeerServer server;
    StoreRelay relay;
    TurnJournalServer journal;
};

/// A gateway's side of the journals.
struct TestGateway {
    TestGateway(unsigned tolerated, const KeeperView& view)
        : log(clock, -1, "gateway")
        , peers(testRuntime().io())
        , journal(peers, tolerated, clock, log)
    {
        journal.setView(view);
    }

    TimePoint deadline() const { return clock.now() + callTime; }
    bool append(const std::string& turn, std::uint64_t step)
    {
        AccountChange change;
        change.kind = AccountChange::Kind::Settle;
        change.step = step;
        change.record = TurnRecord { CallId(turn), {}, "in", "out", TargetId("t") };
        return journal.append({ { ProgramId("p"), DaemonLifetime("d"), { change } } }, deadline());
    }
    bool finds(const std::string& turn)
    {
        auto found = journal.find(ProgramId("p"), CallId(turn), deadline());
        return found && !found->empty();
    }

    SystemClock clock;
    JsonLog log;
    HttpClient peers;
    TurnJournalClient journal;
};

/// Never deleted, since fibers use it until the process ends.
struct Deployment {
    explicit Deployment(unsigned tolerance)
        : tolerated(tolerance)
    {
    }

    TestKeeper& start(const std::string& name, bool isFirstStart = true)
    {
        TemporaryFolder& folder = folders[name];
        return *(keepers[name] = std::make_unique<TestKeeper>(name, tolerated, folder.path(), isFirstStart, store));
    }

    /// Starts a keeper, which has answered no calls yet, on an empty disk.
    TestKeeper& startEmpty(const std::string& name)
    {
        keepers.erase(name);
        folders.erase(name);
        return start(name, false);
    }

    std::vector<RelayAddress> addresses(const std::string& names) const
    {
        std::vector<RelayAddress> found;
        for (char it : names)
            found.push_back(keepers.at(std::string(1, it))->address());
        return found;
    }

    TestGateway& gateway(const KeeperView& view) { return *gateways.emplace_back(std::make_unique<TestGateway>(tolerated, view)); }

    /// The keeper no longer answers.
    void stop(const std::string& name) { keepers.at(name)->server.stop(); }

    void end()
    {
        for (auto& [name, keeper] : keepers)
            keeper->server.stop();
    }

    void install(const KeeperView& view, const std::string& names)
    {
        for (char it : names)
            keepers.at(std::string(1, it))->journal.startFrom(view);
    }

    InstanceNames names(const std::string& names) const { return namesOf(addresses(names)); }

    unsigned tolerated;
    MemoryStore store;
    std::map<std::string, TemporaryFolder> folders;
    std::map<std::string, std::unique_ptr<TestKeeper>> keepers;
    std::vector<std::unique_ptr<TestGateway>> gateways;
};

void inFiber(const std::function<void()>& body)
{
    testRuntime().run(body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperQuorumTest)

BOOST_AUTO_TEST_CASE(grantsAreKnownWhereNoMoreKeepersRemainThanMayBeLost)
{
    inFiber([] {
        auto& deployment = *new Deployment(2);
        deployment.start("a");
        deployment.start("b");
        KeeperView view { 7, deployment.addresses("ab") };
        deployment.install(view, "ab");
        TestGateway& gateway = deployment.gateway(view);
        BOOST_TEST(gateway.journal.outstandingPrograms(gateway.deadline()).has_value());
        BOOST_TEST((gateway.journal.outstanding(ProgramId("p"), gateway.deadline()) == std::optional<TokenCount>(0)));
        BOOST_TEST(gateway.journal.find(ProgramId("p"), CallId("t1"), gateway.deadline()).has_value());
        // Two disks could both be lost.
        BOOST_TEST(!gateway.append("t1", 1));
        deployment.end();
    });
}

BOOST_AUTO_TEST_CASE(noKeeperAcknowledgesEntriesUnderAViewThatHasBeenReplaced)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b", "c", "d" })
            deployment.start(it);
        KeeperView old { 1, deployment.addresses("abc") };
        deployment.install(old, "abcd");
        KeeperView joint = beginChange(old, deployment.addresses("bcd"));
        deployment.install(joint, "bcd");
        // Keeper a still accepts the old view, but it is no quorum.
        TestGateway& stale = deployment.gateway(old);
        BOOST_TEST(stale.append("t1", 1));
        for (const char* it : { "a", "b", "c", "d" })
            // Keeper a asks for the view, which the append does not wait for.
            BOOST_TEST(waitUntil([&] { return deployment.keepers[it]->journal.view() == joint; }), "view of " << it);
        TestGateway& current = deployment.gateway(joint);
        BOOST_TEST(current.finds("t1"));
        deployment.end();
    });
}

BOOST_AUTO_TEST_CASE(newMembersHaveTheEntriesOfThoseTheyReplace)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b", "c" })
            deployment.start(it);
        KeeperView old { 1, deployment.addresses("ab") };
        deployment.install(old, "abc");
        TestGateway& gateway = deployment.gateway(old);
        BOOST_REQUIRE(gateway.append("t1", 1));
        KeeperView joint = beginChange(old, deployment.addresses("bc"));
        deployment.install(joint, "abc");
        BOOST_TEST(!deployment.keepers["c"]->journal.isSynchronized());
        BOOST_TEST(deployment.keepers["c"]->journal.transfer(joint, deployment.names("abc"), {}));
        BOOST_TEST(deployment.keepers["c"]->journal.isSynchronized());
        deployment.install(completeChange(joint), "bc");
        deployment.stop("a");
        deployment.stop("b");
        TestGateway& later = deployment.gateway(completeChange(joint));
        BOOST_TEST(later.finds("t1"));
        auto none = later.journal.findInAll(ProgramId("p"), CallId("none"), later.deadline());
        BOOST_TEST((none && none->empty()));
        deployment.end();
    });
}

// A lost disk forgets that older views had been replaced.
BOOST_AUTO_TEST_CASE(keeperThatLostItsDiskAcceptsNothingBeforeItHasReadTheView)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b" })
            deployment.start(it);
        KeeperView view { 3, deployment.addresses("ab") };
        deployment.install(view, "ab");
        TestKeeper& empty = deployment.startEmpty("b");
        view.members = deployment.addresses("ab");
        TestGateway& gateway = deployment.gateway(view);
        BOOST_TEST(!gateway.append("t1", 1));
        BOOST_TEST(empty.journal.view().version == 0U);
        empty.journal.startFrom(view);
        pause(Milliseconds(1'100));
        BOOST_TEST(gateway.append("t2", 2));
        deployment.end();
    });
}

BOOST_AUTO_TEST_CASE(installedViewSurvivesARestart)
{
    inFiber([] {
        auto& deployment = *new Deployment(0);
        KeeperView view { 5, deployment.start("a").journal.view().members };
        view.members = deployment.addresses("a");
        deployment.install(view, "a");
        deployment.keepers.erase("a");
        BOOST_TEST((deployment.start("a", false).journal.view() == view));
        BOOST_TEST(deployment.keepers["a"]->journal.isSynchronized());
        deployment.end();
    });
}

BOOST_AUTO_TEST_CASE(turnsAreStoredBeforeFewerKeepersRemainThanKeepThemSafe)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b" })
            deployment.start(it);
        KeeperView old { 1, deployment.addresses("ab") };
        deployment.install(old, "ab");
        TestGateway& gateway = deployment.gateway(old);
        BOOST_REQUIRE(gateway.append("t1", 1));
        KeeperView joint = beginChange(old, deployment.addresses("b"));
        deployment.install(joint, "ab");
        BOOST_TEST(!deployment.keepers["a"]->journal.transfer(joint, deployment.names("ab"), {}));
        gateway.journal.drop(ProgramId("p"), { DaemonLifetime("d"), 1 });
        pause(Milliseconds(300));
        BOOST_TEST(deployment.keepers["a"]->journal.transfer(joint, deployment.names("ab"), {}));
        deployment.end();
    });
}

// A grant that too few keepers have is not taken, so its tokens remain available to the program's later turns.
BOOST_AUTO_TEST_CASE(grantThatTooFewKeepersHaveDoesNotLockItsProgramOut)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b" })
            deployment.start(it);
        KeeperView view { 1, deployment.addresses("ab") };
        deployment.install(view, "ab");
        deployment.stop("b");
        TestGateway& gateway = deployment.gateway(view);
        WallTimePoint keepUntil = gateway.clock.wallNow() + std::chrono::minutes(1);
        BOOST_TEST(!gateway.journal.grant({ ProgramId("p"), DaemonLifetime("d"), 1, 20, 20, keepUntil }, gateway.deadline(), [] { return TokenCount(20); }));
        BOOST_TEST(waitUntil([&] { return gateway.journal.outstanding(ProgramId("p"), gateway.deadline()) == std::optional<TokenCount>(0); }));
        BOOST_TEST(gateway.journal.outstandingPrograms(gateway.deadline())->empty());
        deployment.end();
    });
}

// A keeper that stores a turn removes it from its own journal only.
BOOST_AUTO_TEST_CASE(leavingKeeperIsNotHeldBackByTurnsThatAnotherKeeperHasStored)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b" })
            deployment.start(it);
        KeeperView old { 1, deployment.addresses("ab") };
        deployment.install(old, "ab");
        TestGateway& gateway = deployment.gateway(old);
        BOOST_REQUIRE(gateway.append("t1", 1));
        KeeperView joint = beginChange(old, deployment.addresses("a"));
        deployment.install(joint, "ab");
        TurnJournalServer& leaving = deployment.keepers["b"]->journal;
        BOOST_TEST(waitUntil([&] {
            for (const char* it : { "a", "b" })
                deployment.keepers[it]->journal.work();
            return leaving.transfer(joint, deployment.names("ab"), {});
        }));
        deployment.end();
    });
}

// The account includes the tokens already, so a keeper that charged the grant later would count them twice.
BOOST_AUTO_TEST_CASE(grantIsSettledWhileTooFewKeepersRemainToTakeNewOnes)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b" })
            deployment.start(it);
        KeeperView old { 1, deployment.addresses("ab") };
        deployment.install(old, "ab");
        TestGateway& gateway = deployment.gateway(old);
        WallTimePoint keepUntil = gateway.clock.wallNow() + std::chrono::minutes(1);
        BOOST_REQUIRE(gateway.journal.grant({ ProgramId("p"), DaemonLifetime("d"), 1, 20, 20, keepUntil }, gateway.deadline(), [] { return TokenCount(20); }));
        KeeperView joint = beginChange(old, deployment.addresses("a"));
        deployment.install(joint, "ab");
        gateway.journal.setView(joint);
        gateway.journal.grantStored(ProgramId("p"), DaemonLifetime("d"), 1, keepUntil);
        BOOST_TEST(waitUntil([&] { return gateway.journal.outstanding(ProgramId("p"), gateway.deadline()) == std::optional<TokenCount>(0); }));
        deployment.end();
    });
}

// The time of day jumps on some instances. A keeper whose clock had jumped forward dropped grants that accounts did not
// include, so that the program's budget could be exceeded by them.
BOOST_AUTO_TEST_CASE(grantsOutliveJumpsOfTheTimeOfDay)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b", "c" })
            deployment.start(it);
        KeeperView view { 1, deployment.addresses("abc") };
        deployment.install(view, "abc");
        TestGateway& gateway = deployment.gateway(view);
        WallTimePoint keepUntil = gateway.clock.wallNow() + std::chrono::minutes(1);
        BOOST_REQUIRE(gateway.journal.grant({ ProgramId("p"), DaemonLifetime("d"), 1, 20, 20, keepUntil }, gateway.deadline(), [] { return TokenCount(20); }));
        for (int step : { 3'600, -3'600 }) {
            for (auto& [name, keeper] : deployment.keepers) {
                keeper->clock.step = std::chrono::seconds(step);
                keeper->journal.work();
            }
            BOOST_TEST((gateway.journal.outstanding(ProgramId("p"), gateway.deadline()) == std::optional<TokenCount>(20)));
        }
        deployment.end();
    });
}

// A grant is taken in one round of calls, whose answers show the grants of others that were taken before.
BOOST_AUTO_TEST_CASE(grantsTogetherStayWithinTheAllowance)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b", "c" })
            deployment.start(it);
        KeeperView view { 1, deployment.addresses("abc") };
        deployment.install(view, "abc");
        TestGateway& gateway = deployment.gateway(view);
        WallTimePoint keepUntil = gateway.clock.wallNow() + std::chrono::minutes(1);
        auto request = [&](const char* daemon, TokenCount minTokens) { return TurnJournalClient::GrantRequest { ProgramId("p"), DaemonLifetime(daemon), 1, 20, minTokens, keepUntil }; };
        auto take = [&](const char* daemon, TokenCount minTokens) { return gateway.journal.grant(request(daemon, minTokens), gateway.deadline(), [] { return TokenCount(50); }); };
        BOOST_TEST((take("d1", 20) == std::optional<TokenCount>(20)));
        BOOST_TEST((take("d2", 20) == std::optional<TokenCount>(20)));
        // The rest is less than a whole turn.
        BOOST_TEST(!take("d3", 15).has_value());
        BOOST_TEST(waitUntil([&] { return gateway.journal.outstanding(ProgramId("p"), gateway.deadline()) == std::optional<TokenCount>(40); }));
        BOOST_TEST((take("d4", 5) == std::optional<TokenCount>(10)));
        BOOST_TEST(!take("d5", 5).has_value());
        deployment.end();
    });
}

// A daemon that uses the reserve of an account must know all grants taken from it, and no more may be taken.
BOOST_AUTO_TEST_CASE(closedReserveEndsGrantsBeyondOneTurn)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b", "c" })
            deployment.start(it);
        KeeperView view { 1, deployment.addresses("abc") };
        deployment.install(view, "abc");
        TestGateway& gateway = deployment.gateway(view);
        WallTimePoint keepUntil = gateway.clock.wallNow() + std::chrono::minutes(1);
        auto take = [&](const char* daemon) { return gateway.journal.grant({ ProgramId("p"), DaemonLifetime(daemon), 1, 20, 20, keepUntil }, gateway.deadline(), [] { return TokenCount(100); }); };
        BOOST_TEST(take("d1").has_value());
        BOOST_TEST(take("d2").has_value());
        BOOST_TEST((gateway.journal.closeReserve(ProgramId("p"), DaemonLifetime("d3"), 1, keepUntil, gateway.deadline()) == std::optional<TokenCount>(40)));
        BOOST_TEST(!take("d4").has_value());
        // Too few keepers to be certain.
        deployment.stop("a");
        deployment.stop("b");
        BOOST_TEST(!gateway.journal.closeReserve(ProgramId("p"), DaemonLifetime("d5"), 1, keepUntil, gateway.deadline()).has_value());
        deployment.end();
    });
}

// Grants for turns of one program that run at the same time.
BOOST_AUTO_TEST_CASE(concurrentGrantsStayWithinTheAllowance)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        for (const char* it : { "a", "b", "c" })
            deployment.start(it);
        KeeperView view { 1, deployment.addresses("abc") };
        deployment.install(view, "abc");
        TokenCount total = 0;
        int pending = 8;
        for (int n = 0; n < 8; ++n) {
            TestGateway& gateway = deployment.gateway(view);
            spawnFiber([&, n] {
                WallTimePoint keepUntil = gateway.clock.wallNow() + std::chrono::minutes(1);
                total += gateway.journal.grant({ ProgramId("p"), DaemonLifetime("d" + std::to_string(n)), 1, 20, 5, keepUntil }, gateway.deadline(), [] { return TokenCount(50); }).value_or(0);
                --pending;
            });
        }
        BOOST_TEST(waitUntil([&] { return pending == 0; }));
        BOOST_TEST(total <= 50U);
        deployment.end();
    });
}

// The entries of a program are kept by as many keepers as quorums need, however many there are.
BOOST_AUTO_TEST_CASE(entriesGoToTheCommitteeOfTheirProgram)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        std::string all = "abcdefgh";
        for (char it : all)
            deployment.start(std::string(1, it));
        KeeperView view { 1, deployment.addresses(all) };
        deployment.install(view, all);
        TestGateway& gateway = deployment.gateway(view);
        BOOST_REQUIRE(gateway.append("t1", 1));
        std::vector<RelayAddress> committee = view.committeeOf(ProgramId("p"), 1).members;
        BOOST_TEST(committee.size() == 3U);
        for (const RelayAddress& it : view.members)
            if (!namesOf(committee).contains(it.instance))
                deployment.stop(it.instance);
        BOOST_TEST(gateway.finds("t1"));
        // That no program has a turn is certain only if all committees say so.
        BOOST_TEST(!gateway.journal.findInAll(ProgramId("p"), CallId("none"), gateway.deadline()).has_value());
        deployment.end();
    });
}

BOOST_AUTO_TEST_CASE(turnOfAnotherProgramIsFoundInItsCommittee)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        std::string all = "abcdefgh";
        for (char it : all)
            deployment.start(std::string(1, it));
        KeeperView view { 1, deployment.addresses(all) };
        deployment.install(view, all);
        TestGateway& gateway = deployment.gateway(view);
        BOOST_REQUIRE(gateway.append("t1", 1));
        for (int n = 0; n < 20; ++n) {
            auto found = gateway.journal.findInAll(ProgramId("other-" + std::to_string(n)), CallId("t1"), gateway.deadline());
            BOOST_TEST((found && !found->empty()));
        }
        auto none = gateway.journal.findInAll(ProgramId("p"), CallId("none"), gateway.deadline());
        BOOST_TEST((none && none->empty()));
        deployment.end();
    });
}

// After a change of the view, keepers have the entries of the programs that they now keep, and no others: the end of a
// grant would not reach a keeper that kept it before.
BOOST_AUTO_TEST_CASE(changeOfTheViewMovesEntriesBetweenCommittees)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        std::string all = "abcdefgh";
        for (char it : all)
            deployment.start(std::string(1, it));
        KeeperView old { 1, deployment.addresses("abcdefg") };
        deployment.install(old, all);
        TestGateway& gateway = deployment.gateway(old);
        BOOST_REQUIRE(gateway.append("t1", 1));
        std::string leaving = old.committeeOf(ProgramId("p"), 1).members.front().instance;
        std::string remaining = all;
        std::erase(remaining, leaving.front());
        KeeperView joint = beginChange(old, deployment.addresses(remaining));
        BOOST_TEST(joint.movesEntriesOf(ProgramId("p"), 1));
        deployment.install(joint, all);
        BOOST_REQUIRE(deployment.keepers["h"]->journal.transfer(joint, deployment.names(all), {}));
        KeeperView next = completeChange(joint);
        deployment.install(next, all);
        std::vector<RelayAddress> committee = next.committeeOf(ProgramId("p"), 1).members;
        for (const RelayAddress& it : committee) {
            // Each of them has the entry, so any one may be lost.
            auto found = deployment.keepers[it.instance]->journal.entries();
            BOOST_TEST(found == 1U, it.instance);
        }
        for (char it : all)
            if (!namesOf(committee).contains(std::string(1, it)))
                BOOST_TEST(deployment.keepers[std::string(1, it)]->journal.entries() == 0U, it);
        deployment.end();
    });
}

// A keeper that lost its disk reads what it keeps from the others, not all that they have.
BOOST_AUTO_TEST_CASE(emptiedKeeperReadsTheEntriesThatItKeeps)
{
    inFiber([] {
        auto& deployment = *new Deployment(1);
        std::string all = "abcdefgh";
        for (char it : all)
            deployment.start(std::string(1, it));
        KeeperView view { 1, deployment.addresses(all) };
        deployment.install(view, all);
        TestGateway& gateway = deployment.gateway(view);
        BOOST_REQUIRE(gateway.append("t1", 1));
        std::string member = view.committeeOf(ProgramId("p"), 1).members.front().instance;
        TestKeeper& empty = deployment.startEmpty(member);
        KeeperView moved { 2, deployment.addresses(all) };
        deployment.install(moved, all);
        BOOST_TEST(waitUntil([&] {
            empty.journal.work();
            return empty.journal.isSynchronized();
        }));
        BOOST_TEST(empty.journal.entries() == 1U);
        deployment.end();
    });
}

// A call to the store holds 32 entries; an entry with more turns could never be stored.
BOOST_AUTO_TEST_CASE(entryWithManyTurnsIsStoredInSeveralCalls)
{
    inFiber([] {
        auto& deployment = *new Deployment(0);
        TestKeeper& keeper = deployment.start("a");
        KeeperView view { 1, deployment.addresses("a") };
        deployment.install(view, "a");
        TestGateway& gateway = deployment.gateway(view);
        constexpr std::uint64_t turns = 40;
        JournalEntry entry { ProgramId("p"), DaemonLifetime("d"), {} };
        for (std::uint64_t step = 1; step <= turns; ++step) {
            AccountChange change;
            change.kind = AccountChange::Kind::Settle;
            change.step = step;
            change.record = TurnRecord { CallId("t" + std::to_string(step)), {}, "in", "out", TargetId("t") };
            entry.changes.push_back(change);
        }
        BOOST_REQUIRE(gateway.journal.append({ entry }, gateway.deadline()));
        auto isStored = [&](std::uint64_t step) { return deployment.store.get(TurnLedger::turnKey(ProgramId("p"), CallId("t" + std::to_string(step)))).has_value(); };
        BOOST_TEST(waitUntil([&] {
            keeper.journal.work();
            return isStored(turns);
        }));
        for (std::uint64_t step = 1; step <= turns; ++step)
            BOOST_TEST(isStored(step));
        BOOST_TEST(deployment.store.largest <= 32U);
        BOOST_TEST(waitUntil([&] {
            keeper.journal.work();
            return keeper.journal.entries() == 0;
        }));
        deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
