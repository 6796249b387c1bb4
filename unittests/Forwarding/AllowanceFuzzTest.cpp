#include "basilpoint/Forwarding/AllowanceLease.h"
#include "basilpoint/Forwarding/AllowancePartitions.h"
#include "basilpoint/Forwarding/AllowancePool.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <memory>
#include <queue>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

using std::chrono::microseconds;

/// Fixes the seed, so that the test is repeatable. RC_PARAMS takes precedence if it is set in the environment.
struct FixedSeed {
    FixedSeed() { setenv("RC_PARAMS", "seed=20261204 max_success=300", 0); }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

constexpr microseconds callLimit = 150ms;
constexpr int maxAsks = 2;
constexpr microseconds window = 5s;
constexpr microseconds bindingDelay = 3s;
constexpr microseconds tickInterval = 200ms;
// Gateways know a new list or configuration within this time.
constexpr int maxSpreadMs = 2000;

struct Faults {
    int lossPercent = 0;
    int duplicatePercent = 0;
    int maxDelayMs = 1;
};

/// Gateways with clocks of their own, a network that delays, loses and repeats messages, and one organisation.
class Fleet {
public:
    Fleet(std::size_t count, double perSecond, double burst, unsigned seed, Faults faults = {})
        : m_faults(faults)
        , m_random(seed)
    {
        m_organisation.name = "acme";
        m_organisation.requestsPerSecond = perSecond;
        m_organisation.burst = burst;
        m_limits.push_back({ microseconds(0), perSecond, burst });
        for (std::size_t n = 0; n < count; ++n)
            m_listed.push_back(nameOf(n));
        for (std::size_t n = 0; n < count; ++n)
            add(m_listed[n]);
    }

    std::size_t size() const { return m_nodes.size(); }
    microseconds now() const { return m_now; }

    void runUntil(microseconds end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        m_now = end;
    }

    void at(microseconds time, std::function<void()> run) { m_events.push({ time, m_sequence++, std::move(run) }); }

    /// A caller sends a request.
    void request(std::size_t n)
    {
        ++m_requests;
        whenRunning(n, [this, n] { arrive(n); });
    }

    void kill(std::size_t n) { m_nodes[n].lifetime = 0; }
    void restart(std::size_t n)
    {
        if (std::find(m_listed.begin(), m_listed.end(), m_nodes[n].name) != m_listed.end())
            start(n);
    }
    std::size_t listed() const { return m_listed.size(); }
    /// The process does not run, but its clock goes on, and messages wait.
    void pause(std::size_t n, microseconds duration) { m_nodes[n].pausedUntil = std::max(m_nodes[n].pausedUntil, m_now + duration); }
    void setGroup(std::size_t n, int group) { m_nodes[n].group = group; }
    void leave(std::size_t n)
    {
        if (m_nodes[n].lifetime == 0)
            return;
        m_nodes[n].pool->leave();
        m_nodes[n].isLeaving = true;
    }

    void join()
    {
        std::string name = nameOf(m_nodes.size());
        m_listed.push_back(name);
        add(name);
        announceList();
    }
    /// Removes a gateway that still serves callers for a while.
    void unlist(std::size_t n)
    {
        at(m_now + 3s, [this, n] { kill(n); });
        std::erase(m_listed, m_nodes[n].name);
        announceList();
    }

    void setLimit(double perSecond, double burst)
    {
        m_limits.push_back({ m_now, perSecond, burst });
        m_organisation.requestsPerSecond = perSecond;
        m_organisation.burst = burst;
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            learn(n, [this, n] { m_nodes[n].organisation = m_organisation; });
    }

    /// Largest excess over the bound of the page in any window; 0 or less if it holds.
    double excess() const
    {
        std::vector<microseconds> times = admitted();
        double worst = -1e9;
        std::size_t end = 0;
        for (std::size_t n = 0; n < times.size(); ++n) {
            while (end < times.size() && times[end] < times[n] + window)
                ++end;
            worst = std::max(worst, static_cast<double>(end - n) - boundFrom(times[n]));
        }
        return worst;
    }

    std::vector<microseconds> admitted() const
    {
        std::vector<microseconds> times;
        for (const auto& [id, time] : m_admitted)
            times.push_back(time);
        std::sort(times.begin(), times.end());
        return times;
    }
    std::size_t admittedBetween(microseconds from, microseconds to) const
    {
        std::vector<microseconds> times = admitted();
        return static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](microseconds it) { return it >= from && it < to; }));
    }
    std::size_t requests() const { return m_requests; }
    std::size_t messages() const { return m_messages; }
    void setGiveBackPercent(int percent) { m_giveBackPercent = percent; }

private:
    struct Event {
        microseconds at;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    struct Waiting {
        microseconds until;
        /// Answers that it has waited for.
        int asks = 0;
    };

    struct Node {
        std::string name;
        /// 0 if it does not run.
        unsigned lifetime = 0;
        microseconds clockOffset { 0 };
        microseconds pausedUntil { 0 };
        int group = 0;
        bool isLeaving = false;
        Organisation organisation;
        std::unique_ptr<AllowanceRights> rights;
        std::unique_ptr<AllowancePool> pool;
        std::unique_ptr<AllowanceLease> lease;
        AllowancePartitions partitions;
        std::vector<Waiting> waiting;
        std::uint64_t call = 0;
    };

    struct LimitInForce {
        microseconds since;
        double perSecond;
        double burst;
    };

    static std::string nameOf(std::size_t n) { return "gateway-" + std::to_string(n); }
    int random(int below) { return static_cast<int>(m_random() % static_cast<unsigned>(below)); }
    bool chance(int percent) { return random(100) < percent; }
    microseconds spread() { return 1ms * random(maxSpreadMs); }
    std::size_t partition() const { return AllowancePartitions::of(m_organisation.name); }
    TimePoint clock(const Node& node) const { return TimePoint(m_now + node.clockOffset); }

    double boundFrom(microseconds start) const
    {
        double bound = 0;
        for (std::size_t n = 0; n < m_limits.size(); ++n) {
            microseconds replaced = n + 1 < m_limits.size() ? m_limits[n + 1].since + bindingDelay : microseconds::max();
            if (m_limits[n].since <= start + window && start < replaced)
                bound = std::max(bound, (m_limits[n].perSecond * 5 + m_limits[n].burst) * 1.1 + 20);
        }
        return bound;
    }

    void whenRunning(std::size_t n, std::function<void()> run)
    {
        Node& node = m_nodes[n];
        if (node.lifetime == 0)
            return;
        if (node.pausedUntil <= m_now)
            return run();
        at(node.pausedUntil, [this, n, lifetime = node.lifetime, run = std::move(run)] {
            if (m_nodes[n].lifetime == lifetime)
                whenRunning(n, run);
        });
    }

    void add(const std::string& name)
    {
        m_nodes.emplace_back();
        m_nodes.back().name = name;
        start(m_nodes.size() - 1);
    }

    void start(std::size_t n)
    {
        Node& node = m_nodes[n];
        node.lifetime = ++m_lastLifetime;
        node.clockOffset = 1h + 1ms * random(3'600'000);
        node.pausedUntil = microseconds(0);
        node.isLeaving = false;
        node.organisation = m_organisation;
        node.waiting.clear();
        node.call = 0;
        node.rights = std::make_unique<AllowanceRights>(node.name);
        std::string lifetime = node.name + "/" + std::to_string(node.lifetime);
        TimePoint since = clock(node);
        node.pool = std::make_unique<AllowancePool>(lifetime, *node.rights, [this, n, since](const std::string&) { return AllowancePool::Limit { &m_nodes[n].organisation, since }; });
        node.lease = std::make_unique<AllowanceLease>(partition(), node.name, lifetime, clock(node) + AllowanceLease::restartDelay);
        setList(n, m_listed);
        at(m_now + 1ms * random(200), [this, n, id = node.lifetime] { tick(n, id); });
    }

    void setList(std::size_t n, const std::vector<std::string>& list)
    {
        Node& node = m_nodes[n];
        node.rights->setGateways(list, clock(node));
        node.partitions.setGateways(list);
    }

    void announceList()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            learn(n, [this, n] { setList(n, m_listed); });
    }

    /// Runs \p read when the gateway reads the store next. After a pause it does so later than other work.
    void learn(std::size_t n, std::function<void()> read)
    {
        at(m_now + spread(), [this, n, read = std::move(read)] {
            const Node& node = m_nodes[n];
            if (node.lifetime == 0)
                return;
            if (node.pausedUntil <= m_now)
                return read();
            at(node.pausedUntil, [this, n, read] { learn(n, read); });
        });
    }

    void tick(std::size_t n, unsigned lifetime)
    {
        if (m_nodes[n].lifetime != lifetime)
            return;
        at(m_now + tickInterval, [this, n, lifetime] { tick(n, lifetime); });
        if (m_nodes[n].pausedUntil > m_now)
            return;
        Node& node = m_nodes[n];
        node.rights->update(clock(node));
        node.pool->update(clock(node));
        send(n);
    }

    void arrive(std::size_t n)
    {
        Node& node = m_nodes[n];
        node.lease->arrived(m_organisation.name, clock(node));
        decide(n, { m_now + callLimit });
    }

    void decide(std::size_t n, Waiting request)
    {
        Node& node = m_nodes[n];
        auto result = node.lease->take(node.organisation, *node.rights, clock(node));
        if (result.outcome == AllowanceLease::Outcome::Admitted)
            admit(n, result.validUntil);
        else if (result.outcome == AllowanceLease::Outcome::MustAsk && m_now < request.until && request.asks++ < maxAsks)
            node.waiting.push_back(request);
        node.lease->setWaiting(m_organisation.name, static_cast<std::uint32_t>(node.waiting.size()));
        if (!node.waiting.empty() || node.lease->wantsRefill(m_organisation.name, clock(node)))
            send(n);
    }

    void admit(std::size_t n, TimePoint validUntil)
    {
        std::uint64_t id = m_nextId++;
        m_admitted[id] = m_now;
        if (!chance(m_giveBackPercent))
            return;
        at(m_now + 1ms * random(1000), [this, n, id, validUntil, lifetime = m_nodes[n].lifetime] {
            m_admitted.erase(id);
            if (m_nodes[n].lifetime == lifetime)
                whenRunning(n, [this, n, validUntil] { m_nodes[n].lease->giveBack(m_organisation.name, validUntil, clock(m_nodes[n])); });
        });
    }

    void send(std::size_t n)
    {
        Node& node = m_nodes[n];
        bool hasShare = !node.rights->ownShare(node.organisation).isEmpty();
        if (node.lease->isInFlight() || (!node.lease->wantsMessage(hasShare, clock(node)) && !node.lease->wantsRefill(m_organisation.name, clock(node))))
            return;
        auto message = node.lease->begin(
            node.partitions.candidates(partition()), [&](const std::string& it) { return !(node.isLeaving && it == node.name); }, clock(node));
        if (!message) {
            refuseWaiting(n);
            return;
        }
        ++m_messages;
        std::uint64_t call = node.call = ++m_lastCall;
        unsigned lifetime = node.lifetime;
        if (message->coordinator == node.name) {
            AllowanceAnswer answer = node.pool->answer(message->request, clock(node));
            node.lease->answered(answer, clock(node));
            at(m_now, [this, n, lifetime] {
                if (m_nodes[n].lifetime == lifetime)
                    whenRunning(n, [this, n] { retryWaiting(n); });
            });
            return;
        }
        at(m_now + callLimit, [this, n, lifetime, call] {
            if (m_nodes[n].lifetime == lifetime)
                whenRunning(n, [this, n, call] { fail(n, call); });
        });
        std::size_t to = indexOf(message->coordinator);
        int copies = chance(m_faults.lossPercent) ? 0 : chance(m_faults.duplicatePercent) ? 2
                                                                                          : 1;
        for (int copy = 0; copy < copies; ++copy)
            at(m_now + delay(copy > 0), [this, n, to, lifetime, call, request = message->request] {
                if (m_nodes[n].group == m_nodes[to].group)
                    whenRunning(to, [this, n, to, lifetime, call, request] { handle(n, to, lifetime, call, request); });
            });
    }

    microseconds delay(bool isLate)
    {
        // Some messages are very late: after the delegation that they renew.
        if (isLate && chance(50))
            return 1ms * random(7000);
        return microseconds(200 + random(m_faults.maxDelayMs * 1000));
    }

    void handle(std::size_t n, std::size_t to, unsigned lifetime, std::uint64_t call, const AllowanceRequest& request)
    {
        AllowanceAnswer answer = m_nodes[to].pool->answer(request, clock(m_nodes[to]));
        if (chance(m_faults.lossPercent))
            return;
        at(m_now + delay(false), [this, n, to, lifetime, call, answer] {
            if (m_nodes[n].lifetime != lifetime || m_nodes[n].group != m_nodes[to].group)
                return;
            whenRunning(n, [this, n, call, answer] {
                Node& node = m_nodes[n];
                if (node.call != call)
                    return;
                node.call = 0;
                node.lease->answered(answer, clock(node));
                retryWaiting(n);
            });
        });
    }

    void fail(std::size_t n, std::uint64_t call)
    {
        Node& node = m_nodes[n];
        if (node.call != call || !node.lease->isInFlight())
            return;
        node.call = 0;
        node.lease->failed(clock(node));
        retryWaiting(n);
    }

    void retryWaiting(std::size_t n)
    {
        std::vector<Waiting> waiting = std::exchange(m_nodes[n].waiting, {});
        for (const Waiting& it : waiting)
            if (it.until > m_now)
                decide(n, it);
        m_nodes[n].lease->setWaiting(m_organisation.name, static_cast<std::uint32_t>(m_nodes[n].waiting.size()));
    }

    /// No coordinator can be asked: only own rights are left.
    void refuseWaiting(std::size_t n)
    {
        Node& node = m_nodes[n];
        for (std::size_t it = std::exchange(node.waiting, {}).size(); it > 0; --it) {
            auto result = node.lease->take(node.organisation, *node.rights, clock(node));
            if (result.outcome == AllowanceLease::Outcome::Admitted)
                admit(n, result.validUntil);
        }
        node.lease->setWaiting(m_organisation.name, 0);
    }

    std::size_t indexOf(const std::string& name) const
    {
        auto it = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const Node& node) { return node.name == name; });
        return static_cast<std::size_t>(it - m_nodes.begin());
    }

    Faults m_faults;
    std::minstd_rand m_random;
    Organisation m_organisation;
    std::vector<LimitInForce> m_limits;
    std::vector<std::string> m_listed;
    std::vector<Node> m_nodes;
    std::priority_queue<Event> m_events;
    microseconds m_now { 0 };
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_nextId = 0;
    unsigned m_lastLifetime = 0;
    int m_giveBackPercent = 0;
    std::map<std::uint64_t, microseconds> m_admitted;
    std::size_t m_requests = 0;
    std::size_t m_messages = 0;
};

/// Times with random distances, \p perSecond on average.
std::vector<microseconds> irregular(microseconds from, microseconds to, double perSecond, unsigned seed)
{
    std::minstd_rand random(seed);
    std::exponential_distribution<double> distance(perSecond);
    std::vector<microseconds> times;
    for (microseconds time = from;;) {
        time += microseconds(static_cast<std::int64_t>(distance(random) * 1e6) + 1);
        if (time >= to)
            return times;
        times.push_back(time);
    }
}

std::vector<microseconds> steady(microseconds from, microseconds to, double perSecond)
{
    std::vector<microseconds> times;
    for (microseconds time = from; time < to; time += microseconds(static_cast<std::int64_t>(1e6 / perSecond)))
        times.push_back(time);
    return times;
}

/// Sends requests to \p gateways at random.
void load(Fleet& fleet, const std::vector<microseconds>& times, const std::vector<std::size_t>& gateways, unsigned seed)
{
    std::minstd_rand random(seed);
    for (microseconds it : times)
        fleet.at(it, [&fleet, n = gateways[random() % gateways.size()]] { fleet.request(n); });
}

std::vector<std::size_t> firstGateways(std::size_t count)
{
    std::vector<std::size_t> all(count);
    for (std::size_t n = 0; n < count; ++n)
        all[n] = n;
    return all;
}

enum class FaultKind { Kill,
    Restart,
    Pause,
    Cut,
    Heal,
    Leave,
    Join,
    Unlist,
    Lower,
    Raise };
constexpr int faultKinds = 10;

void apply(Fleet& fleet, FaultKind kind, std::size_t gateway, int argument, double& rate)
{
    std::size_t n = gateway % fleet.size();
    switch (kind) {
    case FaultKind::Kill:
        fleet.kill(n);
        return fleet.at(fleet.now() + 4ms * argument, [&fleet, n] { fleet.restart(n); });
    case FaultKind::Restart:
        fleet.kill(n);
        return fleet.at(fleet.now() + 1ms * (argument / 20), [&fleet, n] { fleet.restart(n); });
    case FaultKind::Pause:
        return fleet.pause(n, 1ms * (argument * 4));
    case FaultKind::Cut:
        // One gateway alone, or two parts.
        if (argument % 2 == 0)
            return fleet.setGroup(n, 1);
        for (std::size_t it = 0; it < fleet.size(); ++it)
            fleet.setGroup(it, (it * 7 + static_cast<std::size_t>(argument)) % 5 < 2 ? 1 : 0);
        return;
    case FaultKind::Heal:
        for (std::size_t it = 0; it < fleet.size(); ++it)
            fleet.setGroup(it, 0);
        return;
    case FaultKind::Leave:
        fleet.leave(n);
        return fleet.at(fleet.now() + 1ms * (2600 + argument), [&fleet, n] {
            fleet.kill(n);
            fleet.restart(n);
        });
    case FaultKind::Join:
        return fleet.size() < 64 ? fleet.join() : void();
    case FaultKind::Unlist:
        return fleet.listed() > 1 ? fleet.unlist(n) : void();
    case FaultKind::Lower:
        rate = std::max(4.0, rate / (1 + argument % 6));
        return fleet.setLimit(rate, rate);
    case FaultKind::Raise:
        rate = std::min(950.0, rate * 2);
        return fleet.setLimit(rate, rate);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(AllowanceFuzzTest)

// Guards against requests beyond the allowance of all gateways together, whatever fails.
RC_BOOST_PROP(noWindowExceedsTheBound, ())
{
    auto count = *rc::gen::element<std::size_t>(1, 2, 2, 3, 5, 7, 20, 60);
    double rate = *rc::gen::element(4.0, 30.0, 100.0, 300.0, 950.0);
    auto seed = *rc::gen::arbitrary<unsigned>();
    Faults faults { *rc::gen::element(0, 0, 5, 30), *rc::gen::element(0, 10, 40), *rc::gen::element(1, 5, 200) };
    // inRange() covers the whole range at the nominal size only.
    auto step = rc::gen::resize(rc::kNominalSize, rc::gen::tuple(rc::gen::inRange(5'000, 25'000), rc::gen::inRange(0, faultKinds), rc::gen::inRange(0, 60), rc::gen::inRange(0, 2'000)));
    auto steps = *rc::gen::resize(15, rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(step));
    auto phases = *rc::gen::container<std::vector<int>>(8, rc::gen::element(0, 1, 6, 6));
    auto entries = *rc::gen::element<std::size_t>(1, 3, 60, 60);
    Fleet fleet(count, rate, rate, seed, faults);
    fleet.setGiveBackPercent(*rc::gen::element(0, 0, 10));
    double current = rate;
    for (const auto& [time, kind, gateway, argument] : steps)
        fleet.at(1ms * time, [&fleet, &current, kind = kind, gateway = gateway, argument = argument] { apply(fleet, static_cast<FaultKind>(kind), static_cast<std::size_t>(gateway), argument, current); });
    for (std::size_t n = 0; n < phases.size(); ++n)
        if (phases[n] > 0)
            load(fleet, irregular(3500ms * n, 3500ms * (n + 1), rate * phases[n], seed + static_cast<unsigned>(n)), firstGateways(std::min(count, entries)), seed);
    fleet.runUntil(28s);
    RC_ASSERT(fleet.excess() <= 0);
}

/// Requests that one token bucket admits, as a bound of what can be expected.
static std::size_t admittedByOneBucket(const std::vector<microseconds>& times, double perSecond, double burst)
{
    double tokens = burst;
    microseconds countedAt = times.front();
    std::size_t admitted = 0;
    for (microseconds it : times) {
        tokens = std::min(burst, tokens + perSecond * std::chrono::duration<double>(it - countedAt).count());
        countedAt = it;
        if (tokens < 1)
            continue;
        tokens -= 1;
        ++admitted;
    }
    return admitted;
}

// Guards against refusals of requests within the allowance while nothing fails.
BOOST_AUTO_TEST_CASE(organisationGetsItsRateThroughAnyNumberOfGateways)
{
    for (std::size_t count : { 1U, 2U, 7U, 60U, 75U })
        for (double rate : { 4.0, 30.0, 950.0 })
            for (std::size_t entries : { 1U, 3U })
                for (bool isSteady : { true, false }) {
                    Fleet fleet(count, rate, rate, 7);
                    auto gateways = firstGateways(std::min<std::size_t>(count, entries));
                    std::vector<microseconds> times = isSteady ? steady(12s, 42s, rate) : irregular(12s, 42s, rate, 11);
                    load(fleet, times, gateways, 13);
                    fleet.runUntil(43s);
                    auto expected = static_cast<double>(isSteady ? times.size() : admittedByOneBucket(times, rate, rate));
                    double share = static_cast<double>(fleet.admittedBetween(12s, 43s)) / expected;
                    BOOST_TEST(share >= 0.95, "gateways " << count << " rate " << rate << " entries " << entries << " steady " << isSteady << " share " << share);
                    BOOST_TEST(fleet.excess() <= 0);
                }
}

// Guards against an overloaded organisation that gets less than its allowance, since its gateways wait for each other.
BOOST_AUTO_TEST_CASE(organisationAtSixTimesItsRateUsesItsAllowance)
{
    for (double rate : { 4.0, 30.0, 950.0 }) {
        Fleet fleet(60, rate, rate, 7);
        load(fleet, irregular(12s, 42s, rate * 6, 11), firstGateways(8), 13);
        fleet.runUntil(43s);
        BOOST_TEST(static_cast<double>(fleet.admittedBetween(12s, 42s)) >= 0.95 * rate * 30);
        BOOST_TEST(fleet.excess() <= 0);
    }
}

// Guards against a restarted gateway that uses its rights while its coordinator still counts the delegation of its last
// lifetime.
BOOST_AUTO_TEST_CASE(restartedGatewayThatIsCutOffWaitsForTheEndOfItsDelegation)
{
    for (std::size_t restarted : { 0U, 1U }) {
        Fleet fleet(2, 950, 950, 3);
        load(fleet, irregular(0s, 25s, 950 * 6, 5), firstGateways(2), 13);
        fleet.at(15s, [&fleet, restarted] {
            fleet.setGroup(restarted, 1);
            fleet.kill(restarted);
            fleet.restart(restarted);
        });
        fleet.runUntil(25s);
        BOOST_TEST(fleet.excess() <= 0);
    }
}

// Guards against gateways that use the share of one that does not know yet that it was removed.
BOOST_AUTO_TEST_CASE(shareOfRemovedGatewayIsNotUsedAtOnce)
{
    for (std::size_t removed : { 0U, 1U }) {
        Fleet fleet(2, 950, 950, 3);
        load(fleet, irregular(0s, 25s, 950 * 6, 5), firstGateways(2), 13);
        // Both use their own rights.
        fleet.at(8s, [&fleet] { fleet.setGroup(1, 1); });
        fleet.at(18s, [&fleet, removed] { fleet.unlist(removed); });
        fleet.runUntil(28s);
        BOOST_TEST(fleet.excess() <= 0);
    }
}

// Guards against many small shares that round up to more than a small allowance.
BOOST_AUTO_TEST_CASE(smallestAllowanceHoldsOverManyGateways)
{
    for (bool isCut : { false, true }) {
        Fleet fleet(75, 4, 4, 3);
        if (isCut)
            for (std::size_t n = 0; n < 75; ++n)
                fleet.at(20s, [&fleet, n] { fleet.setGroup(n, static_cast<int>(n)); });
        load(fleet, irregular(0s, 40s, 200, 5), firstGateways(75), 13);
        fleet.runUntil(41s);
        BOOST_TEST(fleet.excess() <= 0);
        std::vector<microseconds> times = fleet.admitted();
        BOOST_TEST(times.size() <= 4 * 40 + 4 + 20);
        BOOST_TEST(times.size() >= 4 * 25);
    }
}

BOOST_AUTO_TEST_SUITE_END()
