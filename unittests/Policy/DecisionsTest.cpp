#include "basilpoint/Policy/CacheRetention.h"
#include "basilpoint/Policy/CallQueue.h"
#include "basilpoint/Policy/ConcurrencyLimit.h"
#include "basilpoint/Policy/FairShares.h"
#include "basilpoint/Policy/LoadEstimate.h"
#include "basilpoint/Policy/OutlierEjection.h"
#include "basilpoint/Policy/Quarantine.h"
#include "basilpoint/Policy/RefusalBackoff.h"
#include "basilpoint/Policy/ReplicaSet.h"
#include "basilpoint/Policy/RetryBudget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;
using namespace std::chrono_literals;

static constexpr TimePoint start { std::chrono::hours(1) };

static std::vector<std::uint64_t> orderOf(CallQueue& queue, TimePoint now)
{
    std::vector<std::uint64_t> order;
    queue.visit(now, 100, [&](CallId id) {
        order.push_back(id.value());
        return Visit::Take;
    });
    return order;
}

BOOST_AUTO_TEST_SUITE(DecisionsTest)

BOOST_AUTO_TEST_CASE(queueOrdersByAgeThenDeadlineThenLevel)
{
    CallQueue queue(10s, 5s);
    queue.push({ CallId(1), true, 7, 0, start, {} });
    queue.push({ CallId(2), true, 0, 0, start + 9s, {} });
    queue.push({ CallId(3), true, 3, 0, start + 9s, start + 14s });
    queue.push({ CallId(4), true, 0, -1, start + 9s, start + 60s });
    BOOST_TEST((orderOf(queue, start + 10s) == std::vector<std::uint64_t> { 1, 3, 4, 2 }));
}

RC_BOOST_PROP(nonIdempotentCallIsNeverRetriedAndRetriesStayInBudget, (const std::vector<bool>& successes))
{
    RetryBudget budget({}, 1);
    std::size_t retries = 0;
    std::size_t succeeded = 0;
    for (bool success : successes) {
        if (success) {
            budget.succeeded();
            ++succeeded;
        }
        RC_ASSERT(!budget.retryAfter({ false, 1, {}, 0ms }, start));
        retries += budget.retryAfter({ true, 1, {}, 0ms }, start) ? 1 : 0;
    }
    // The initial balance is 10 retries, and each success adds a tenth of one.
    RC_ASSERT(10 * retries <= 100 + succeeded);
}

BOOST_AUTO_TEST_CASE(retryStaysWithinDeadlineAndAttempts)
{
    RetryBudget budget({}, 1);
    BOOST_TEST(!budget.retryAfter({ true, 1, start + 50ms, 100ms }, start));
    BOOST_TEST(!budget.retryAfter({ true, 3, {}, 0ms }, start));
    BOOST_TEST(budget.retryAfter({ true, 1, start + 10s, 100ms }, start).has_value());
}

RC_BOOST_PROP(ejectionNeverTakesAllTargets, ())
{
    OutlierEjection ejection({});
    auto total = *rc::gen::inRange<std::size_t>(1, 6);
    std::set<TargetId> ejected;
    TimePoint now = start;
    for (unsigned n : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 60U))) {
        TargetId target(std::to_string(n % total));
        if (ejection.failed(target, ejected.size(), total, now))
            ejected.insert(target);
        now += std::chrono::milliseconds(n);
        for (const TargetId& back : ejection.endExpiredEjections(now))
            ejected.erase(back);
        RC_ASSERT(ejected.size() < total);
        RC_ASSERT(2 * ejected.size() <= total);
    }
    RC_ASSERT(ejection.endExpiredEjections(now + 60s).size() == ejected.size());
}

BOOST_AUTO_TEST_CASE(reportIsReducedByTheOwnCallsAtItsMeasurement)
{
    LoadEstimate load;
    for (int n = 0; n < 5; ++n)
        load.ownStarted(start);
    for (int n = 0; n < 3; ++n)
        load.ownEnded(start + 2s);
    load.reported(7, start + 1s);
    BOOST_TEST(load.others() == 2U);
    load.reported(100, start);
    BOOST_TEST(load.total() == 4U);
    load.expire(start + 10s, 5s);
    BOOST_TEST(load.total() == 2U);
}

BOOST_AUTO_TEST_CASE(limitFallsWhenTheEngineQueuesAndRecovers)
{
    ConcurrencyLimit limit(32);
    limit.reported(10, 1);
    BOOST_TEST(limit.value() == 32U);
    limit.reported(10, 6);
    limit.reported(10, 6);
    BOOST_TEST(limit.value() == 10U);
    for (unsigned n = 0; n < 40; ++n)
        limit.reported(limit.value(), 0);
    BOOST_TEST(limit.value() == 32U);
}

BOOST_AUTO_TEST_CASE(cacheIsRetainedForShortPausesAndReleasedForLongOnes)
{
    CacheRetention retention(300s);
    TimePoint now = start;
    for (int n = 0; n < 200; ++n) {
        ProgramId program(std::to_string(n));
        retention.pauseStarted(program, n % 2 ? "statement-lookup" : "approval", now);
        now += n % 2 ? 500ms : 290s;
        retention.pauseEnded(program, now);
    }
    Milliseconds brief = retention.retentionTime("statement-lookup", 0.7, 0.3, 1);
    BOOST_TEST((brief >= 500ms && brief < 30s));
    BOOST_TEST((retention.retentionTime("approval", 0.5, 0.5, 1) < 1s));
    BOOST_TEST((retention.retentionTime("approval", 0.7, 0.3, 0.2) > 200s));
}

BOOST_AUTO_TEST_CASE(callsBeyondAnOperatorsShareFollowOtherOperators)
{
    FairShares shares;
    double last = 0;
    for (int n = 0; n < 1'000; ++n)
        last = shares.addCall(OperatorId("flood"), 5'000).startTag;
    FairShares::QueuePosition quiet = shares.addCall(OperatorId("quiet"), 5'000);
    BOOST_TEST(quiet.startTag < last);
    BOOST_TEST(quiet.penalty == 0U);
    BOOST_TEST(shares.addCall(OperatorId("flood"), 5'000).penalty > 0U);
}

BOOST_AUTO_TEST_CASE(retryAfterDoublesPerProgramAndExpires)
{
    RefusalBackoff backoff;
    ProgramId program("p");
    BOOST_TEST((backoff.refused(program, 2s, start) == 2s));
    BOOST_TEST((backoff.refused(program, 2s, start + 2s) == 4s));
    BOOST_TEST(backoff.isEarly(program, start + 5s));
    BOOST_TEST(!backoff.isEarly(program, start + 6s));
    BOOST_TEST((backoff.refused(ProgramId("q"), 2s, start) == 2s));
    backoff.sweep(start + 10min);
    BOOST_TEST(backoff.size() == 0U);
}

BOOST_AUTO_TEST_CASE(copiesAreLimitedUntilOneSucceeds)
{
    Quarantine quarantine;
    ManualClock clock;
    const Digest greeting = digestOf("good morning");
    quarantine.dispatched(greeting);
    quarantine.dispatched(greeting);
    BOOST_TEST(!quarantine.mayDispatch(greeting));
    quarantine.ended(greeting, true, clock.now());
    for (unsigned n = 0; n < 10; ++n) {
        BOOST_TEST(quarantine.mayDispatch(greeting));
        quarantine.dispatched(greeting);
    }
    quarantine.crashed(greeting, ReplicaIndex(1), clock.now(), clock.now());
    BOOST_TEST(!quarantine.mayDispatch(greeting));
}

BOOST_AUTO_TEST_CASE(copiesLostWithOneReplicaCountAsOneCrash)
{
    Quarantine quarantine;
    Digest content { 1, 1 };
    quarantine.dispatched(content);
    quarantine.dispatched(content);
    BOOST_TEST(!quarantine.mayDispatch(content));
    BOOST_TEST((quarantine.crashed(content, 0, start, start) == Quarantine::Status::Suspect));
    BOOST_TEST((quarantine.crashed(content, 0, start, start) == Quarantine::Status::Suspect));
    BOOST_TEST((quarantine.crashed(content, 1, start, start) == Quarantine::Status::Quarantined));
}

BOOST_AUTO_TEST_CASE(requestLostWithTheCrashingOneIsClearedWhenThatIsQuarantined)
{
    QuarantineSettings settings;
    settings.crashes = 3;
    Quarantine quarantine(settings);
    Digest crashing { 1, 1 };
    Digest sound { 2, 2 };
    for (LifetimeId replica : { 1, 2 }) {
        BOOST_TEST((quarantine.suspect(crashing, replica, start) == Quarantine::Status::Suspect));
        BOOST_TEST((quarantine.suspect(sound, replica, start) == Quarantine::Status::Suspect));
    }
    // Reported by several gateways.
    BOOST_TEST((quarantine.suspect(crashing, 2, start) == Quarantine::Status::Suspect));
    BOOST_TEST((quarantine.suspect(crashing, 3, start) == Quarantine::Status::Quarantined));
    BOOST_TEST((quarantine.statusOf(sound) == Quarantine::Status::Clear));
    BOOST_TEST((quarantine.suspect(sound, 3, start) == Quarantine::Status::Clear));
    BOOST_TEST((quarantine.suspect(sound, 4, start) == Quarantine::Status::Suspect));
    BOOST_TEST(quarantine.crashesOf(sound).size() == 1U);
    quarantine.withdraw(sound, 4);
    BOOST_TEST((quarantine.statusOf(sound) == Quarantine::Status::Clear));
}

BOOST_AUTO_TEST_CASE(answeredRequestNeedsAllCrashesAgainAndOneMoreToBeQuarantined)
{
    QuarantineSettings settings;
    settings.crashes = 2;
    settings.sparesKnownGood = true;
    Quarantine quarantine(settings);
    Digest content { 1, 1 };
    quarantine.suspect(content, 1, start);
    quarantine.dispatched(content);
    quarantine.ended(content, true, start);
    BOOST_TEST((quarantine.suspect(content, 2, start) == Quarantine::Status::Clear));
    BOOST_TEST((quarantine.suspect(content, 3, start) == Quarantine::Status::Suspect));
    BOOST_TEST((quarantine.suspect(content, 4, start) == Quarantine::Status::Quarantined));
}

BOOST_AUTO_TEST_CASE(anyNumberOfDistinctSuspectsTakesABoundedNumberOfEntries)
{
    QuarantineSettings settings;
    settings.crashes = 3;
    settings.maxSuspects = 100;
    Quarantine quarantine(settings);
    Digest crashing { 1, 1 };
    quarantine.suspect(crashing, 1, start);
    quarantine.suspect(crashing, 2, start);
    for (std::uint64_t n = 0; n < 1'000; ++n)
        quarantine.suspect({ 2, n }, 2, start);
    std::size_t suspects = 0;
    for (std::uint64_t n = 0; n < 1'000; ++n)
        suspects += quarantine.statusOf({ 2, n }) == Quarantine::Status::Suspect ? 1 : 0;
    BOOST_TEST(suspects == 99U);
    // The one with the most crashes is kept.
    BOOST_TEST((quarantine.suspect(crashing, 3, start) == Quarantine::Status::Quarantined));
}

BOOST_AUTO_TEST_SUITE_END()
