#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <random>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

namespace {

// Time after which a change is in force at all gateways that have run undisturbed for stableTime.
constexpr auto changeLimit = 2s;
constexpr auto stableTime = 3s;
constexpr int gatewayCount = 20;
constexpr int firstVersion = 10;
constexpr int versions = 8;

std::string prefixOf(int version)
{
    return fmt::format("/new-{}/", version);
}

/// Many gateways, some of which restart while configurations change. Each version adds a route and drops one of before.
class ChangeDay {
public:
    explicit ChangeDay(unsigned seed)
        : m_random(seed)
    {
        startAll(m_deployment, { { "k1", "z1" }, { "k2", "z2" }, { "k3", "z3" } });
        for (int n = 0; n < gatewayCount; ++n)
            restart(fmt::format("g{}", n));
        BOOST_REQUIRE(eventually([&] { return std::all_of(m_startedAt.begin(), m_startedAt.end(), [&](const auto& it) { return m_deployment.isReady(it.first); }); }, 20s));
        pause(stableTime);
    }

    void run()
    {
        for (int version = firstVersion; version < firstVersion + versions; ++version) {
            m_deployment.putConfiguration(version, { prefixOf(version - 1), prefixOf(version) });
            auto putAt = std::chrono::steady_clock::now();
            // Each third version comes while all gateways of a part of the fleet start at the same moment.
            int restarts = version % 3 == 0 ? gatewayCount / 2 : 1;
            for (int n = 0; n < restarts; ++n)
                restart(fmt::format("g{}", m_random() % gatewayCount));
            while (std::chrono::steady_clock::now() - putAt < changeLimit)
                pause(20ms);
            checkAll(version);
        }
    }

    void end() { m_deployment.end(); }

private:
    void restart(const std::string& name)
    {
        if (m_startedAt.contains(name))
            BOOST_REQUIRE(m_deployment.kill(name));
        m_deployment.start(name, true);
        m_startedAt[name] = std::chrono::steady_clock::now();
    }

    int statusAt(const std::string& name, const std::string& prefix)
    {
        return m_deployment.call(m_deployment.instances[name].callers, "GET", prefix + "1", { { "x-basilpoint-deadline-ms", "900" } }).status;
    }

    void checkAll(int version)
    {
        for (const auto& [name, startedAt] : m_startedAt) {
            if (std::chrono::steady_clock::now() - startedAt < stableTime + changeLimit)
                continue;
            BOOST_TEST(statusAt(name, prefixOf(version)) == 200, name << " does not serve what version " << version << " has added");
            BOOST_TEST(statusAt(name, prefixOf(version - 2)) == 404, name << " serves what version " << version << " has dropped");
        }
    }

    // Never deleted, since fibers of the fakes use it until the process ends.
    Deployment& m_deployment = *new Deployment(1);
    std::mt19937 m_random;
    std::map<std::string, std::chrono::steady_clock::time_point> m_startedAt;
};

/// Gateways that reach the store themselves but watch it through keepers, the first of which fall silent.
class SilentKeeperDay {
public:
    explicit SilentKeeperDay(unsigned seed)
        : m_storeLink(std::make_shared<FakeLink>(testRuntime().io(), m_deployment.store.endpoint()))
        , m_random(seed)
    {
        m_deployment.storeAddresses["k1"] = m_storeLink->endpoint();
        startAll(m_deployment, { { "k1", "z1" }, { "k2", "z2" }, { "k3", "z3" } });
    }

    /// Cuts the first keeper off from the store for good.
    void loseStore() { m_storeLink->cut(CutKind::Silent); }
    void stopKeeper(const std::string& name) { m_deployment.processes[name]->signal(SIGSTOP); }
    void resumeKeeper(const std::string& name) { m_deployment.processes[name]->signal(SIGCONT); }

    /// Makes changes at any moment of a watch, and checks each one at both gateways.
    void changeConfigurations()
    {
        for (const char* name : { "a", "b" })
            spawnFiber([this, name] { runPrograms(name); });
        pause(stableTime);
        for (int version = firstVersion; version < firstVersion + versions; ++version) {
            pause(std::chrono::milliseconds(m_random() % 1'500));
            m_deployment.putConfiguration(version, { prefixOf(version) });
            pause(changeLimit);
            for (const char* name : { "a", "b" })
                BOOST_TEST(m_deployment.call(m_deployment.instances[name].callers, "GET", prefixOf(version) + "1", { { "x-basilpoint-deadline-ms", "900" } }).status == 200, name << " does not serve version " << version);
        }
    }

    void end()
    {
        m_isEnding = true;
        BOOST_TEST(eventually([&] { return m_running == 0; }));
        m_deployment.end();
        m_storeLink->stop();
    }

private:
    // The commits of turns go through the same keepers.
    void runPrograms(const std::string& gateway)
    {
        ++m_running;
        for (int n = 0; !m_isEnding; ++n) {
            m_deployment.turn(gateway, fmt::format("{}-{}", gateway, n), "", "in", fmt::format("program-{}-{}", gateway, n));
            pause(50ms);
        }
        --m_running;
    }

    // Never deleted, as above.
    Deployment& m_deployment = *new Deployment(1);
    std::shared_ptr<FakeLink> m_storeLink;
    std::mt19937 m_random;
    int m_running = 0;
    bool m_isEnding = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationChangeTest)

// Guards against a keeper that reports no change while it does not hear from the store.
BOOST_AUTO_TEST_CASE(changeIsInForceInTimeThoughAKeeperHasLostTheStore)
{
    inFiber([] {
        SilentKeeperDay day(2);
        day.loseStore();
        day.changeConfigurations();
        day.end();
    });
}

// Guards against a watch that waits for one silent keeper after the other.
BOOST_AUTO_TEST_CASE(changeIsInForceInTimeThoughTwoKeepersAreSilent)
{
    inFiber([] {
        SilentKeeperDay day(3);
        for (const char* name : { "k1", "k2" })
            day.stopKeeper(name);
        day.changeConfigurations();
        for (const char* name : { "k1", "k2" })
            day.resumeKeeper(name);
        day.end();
    });
}

// Guards against gateways that keep an older version after a change, or get one back when many start at a time.
BOOST_AUTO_TEST_CASE(changeIsInForceEverywhereInTimeWhileGatewaysRestart)
{
    inFiber([] {
        ChangeDay day(1);
        day.run();
        day.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
