#include "basilpoint/Forwarding/RefusalPolicy.h"
#include "basilpoint/Forwarding/RoomQueue.h"
#include "basilpoint/Forwarding/TargetSelector.h"

#include <algorithm>
#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

using namespace basilpoint;
using namespace std::chrono_literals;

// Runs the decisions of several gateways against engines in virtual time. The asking is that of RoomController: three engines a round,
// 15 ms of pause at an engine that refused, a round each 10 ms for the first waiting call.

namespace {

constexpr TimePoint start(1h);
constexpr std::array<std::uint64_t, 3> seeds { 20261204, 7, 4711 };
constexpr Milliseconds tick { 5 };
constexpr std::size_t gatewayCount = 12;
constexpr std::size_t engineCount = 6;
constexpr unsigned slots = 8;
constexpr int engineTokens = 52'000;
constexpr std::size_t targetsPerRound = 3;
constexpr Milliseconds pauseAfterRefusal { 15 };
constexpr Milliseconds askInterval { 10 };
constexpr Milliseconds turnTimeout { 4'000 };

struct Program {
    std::string organisation;
    std::string kind;
    bool isLarge = false;
    std::size_t dataCentre = 0;
    int turnsLeft = 3;
    TimePoint startedAt;
    Milliseconds objective { 0 };
};

struct Turn {
    std::shared_ptr<Program> program;
    bool isLater = false;
    TimePoint arrivedAt;
    /// Of this attempt.
    TimePoint attemptedAt;
    int attempts = 0;
    TimePoint waitsUntil {};

    TimePoint programEnd() const { return program->startedAt + program->objective; }
    int tokens() const { return program->isLarge ? 9'000 : 2'500; }
    // Calm turns take 0.2 s.
    Milliseconds duration() const { return Milliseconds(program->isLarge ? 240 : 180); }
};

struct Engine {
    struct Running {
        TimePoint endsAt;
        int tokens;
        std::shared_ptr<Turn> turn;
        std::size_t gateway;
    };
    std::vector<Running> running;
    int tokens = 0;

    bool hasRoom(const Turn& turn) const { return running.size() < slots && tokens + turn.tokens() <= engineTokens; }
};

struct Gateway {
    explicit Gateway(std::size_t seed)
        : policy(seed)
    {
    }

    RoomQueue queue;
    RefusalPolicy policy;
    std::map<WaitingCallId, std::shared_ptr<Turn>> waiting;
    std::map<std::size_t, TimePoint> refusedUntil;
};

/// Arrivals of programs a second, by organisation, at a time since the start.
using Rates = std::function<std::map<std::string, double>(Milliseconds)>;

struct Count {
    int turns = 0;
    int served = 0;

    double share() const { return turns == 0 ? 1 : double(served) / turns; }
};

class Site {
public:
    explicit Site(Rates rates, std::uint64_t seed)
        : m_rates(std::move(rates))
        , m_random(seed)
        , m_engines(engineCount)
    {
        for (std::size_t n = 0; n < gatewayCount; ++n)
            m_gateways.emplace_back(seed + n);
    }

    void run(Milliseconds length)
    {
        for (TimePoint end = m_now + length; m_now < end; m_now += tick) {
            endTurns();
            arrive();
            for (std::size_t n = 0; n < gatewayCount; ++n)
                serve(n);
        }
    }

    /// Median time of the turns that ended in a part of the run.
    Milliseconds median(Milliseconds from, Milliseconds to) const
    {
        std::vector<Milliseconds> times;
        for (const auto& [at, time] : turnTimes)
            if (at >= start + from && at < start + to)
                times.push_back(time);
        if (times.empty())
            return 0ms;
        std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2), times.end());
        return times[times.size() / 2];
    }

    std::vector<std::pair<TimePoint, Milliseconds>> turnTimes;
    /// Worth of the finished programs, by organisation.
    std::map<std::string, double> worth;
    std::map<std::string, Count> byKind;
    std::map<bool, Count> bySize;
    std::map<std::size_t, Count> byDataCentre;
    Count all;

private:
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void arrive()
    {
        for (const auto& [organisation, rate] : m_rates(std::chrono::duration_cast<Milliseconds>(m_now - start))) {
            if (draw() >= rate * std::chrono::duration<double>(tick).count())
                continue;
            bool isLong = draw() < 0.3;
            auto program = std::make_shared<Program>(Program { organisation, isLong ? "long" : "short", draw() < 0.3, draw() < 0.5 ? 0U : 1U, isLong ? 9 : 3, m_now, isLong ? 9s : 3s });
            schedule(m_now, std::make_shared<Turn>(Turn { program, false, m_now, m_now, 0 }));
        }
        while (!m_scheduled.empty() && m_scheduled.begin()->first <= m_now) {
            auto turn = m_scheduled.begin()->second;
            m_scheduled.erase(m_scheduled.begin());
            // Gateways of the program's data centre.
            submit(2 * (m_random() % (gatewayCount / 2)) + turn->program->dataCentre, turn);
        }
    }

    void schedule(TimePoint at, const std::shared_ptr<Turn>& turn) { m_scheduled.emplace(at, turn); }

    void submit(std::size_t index, const std::shared_ptr<Turn>& turn)
    {
        Gateway& gateway = m_gateways[index];
        turn->attemptedAt = m_now;
        WaitClass waitClass = classOf(*turn);
        RoomDecision decision = gateway.policy.arrived({ waitClass, "chat", turnTimeout, std::chrono::duration_cast<Milliseconds>(turn->programEnd() - m_now), gateway.queue.longestWait(waitClass, m_now) }, m_now);
        if (decision.refusal)
            return refuse(gateway, turn, decision.expectedWait);
        if (gateway.queue.empty() && place(index, turn))
            return;
        turn->waitsUntil = m_now + decision.maxWait;
        WaitingCallId id = ++m_lastId;
        gateway.waiting[id] = turn;
        if (auto displaced = gateway.queue.push({ id, waitClass, double(turn->tokens()), m_now, turn->programEnd() }, m_now))
            leave(gateway, *displaced);
    }

    static WaitClass classOf(const Turn& turn) { return { turn.program->organisation, 0, 0, turn.isLater }; }

    void leave(Gateway& gateway, WaitingCallId id)
    {
        auto turn = gateway.waiting.at(id);
        gateway.waiting.erase(id);
        gateway.queue.erase(id);
        auto waited = std::chrono::duration_cast<Milliseconds>(m_now - turn->attemptedAt);
        gateway.policy.gaveUp(classOf(*turn), waited, m_now);
        refuse(gateway, turn, waited);
    }

    // Callers send a turn again at most twice.
    void refuse(Gateway& gateway, const std::shared_ptr<Turn>& turn, Milliseconds expectedWait)
    {
        if (++turn->attempts <= 2) {
            Milliseconds delay = gateway.policy.retryAfter(expectedWait);
            return schedule(m_now + std::max(delay, Milliseconds(100 + static_cast<int>(300 * draw()))), turn);
        }
        count(*turn, false);
    }

    void count(const Turn& turn, bool isServed)
    {
        for (Count* it : { &all, &byKind[turn.program->kind], &bySize[turn.program->isLarge], &byDataCentre[turn.program->dataCentre] }) {
            ++it->turns;
            it->served += isServed ? 1 : 0;
        }
    }

    bool place(std::size_t index, const std::shared_ptr<Turn>& turn)
    {
        Gateway& gateway = m_gateways[index];
        std::vector<std::size_t> candidates;
        for (std::size_t n = 0; n < engineCount; ++n)
            if (gateway.refusedUntil[n] <= m_now)
                candidates.push_back(n);
        std::shuffle(candidates.begin(), candidates.end(), m_random);
        // The gateway's own data centre comes first.
        std::stable_sort(candidates.begin(), candidates.end(), [&](std::size_t a, std::size_t b) { return (a % 2 == turn->program->dataCentre) > (b % 2 == turn->program->dataCentre); });
        candidates.resize(std::min(candidates.size(), targetsPerRound));
        for (std::size_t n : candidates) {
            Engine& engine = m_engines[n];
            if (!engine.hasRoom(*turn)) {
                gateway.refusedUntil[n] = m_now + pauseAfterRefusal;
                continue;
            }
            engine.tokens += turn->tokens();
            engine.running.push_back({ m_now + turn->duration(), turn->tokens(), turn, index });
            gateway.policy.placed(classOf(*turn), std::chrono::duration_cast<Milliseconds>(m_now - turn->attemptedAt), m_now);
            gateway.queue.placed(turn->program->organisation, turn->tokens());
            return true;
        }
        return false;
    }

    void serve(std::size_t index)
    {
        Gateway& gateway = m_gateways[index];
        std::vector<WaitingCallId> late;
        for (const auto& [id, turn] : gateway.waiting) {
            if (m_now >= turn->waitsUntil)
                late.push_back(id);
        }
        for (WaitingCallId id : late)
            leave(gateway, id);
        // Gateways do not ask at the same moments.
        if ((m_now - start + index * tick) % askInterval != 0ms)
            return;
        while (auto id = gateway.queue.first(m_now)) {
            if (!place(index, gateway.waiting.at(*id)))
                return;
            gateway.waiting.erase(*id);
            gateway.queue.erase(*id);
        }
    }

    void endTurns()
    {
        for (Engine& engine : m_engines) {
            for (auto& it : engine.running) {
                if (it.endsAt > m_now)
                    continue;
                engine.tokens -= it.tokens;
                m_gateways[it.gateway].policy.ran("chat", it.turn->duration());
                endTurn(*it.turn);
                it.turn = nullptr;
            }
            std::erase_if(engine.running, [](const auto& it) { return !it.turn; });
        }
    }

    void endTurn(const Turn& turn)
    {
        count(turn, true);
        turnTimes.emplace_back(m_now, std::chrono::duration_cast<Milliseconds>(m_now - turn.arrivedAt));
        const auto& program = turn.program;
        if (--program->turnsLeft > 0) {
            // Tool calls between the turns.
            TimePoint next = m_now + Milliseconds(100 + static_cast<int>(200 * draw()));
            return schedule(next, std::make_shared<Turn>(Turn { program, true, next, next, 0 }));
        }
        double lateness = std::chrono::duration<double>(m_now - program->startedAt) / program->objective;
        worth[program->organisation] += std::clamp(2 - lateness, 0.0, 1.0);
    }

    Rates m_rates;
    RandomEngine m_random;
    TimePoint m_now = start;
    std::vector<Gateway> m_gateways;
    std::vector<Engine> m_engines;
    std::multimap<TimePoint, std::shared_ptr<Turn>> m_scheduled;
    WaitingCallId m_lastId = 0;
};

// Programs a second that the engines can run: 48 slots, five turns of 0.2 s a program on the mean, memory for some 12 calls.
constexpr double capacity = 48;

Rates evenLoad(double factor)
{
    return [factor](Milliseconds) { return std::map<std::string, double> { { "a", factor * capacity / 3 }, { "b", factor * capacity / 3 }, { "c", factor * capacity / 3 } }; };
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoomLoadTest)

// Guards against queues that stay long after a burst.
BOOST_DATA_TEST_CASE(turnTimesAreCalmThreeSecondsAfterABurst, boost::unit_test::data::make(seeds), seed)
{
    Site site([](Milliseconds at) { return evenLoad(at >= 10s && at < 15s ? 2.5 : 0.6)(at); }, seed);
    site.run(24s);
    Milliseconds calm = site.median(2s, 10s);
    Milliseconds after = site.median(18s, 21s);
    BOOST_TEST_MESSAGE("calm " << calm.count() << " ms, in the burst " << site.median(12s, 15s).count() << " ms, from 3 s after it " << after.count() << " ms");
    BOOST_TEST((after <= 1.5 * calm));
}

// Guards against an organisation that takes the others' share.
BOOST_DATA_TEST_CASE(organisationAtSixTimesItsLoadLeavesTheOthersTheirService, boost::unit_test::data::make(seeds), seed)
{
    auto rates = [](double factorOfA) {
        return [factorOfA](Milliseconds) { return std::map<std::string, double> { { "a", factorOfA * 0.2 * capacity }, { "b", 0.2 * capacity }, { "c", 0.2 * capacity } }; };
    };
    Site usual(rates(1), seed);
    usual.run(30s);
    Site heavy(rates(6), seed);
    heavy.run(30s);
    for (const char* it : { "b", "c" }) {
        BOOST_TEST_MESSAGE(it << ": worth " << usual.worth[it] << " usually, " << heavy.worth[it] << " beside the heavy organisation");
        BOOST_TEST(heavy.worth[it] >= 0.8 * usual.worth[it]);
    }
}

// Guards against kinds of programs, large prompts or data centres that are starved under load.
BOOST_DATA_TEST_CASE(eachKindSizeAndDataCentreIsServedNearlyAsOftenAsTheMean, boost::unit_test::data::make(seeds), seed)
{
    Site site(evenLoad(1.3), seed);
    site.run(30s);
    double mean = site.all.share();
    BOOST_TEST_MESSAGE("mean " << mean);
    auto expectServed = [&](const auto& counts) {
        for (const auto& [name, count] : counts) {
            BOOST_TEST_MESSAGE(name << ": " << count.share() << " of " << count.turns);
            BOOST_TEST(count.share() >= 0.8 * mean);
        }
    };
    expectServed(site.byKind);
    expectServed(site.bySize);
    expectServed(site.byDataCentre);
}

// A gateway chooses for each call, on a small part of a core.
BOOST_AUTO_TEST_CASE(choiceAmongACompleteQueueCostsLittle)
{
    RoomQueue queue;
    RefusalPolicy policy(1);
    for (WaitingCallId id = 1; id <= RoomQueue::maxCalls; ++id)
        queue.push({ id, { "organisation " + std::to_string(id % 20), 0, 0, id % 3 == 0 }, 100, start, start + 9s }, start);
    for (int n = 0; n < 20; ++n)
        policy.placed({ "organisation " + std::to_string(n), 0, 0, n % 2 == 0 }, 20ms, start);
    constexpr int choices = 1'000;
    auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < choices; ++n) {
        WaitClass waitClass { "organisation 1", 0, 0, false };
        policy.arrived({ waitClass, "chat", 3s, 3s, queue.longestWait(waitClass, start) }, start);
        queue.first(start);
        queue.placed("organisation 1", 1);
    }
    double each = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / choices;
    BOOST_TEST_MESSAGE("a choice among " << RoomQueue::maxCalls << " waiting calls costs " << each << " us");
    BOOST_TEST(each < 20);
}

// As above, among the targets of the largest site.
BOOST_AUTO_TEST_CASE(choiceAmongAllTargetsCostsLittle)
{
    TargetSelector selector(1);
    std::vector<Registration> targets(820);
    std::vector<const Registration*> candidates;
    for (std::size_t n = 0; n < targets.size(); ++n) {
        targets[n].id = TargetId("i-target-" + std::to_string(n));
        targets[n].slots = 8;
        candidates.push_back(&targets[n]);
        if (n % 10 == 0)
            selector.sent(targets[n].id);
    }
    constexpr int choices = 1'000;
    auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < choices; ++n)
        selector.chooseBest(candidates, TargetQuery {}, 3, start);
    double each = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / choices;
    BOOST_TEST_MESSAGE("a choice among " << targets.size() << " targets costs " << each << " us");
    BOOST_TEST(each < 20);
}

BOOST_AUTO_TEST_SUITE_END()
