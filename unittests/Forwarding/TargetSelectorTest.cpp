#include "basilpoint/Forwarding/TargetSelector.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace basilpoint;

namespace {

struct Fixture {
    Fixture()
    {
        for (int n = 0; n < 4; ++n)
            targets.push_back({ TargetId(std::to_string(n)), ServiceId("pool"), { "10.0.0.1", 80 }, DataCentreId(n < 2 ? "near" : "far"), 1, 4, false, Milliseconds(0) });
        for (const Registration& it : targets)
            candidates.push_back(&it);
        query.dataCentre = DataCentreId("near");
    }

    const Registration* choose() { return selector.choose(candidates, query, now); }

    TimePoint now { std::chrono::hours(1) };
    std::vector<Registration> targets;
    std::vector<const Registration*> candidates;
    TargetQuery query;
    TargetSelector selector { 7 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetSelectorTest, Fixture)

BOOST_AUTO_TEST_CASE(spreadsCallsOverNearTargetsBeforeFarOnes)
{
    std::map<std::string, int> chosen;
    for (int n = 0; n < 2; ++n) {
        const Registration* target = choose();
        selector.sent(target->id);
        ++chosen[target->dataCentre.text()];
    }
    BOOST_TEST(chosen["near"] == 2);
    BOOST_TEST(selector.inFlight(TargetId("0")) == 1U);
    BOOST_TEST(selector.inFlight(TargetId("1")) == 1U);
}

BOOST_AUTO_TEST_CASE(goesFarOnceTheNearOnesAreLoaded)
{
    for (const char* id : { "0", "1" })
        for (int n = 0; n < 3; ++n)
            selector.sent(TargetId(id));
    BOOST_TEST(choose()->dataCentre.text() == "far");
}

BOOST_AUTO_TEST_CASE(keepsALineWithTheHolderOfItsPrompt)
{
    query.cacheHolder = TargetId("3");
    query.cachedTokens = 4'000;
    BOOST_TEST(choose()->id.text() == "3");
}

BOOST_AUTO_TEST_CASE(leavesTheHolderOnceItsPlacesAreTaken)
{
    query.cacheHolder = TargetId("1");
    query.cachedTokens = 1'000;
    for (int n = 0; n < 6; ++n)
        selector.sent(TargetId("1"));
    BOOST_TEST(choose()->id.text() == "0");
}

BOOST_AUTO_TEST_CASE(avoidsTargetsThatFailedUntilTheirSuspensionEnds)
{
    selector.sent(TargetId("0"));
    selector.ended(TargetId("0"), TargetOutcome::Failed, now);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(choose()->id.text() != "0");
    // With all others tried, a suspended target is better than none.
    query.tried = { TargetId("1"), TargetId("2"), TargetId("3") };
    BOOST_TEST(choose()->id.text() == "0");
    query.tried.insert(TargetId("0"));
    BOOST_TEST(!choose());
}

BOOST_AUTO_TEST_CASE(abandonedCallSaysNothingOfItsTarget)
{
    selector.sent(TargetId("0"));
    selector.sent(TargetId("1"));
    selector.ended(TargetId("0"), TargetOutcome::Abandoned, now);
    BOOST_TEST(choose()->id.text() == "0");
    BOOST_TEST(selector.inFlight(TargetId("0")) == 0U);
}

namespace {

/// Several daemons before the same targets, of which one turns slow for some time. Calls of a program mostly go back
/// to the target that holds its prompt.
class SlowTargetPlay {
public:
    static constexpr int daemons = 7;
    static constexpr int targets = 8;
    static constexpr double usualMilliseconds = 250;

    SlowTargetPlay(int slowTarget, double factor)
        : m_slowTarget(slowTarget)
        , m_factor(factor)
    {
        for (int n = 0; n < daemons; ++n)
            m_selectors.emplace_back(n + 1);
        for (int n = 0; n < targets; ++n)
            m_targets.push_back({ TargetId("t" + std::to_string(n)), ServiceId("s"), {}, DataCentreId("a"), 1, 16, false, Milliseconds(0) });
    }

    /// Lets each daemon send 20 calls a second. \returns the calls at each target.
    std::vector<int> run(Milliseconds length, bool isSlow, bool learns)
    {
        std::vector<int> counts(targets, 0);
        TimePoint end = m_now + length;
        for (int call = 0; m_now < end; m_now += Milliseconds(50), ++call) {
            finish(learns);
            for (int n = 0; n < daemons; ++n)
                send(n, call, isSlow, counts);
        }
        return counts;
    }

    int lateCalls = 0;

private:
    struct Call {
        int daemon;
        int target;
        double milliseconds;
        bool isOver;
    };

    void send(int daemon, int call, bool isSlow, std::vector<int>& counts)
    {
        std::vector<const Registration*> candidates;
        for (const Registration& it : m_targets)
            candidates.push_back(&it);
        TargetQuery query;
        query.service = ServiceId("s");
        query.kind = "turns";
        query.dataCentre = DataCentreId("a");
        // Each line of turns has been at one of the targets before.
        query.cacheHolder = m_targets[static_cast<std::size_t>((call * daemons + daemon) % targets)].id;
        query.cachedTokens = 1'500;
        const Registration* chosen = m_selectors[static_cast<std::size_t>(daemon)].choose(candidates, query, m_now);
        auto target = static_cast<int>(chosen - m_targets.data());
        ++counts[static_cast<std::size_t>(target)];
        // Calls differ by up to a third to either side.
        double spread = 0.7 + 0.6 * static_cast<double>((call * 7 + daemon * 3) % 11) / 10;
        double took = usualMilliseconds * spread * (isSlow && target == m_slowTarget ? m_factor : 1);
        lateCalls += took > 2 * usualMilliseconds ? 1 : 0;
        m_selectors[static_cast<std::size_t>(daemon)].sent(chosen->id);
        // A stream of eight events, of which the third tells the pace.
        m_running.emplace(m_now + Milliseconds(static_cast<int>(took * 3 / 8)), Call { daemon, target, took, false });
        m_running.emplace(m_now + Milliseconds(static_cast<int>(took)), Call { daemon, target, took, true });
    }

    void finish(bool learns)
    {
        while (!m_running.empty() && m_running.begin()->first <= m_now) {
            Call call = m_running.extract(m_running.begin()).mapped();
            TargetSelector& selector = m_selectors[static_cast<std::size_t>(call.daemon)];
            const TargetId& target = m_targets[static_cast<std::size_t>(call.target)].id;
            if (learns)
                selector.paceSeen(target, { "turns", call.milliseconds / 8, call.isOver ? std::optional(call.milliseconds) : std::nullopt }, m_now);
            if (call.isOver)
                selector.ended(target, TargetOutcome::Answered, m_now);
        }
    }

    int m_slowTarget;
    double m_factor;
    TimePoint m_now { std::chrono::hours(1) };
    std::vector<TargetSelector> m_selectors;
    std::vector<Registration> m_targets;
    std::multimap<TimePoint, Call> m_running;
};

} // namespace

// Load: one of eight targets takes five times as long for 6.5 s, with its registration as before; 140 calls a second.
BOOST_AUTO_TEST_CASE(slowTargetGetsFewCallsAndIsTriedAgain)
{
    SlowTargetPlay blind(3, 5);
    blind.run(Milliseconds(4'000), false, false);
    blind.run(Milliseconds(6'500), true, false);
    SlowTargetPlay play(3, 5);
    auto before = play.run(Milliseconds(4'000), false, true);
    auto during = play.run(Milliseconds(6'500), true, true);
    // What callers get: less than half of the late calls, though each daemon has to find out by itself.
    BOOST_TEST(play.lateCalls * 2 < blind.lateCalls);
    BOOST_TEST(during[3] > 0);
    play.run(Milliseconds(5'000), false, true);
    auto after = play.run(Milliseconds(4'000), false, true);
    BOOST_TEST(after[3] * 2 > before[3]);
}

// Load: all targets are slow alike, as in a burst; nobody is shut out.
BOOST_AUTO_TEST_CASE(whereAllAreSlowNoneIsLeftOut)
{
    SlowTargetPlay play(-1, 1);
    play.run(Milliseconds(4'000), false, true);
    auto counts = play.run(Milliseconds(10'000), false, true);
    auto [least, most] = std::minmax_element(counts.begin(), counts.end());
    BOOST_TEST(*least * 2 > *most);
}

BOOST_AUTO_TEST_SUITE_END()
