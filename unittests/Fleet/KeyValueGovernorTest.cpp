#include "basilpoint/Fleet/KeyValueGovernor.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace basilpoint;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(KeyValueGovernorTest)

BOOST_AUTO_TEST_CASE(limitsTheRateSharesReadsAndAdmitsOneTrialCallWhileOpen)
{
    BOOST_TEST(rc::check("rate, sharing, breaker", [] {
        KeyValueGovernorSettings settings;
        KeyValueGovernor governor(settings, *rc::gen::arbitrary<std::uint64_t>());
        TimePoint now(1h);
        auto members = *rc::gen::inRange<std::size_t>(50, 400);
        governor.setMembers(members, now);
        double rate = settings.fleetCallsPerSecond / static_cast<double>(members);
        double burst = std::max(rate, settings.minBurst);
        std::deque<TimePoint> made;
        std::vector<std::pair<KeyValueCallKind, std::string>> inFlight;
        unsigned failuresInARow = 0;
        for (int n = *rc::gen::inRange(0, 400); n > 0; --n) {
            now += Milliseconds(*rc::gen::inRange(0, 200));
            if (*rc::gen::inRange(0, 3) > 0) {
                auto kind = static_cast<KeyValueCallKind>(*rc::gen::inRange(0, 4));
                std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
                bool readInFlight = std::count(inFlight.begin(), inFlight.end(), std::pair(KeyValueCallKind::Read, key)) > 0;
                bool wasOpen = governor.isBreakerOpen();
                auto decision = governor.admit(kind, key, now);
                RC_ASSERT(std::holds_alternative<ShareAnswer>(decision) == (kind == KeyValueCallKind::Read && readInFlight));
                if (const auto* refused = std::get_if<RefuseCall>(&decision))
                    RC_ASSERT(refused->retryAfter > 0ms);
                if (!std::holds_alternative<MakeCall>(decision))
                    continue;
                RC_ASSERT((!wasOpen || std::holds_alternative<RefuseCall>(governor.admit(KeyValueCallKind::Write, "other", now))));
                made.push_back(now);
                inFlight.emplace_back(kind, key);
            } else if (!inFlight.empty()) {
                auto [kind, key] = inFlight.back();
                inFlight.pop_back();
                bool answered = *rc::gen::inRange(0, 3) == 0;
                failuresInARow = answered ? 0 : failuresInARow + 1;
                governor.finished(kind, key, answered, now);
                RC_ASSERT(governor.isBreakerOpen() == (failuresInARow >= settings.breakerFailures));
            }
            for (std::size_t from = 0; from < made.size(); ++from) {
                std::chrono::duration<double> window = now - made[from];
                RC_ASSERT(static_cast<double>(made.size() - from) <= burst + window.count() * rate + 1e-6);
            }
        }
    }));
}

BOOST_AUTO_TEST_CASE(leaseRenewalIsAdmittedWhenOtherCallsHaveUsedTheBurst)
{
    KeyValueGovernor governor({}, 1);
    TimePoint now(1h);
    governor.setMembers(300, now);
    while (std::holds_alternative<MakeCall>(governor.admit(KeyValueCallKind::Write, "k", now))) { }
    BOOST_TEST((governor.admit(KeyValueCallKind::LeaseRenewal, "lease", now) == KeyValueDecision(MakeCall {})));
    auto slow = std::get<RefuseCall>(governor.admit(KeyValueCallKind::Write, "k", now));
    governor.setMembers(30, now);
    auto fast = std::get<RefuseCall>(governor.admit(KeyValueCallKind::Write, "k", now));
    BOOST_TEST((slow.retryAfter == 1'000ms && fast.retryAfter == 100ms));
}

BOOST_AUTO_TEST_CASE(backoffsOfDaemonsThatFailTogetherDifferAndStayBounded)
{
    std::set<Milliseconds> pauses;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        KeyValueGovernor governor({}, seed);
        TimePoint now(1h);
        for (int n = 0; n < 30; ++n)
            governor.finished(KeyValueCallKind::Write, "k", false, now);
        auto decision = std::get<RefuseCall>(governor.admit(KeyValueCallKind::Write, "k", now));
        BOOST_TEST((decision.retryAfter <= KeyValueGovernorSettings {}.maxBackoff));
        pauses.insert(decision.retryAfter);
    }
    BOOST_TEST(pauses.size() > 10U);
}

BOOST_AUTO_TEST_SUITE_END()
