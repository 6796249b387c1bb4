#include "basilpoint/Forwarding/TargetSelector.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <map>

using namespace basilpoint;

namespace {

/// Simulates 60 gateways, each of which sees its part of the calls to 45 engines in 3 data centres. A third of the engines take 2
/// to 2.8 times as long, and engines stall for 600 ms now and then. Announcements of paces reach all gateways at once.
class FleetSimulation {
public:
    static constexpr std::size_t gateways = 60;
    static constexpr std::size_t engines = 45;
    static constexpr std::size_t slots = 8;
    static constexpr std::size_t dataCentres = 3;
    static constexpr double outputMilliseconds = 280;
    static constexpr double events = 20;
    // About five calls of a gateway at an engine in 34 s.
    static constexpr double callsPerSecond = 400;

    explicit FleetSimulation(bool hasStalls)
        : m_hasStalls(hasStalls)
    {
        for (std::size_t n = 0; n < gateways; ++n)
            m_gateways.emplace_back(n + 1);
        for (std::size_t n = 0; n < engines; ++n) {
            m_targets.push_back({ TargetId("t" + std::to_string(n)), ServiceId("s"), {}, dataCentre(n), 1, slots, false, Milliseconds(0) });
            m_engines.push_back({ isSlow(n) ? 2.0 + 0.2 * static_cast<double>(n % 5) : 1.0 });
        }
        for (const Registration& it : m_targets)
            m_candidates.push_back(&it);
    }

    static DataCentreId dataCentre(std::size_t n) { return DataCentreId(std::to_string(n % dataCentres)); }
    static bool isSlow(std::size_t engine) { return engine >= 30; }
    double paceOf(std::size_t engine) const { return m_engines[engine].pace; }

    void run(std::chrono::seconds length)
    {
        std::exponential_distribution<double> untilCall(callsPerSecond);
        std::exponential_distribution<double> untilStall(engines / 20.0);
        TimePoint end = m_now + length;
        TimePoint nextCall = m_now;
        TimePoint nextStall = m_now;
        while (m_now < end) {
            m_now = std::min(nextCall, m_ends.empty() ? nextCall : m_ends.begin()->first);
            if (m_hasStalls && m_now >= nextStall) {
                stall(m_random() % engines);
                nextStall = m_now + toDuration(1'000 * untilStall(m_random));
            }
            if (!m_ends.empty() && m_ends.begin()->first <= m_now) {
                finish(m_ends.extract(m_ends.begin()).mapped());
                continue;
            }
            send(m_random() % gateways);
            nextCall = m_now + toDuration(1'000 * untilCall(m_random));
        }
    }

    // Delays all calls that are running.
    void stall(std::size_t engine)
    {
        std::vector<std::pair<TimePoint, Call>> delayed;
        for (auto it = m_ends.begin(); it != m_ends.end();) {
            if (it->second.engine != engine) {
                ++it;
                continue;
            }
            it->second.stalls += 1;
            delayed.emplace_back(it->first + Milliseconds(600), it->second);
            it = m_ends.erase(it);
        }
        for (auto& it : delayed)
            m_ends.insert(std::move(it));
    }

    /// Calls at each engine since the last call of this function.
    std::vector<double> takeCounts() { return std::exchange(m_counts, std::vector<double>(engines, 0)); }

    /// Calls of slow engines as a share of what their paces entitle them to.
    double slowShare(const std::vector<double>& counts) const
    {
        double slowCalls = 0;
        double allCalls = 0;
        double slowSpeed = 0;
        double allSpeed = 0;
        for (std::size_t n = 0; n < engines; ++n) {
            (isSlow(n) ? slowCalls : allCalls) += counts[n];
            (isSlow(n) ? slowSpeed : allSpeed) += 1 / paceOf(n);
        }
        return slowCalls / (slowCalls + allCalls) / (slowSpeed / (slowSpeed + allSpeed));
    }

    double paceKnownBy(std::size_t gateway, std::size_t engine) { return m_gateways[gateway].paces().ratioOf(m_targets[engine]); }

    std::size_t announcements = 0;

private:
    struct Call {
        std::size_t gateway = 0;
        std::size_t engine = 0;
        double interval = 0;
        unsigned stalls = 0;
        double waited = 0;
    };

    struct Engine {
        double pace = 1;
        std::size_t running = 0;
        std::deque<std::pair<TimePoint, Call>> waiting {};
    };

    static TimePoint::duration toDuration(double milliseconds) { return std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(milliseconds)); }

    void send(std::size_t gateway)
    {
        TargetQuery query;
        query.service = ServiceId("s");
        query.kind = "turns";
        query.dataCentre = dataCentre(gateway);
        query.promptTokens = 1'500;
        query.isManaged = true;
        const Registration* chosen = m_gateways[gateway].choose(m_candidates, query, m_now);
        auto engine = static_cast<std::size_t>(chosen - m_targets.data());
        m_gateways[gateway].sent(*chosen, query, m_now);
        ++m_counts[engine];
        // The time between events varies by 10%.
        double interval = outputMilliseconds / events * m_engines[engine].pace * std::uniform_real_distribution<double>(0.9, 1.1)(m_random);
        m_engines[engine].waiting.emplace_back(m_now, Call { gateway, engine, interval });
        start(engine);
    }

    void start(std::size_t n)
    {
        Engine& engine = m_engines[n];
        while (engine.running < slots && !engine.waiting.empty()) {
            auto [sentAt, call] = engine.waiting.front();
            engine.waiting.pop_front();
            ++engine.running;
            call.waited = std::chrono::duration<double, std::milli>(m_now - sentAt).count();
            m_ends.emplace(m_now + toDuration(10 * engine.pace + call.interval * events), call);
        }
    }

    void finish(const Call& call)
    {
        const Registration& target = m_targets[call.engine];
        TargetSelector& gateway = m_gateways[call.gateway];
        // The gateway does not see which pause is a stall if it is spread over the events.
        double interval = call.interval + 600.0 * call.stalls / events;
        double output = interval * events;
        gateway.ended(target.id, TargetOutcome::Answered, m_now);
        gateway.recordTiming(target.id, { "turns", interval, output }, m_now);
        gateway.recordStream(target, { "turns", interval, 10 * paceOf(call.engine) + call.waited, output, 1'500 }, m_now);
        if (auto announcement = gateway.paces().takeAnnouncement(target, m_now)) {
            ++announcements;
            for (TargetSelector& it : m_gateways) {
                for (int step : announcement->replaced)
                    it.paces().apply(target.id, target.startedAt, step, false);
                it.paces().apply(target.id, target.startedAt, announcement->step, true);
            }
        }
        --m_engines[call.engine].running;
        start(call.engine);
    }

    bool m_hasStalls;
    TimePoint m_now { std::chrono::hours(1) };
    RandomEngine m_random { 11 };
    std::vector<TargetSelector> m_gateways;
    std::vector<Registration> m_targets;
    std::vector<const Registration*> m_candidates;
    std::vector<Engine> m_engines;
    std::vector<double> m_counts = std::vector<double>(engines, 0);
    std::multimap<TimePoint, Call> m_ends;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TargetFleetTest)

// Guards against slow engines that are overloaded since each gateway sees too few of their calls, or are left idle. The bound
// is the stated factor of 1.3.
BOOST_AUTO_TEST_CASE(slowEnginesGetCallsByTheirPace)
{
    for (bool hasStalls : { false, true }) {
        FleetSimulation fleet(hasStalls);
        fleet.run(std::chrono::seconds(60));
        fleet.takeCounts();
        std::size_t before = fleet.announcements;
        fleet.run(std::chrono::seconds(120));
        double share = fleet.slowShare(fleet.takeCounts());
        BOOST_TEST_MESSAGE("stalls " << hasStalls << ", share " << share << ", announcements " << before << " and " << fleet.announcements - before);
        BOOST_TEST(share < 1.3);
        BOOST_TEST(share > 1 / 1.3);
        for (std::size_t n = 0; n < FleetSimulation::engines; ++n)
            BOOST_TEST(std::abs(std::log(fleet.paceKnownBy(7, n) / fleet.paceOf(n))) < std::log(1.3));
    }
}

// Guards against a stall that makes an engine count as slow for minutes. The bound is the stated 5%.
BOOST_AUTO_TEST_CASE(stallDoesNotMoveTheLongTermPace)
{
    FleetSimulation fleet(false);
    fleet.run(std::chrono::seconds(60));
    for (std::size_t engine : { 3, 35 }) {
        std::vector<double> before;
        for (std::size_t n = 0; n < FleetSimulation::gateways; ++n)
            before.push_back(fleet.paceKnownBy(n, engine));
        fleet.stall(engine);
        fleet.run(std::chrono::seconds(10));
        for (std::size_t n = 0; n < FleetSimulation::gateways; ++n)
            BOOST_TEST(std::abs(fleet.paceKnownBy(n, engine) / before[n] - 1) <= 0.05);
    }
}

BOOST_AUTO_TEST_SUITE_END()
