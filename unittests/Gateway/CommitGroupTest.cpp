#include "basilpoint/Gateway/CommitGroup.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;

namespace {

KeyTransaction write(const std::string& key, std::int64_t revision)
{
    return { { { key, revision } }, { { key, "value" } }, {} };
}

struct Fixture {
    TimePoint now { std::chrono::hours(1) };
    CommitGroupSettings settings;
    CommitGroup group { settings };
};

/// Store model that has only the revisions of keys.
class Store {
public:
    KeyTransactionResult commit(const KeyTransaction& transaction)
    {
        KeyTransactionResult result;
        bool holds = true;
        for (const auto& it : transaction.conditions) {
            auto found = m_revisions.find(it.key);
            std::int64_t revision = found == m_revisions.end() ? 0 : found->second;
            holds = holds && revision == it.revision;
            if (revision != 0)
                result.current.push_back({ it.key, "value", revision });
        }
        if (!holds)
            return result;
        ++m_revision;
        for (const auto& it : transaction.puts)
            m_revisions[it.key] = m_revision;
        return { m_revision, {} };
    }

    std::int64_t revisionOf(const std::string& key) const
    {
        auto it = m_revisions.find(key);
        return it == m_revisions.end() ? 0 : it->second;
    }

private:
    std::map<std::string, std::int64_t> m_revisions;
    std::int64_t m_revision = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CommitGroupTest, Fixture)

// Guards against one rejected value that fails the commits of other daemons.
BOOST_AUTO_TEST_CASE(transactionsOfARejectedCallAreSentOneByOne)
{
    group.submit(write("first", 0));
    group.answered(group.next(now)->number, { 1, {} });
    now += settings.interval;
    std::vector<CommitGroup::Ticket> tickets;
    for (const char* it : { "a", "bad", "c" })
        tickets.push_back(group.submit(write(it, 0)));
    auto merged = group.next(now);
    BOOST_REQUIRE(merged && merged->transaction.puts.size() == 3U);
    BOOST_TEST(!group.rejected(merged->number));
    for (CommitGroup::Ticket it : tickets) {
        auto call = group.next(now);
        BOOST_REQUIRE(call && call->transaction.puts.size() == 1U);
        if (call->transaction.puts.front().key == "bad") {
            BOOST_TEST((group.rejected(call->number) == std::optional(it)));
            continue;
        }
        auto settled = group.answered(call->number, { 2, {} });
        BOOST_REQUIRE(settled.size() == 1U);
        BOOST_TEST((settled.front().first == it));
    }
    BOOST_TEST(group.waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(firstCommitIsSentAtOnceAndLaterOnesShareACall)
{
    group.submit(write("a", 0));
    BOOST_TEST(group.next(now)->transaction.puts.size() == 1U);
    group.submit(write("b", 0));
    group.submit(write("c", 0));
    BOOST_TEST(!group.next(now + settings.interval - Milliseconds(1)));
    BOOST_TEST((*group.nextAt() == now + settings.interval));
    BOOST_TEST(group.next(now + settings.interval)->transaction.puts.size() == 2U);
}

BOOST_AUTO_TEST_CASE(fullCallIsSentAtOnce)
{
    group.submit(write("a", 0));
    group.next(now);
    for (int n = 0; n < 20; ++n)
        group.submit(write("b" + std::to_string(n), 0));
    auto call = group.next(now);
    BOOST_REQUIRE(call);
    BOOST_TEST(call->transaction.entries() == settings.maxEntries);
}

BOOST_AUTO_TEST_CASE(onlyTransactionsWithAFailedConditionAreRefused)
{
    auto good = group.submit(write("a", 0));
    auto bad = group.submit(write("b", 3));
    auto call = group.next(now);
    auto settled = group.answered(call->number, { std::nullopt, { { "b", "other", 5 } } });
    BOOST_REQUIRE(settled.size() == 1U);
    BOOST_TEST(settled.front().first == bad);
    BOOST_TEST(settled.front().second.current.front().modRevision == 5);
    call = group.next(now + settings.interval);
    settled = group.answered(call->number, { 9, {} });
    BOOST_REQUIRE(settled.size() == 1U);
    BOOST_TEST(settled.front().first == good);
    BOOST_TEST(*settled.front().second.revision == 9);
}

BOOST_AUTO_TEST_CASE(writesOfOneKeyNeverShareACall)
{
    group.submit(write("a", 0));
    group.submit(write("a", 0));
    BOOST_TEST(group.next(now)->transaction.puts.size() == 1U);
    BOOST_TEST(group.waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(oneWriteOfAKeyIsInFlightAtATime)
{
    group.submit(write("a", 0));
    auto call = group.next(now);
    group.submit(write("a", 0));
    BOOST_TEST(!group.next(now + settings.interval));
    BOOST_TEST(!group.nextAt());
    group.submit(write("b", 0));
    BOOST_TEST(group.next(now + settings.interval)->transaction.puts.front().key == "b");
    group.answered(call->number, { 9, {} });
    BOOST_TEST(group.next(now + 2 * settings.interval).has_value());
}

BOOST_AUTO_TEST_CASE(outdatedWritesAreRefusedWithoutACall)
{
    auto outdated = group.submit(write("a", 3));
    group.submit(write("b", 3));
    group.submit(write("unknown", 3));
    group.submit({ { { "a", 3 }, { "unknown", 3 } }, {}, {} });
    auto refused = group.refuseOutdated([](const std::string& key) { return key == "unknown" ? std::nullopt : std::optional(KeyValue { key, "value", key == "a" ? 5 : 3 }); });
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused.front().first == outdated);
    BOOST_TEST(!refused.front().second.revision.has_value());
    BOOST_TEST(refused.front().second.current.front().modRevision == 5);
    BOOST_TEST(group.waiting() == 3U);
}

// Simulates sub-agents of one program on five daemons with a slow store: each turn writes the program's account,
// based on the last revision known to its daemon. Each write must take one call, and no call may be refused.
BOOST_AUTO_TEST_CASE(contendedAccountNeedsOneCallPerWrite)
{
    constexpr int daemons = 5;
    constexpr int writesEach = 4;
    constexpr Milliseconds storeTime { 268 };
    Store store;
    KeyValue latest { "a", "value", 0 };
    std::vector<int> left(daemons, writesEach);
    std::vector<std::int64_t> revisions(daemons, 0);
    std::map<CommitGroup::Ticket, int> writers;
    std::multimap<TimePoint, CommitGroup::Call> inFlight;
    int calls = 0;
    int refusedCalls = 0;
    auto submit = [&](int daemon) { writers[group.submit(write("a", revisions[daemon]))] = daemon; };
    auto settle = [&](const auto& settled) {
        for (const auto& [ticket, result] : settled) {
            int daemon = writers.at(ticket);
            revisions[daemon] = result.revision ? *result.revision : result.current.front().modRevision;
            left[daemon] -= result.revision ? 1 : 0;
            if (left[daemon] > 0)
                submit(daemon);
        }
    };
    for (int n = 0; n < daemons; ++n)
        submit(n);
    TimePoint end = now + std::chrono::seconds(20);
    TimePoint at = now;
    for (; at < end && std::any_of(left.begin(), left.end(), [](int n) { return n > 0; }); at += Milliseconds(1)) {
        while (!inFlight.empty() && inFlight.begin()->first <= at) {
            CommitGroup::Call call = inFlight.extract(inFlight.begin()).mapped();
            KeyTransactionResult result = store.commit(call.transaction);
            refusedCalls += result.revision ? 0 : 1;
            if (result.revision)
                latest.modRevision = *result.revision;
            settle(group.answered(call.number, result));
        }
        settle(group.refuseOutdated([&](const std::string&) { return latest.modRevision > 0 ? std::optional(latest) : std::nullopt; }));
        if (auto call = group.next(at)) {
            inFlight.emplace(at + storeTime, *call);
            ++calls;
        }
    }
    BOOST_TEST(refusedCalls == 0);
    BOOST_TEST(calls == daemons * writesEach);
    BOOST_TEST((at - now <= (storeTime + Milliseconds(2)) * daemons * writesEach));
}

BOOST_AUTO_TEST_CASE(outcomesOfTheTransactionsOfALostCallAreUnknown)
{
    auto ticket = group.submit(write("a", 0));
    auto call = group.next(now);
    BOOST_TEST((group.markUnknown(call->number) == std::vector<CommitGroup::Ticket> { ticket }));
    BOOST_TEST(!group.next(now + settings.interval));
}

BOOST_AUTO_TEST_CASE(callsInFlightAreLimited)
{
    for (std::size_t n = 0; n < settings.maxCalls; ++n) {
        group.submit(write("a" + std::to_string(n), 0));
        BOOST_TEST(group.next(now + settings.interval * static_cast<int>(n)).has_value());
    }
    group.submit(write("z", 0));
    BOOST_TEST(!group.next(now + std::chrono::seconds(9)));
    BOOST_TEST(!group.nextAt());
}

// Simulates 7 daemons with 21 turns per second each, for 20 s. Limits both the number of calls and the time that a turn
// waits for its record to be stored.
BOOST_AUTO_TEST_CASE(highLoadNeedsFewCallsWithShortWaits)
{
    constexpr int turnsPerSecond = 147;
    constexpr Milliseconds storeTime { 6 };
    std::map<CommitGroup::Ticket, TimePoint> submitted;
    std::multimap<TimePoint, std::uint64_t> answers;
    Milliseconds longest { 0 };
    std::size_t calls = 0;
    std::size_t done = 0;
    for (int ms = 0; ms < 20'100; ++ms) {
        TimePoint at = now + Milliseconds(ms);
        if (ms < 20'000 && ms * turnsPerSecond / 1'000 != (ms + 1) * turnsPerSecond / 1'000)
            submitted[group.submit({ { { "k" + std::to_string(ms), 0 } }, { { "k" + std::to_string(ms), "" }, { "t" + std::to_string(ms), "" }, { "o" + std::to_string(ms), "" } }, {} })] = at;
        while (!answers.empty() && answers.begin()->first <= at) {
            for (const auto& [ticket, result] : group.answered(answers.begin()->second, { 1, {} })) {
                longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(at - submitted[ticket]));
                ++done;
            }
            answers.erase(answers.begin());
        }
        if (auto call = group.next(at)) {
            answers.emplace(at + storeTime, call->number);
            ++calls;
        }
    }
    BOOST_TEST(done == submitted.size());
    BOOST_TEST(calls * 3 < submitted.size());
    BOOST_TEST(longest.count() <= (settings.interval + storeTime).count() + 1);
}

// A merged transaction has the same effect as a separate one: executed once, or refused because its condition fails.
RC_BOOST_PROP(everyCommitIsSettledOnceWithItsTrueResult, ())
{
    CommitGroup merged { CommitGroupSettings {} };
    Store store;
    std::map<CommitGroup::Ticket, KeyTransaction> open;
    TimePoint at { std::chrono::hours(1) };
    auto steps = *rc::gen::container<std::vector<std::tuple<int, int>>>(rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 6)));
    auto run = [&](bool isLost) {
        auto call = merged.next(at);
        if (!call)
            return;
        KeyTransactionResult result = store.commit(call->transaction);
        if (isLost) {
            for (auto ticket : merged.markUnknown(call->number))
                RC_ASSERT(open.erase(ticket) == 1U);
            return;
        }
        for (const auto& [ticket, settled] : merged.answered(call->number, result)) {
            const KeyTransaction& transaction = open.at(ticket);
            std::int64_t now = store.revisionOf(transaction.conditions.front().key);
            bool isTrue = settled.revision ? now == *settled.revision : now != transaction.conditions.front().revision;
            RC_ASSERT(isTrue);
            open.erase(ticket);
        }
    };
    for (auto [kind, key] : steps) {
        at += Milliseconds(20);
        std::string name = "k" + std::to_string(key);
        if (kind < 6) {
            // Some conditions are outdated.
            KeyTransaction transaction = write(name, kind == 0 ? 999 : store.revisionOf(name));
            open[merged.submit(transaction)] = transaction;
        } else
            run(kind == 9);
    }
    for (int n = 0; n < 200 && !open.empty(); ++n) {
        at += Milliseconds(100);
        run(false);
    }
    RC_ASSERT(open.empty());
}

BOOST_AUTO_TEST_SUITE_END()
