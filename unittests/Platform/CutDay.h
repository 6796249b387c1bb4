#pragma once

#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

namespace basilpoint::test {

using namespace std::chrono_literals;

/// Time after the start of a cut by which callers of the gateway that is cut off are served as others are.
inline constexpr auto detectionLimit = 3s;
inline constexpr auto callInterval = 40ms;
inline const char* const workPath = "/work/x";
inline const char* const payPath = "/pay/x";
inline const CutKind allKinds[] = { CutKind::Silent, CutKind::Reset, CutKind::RefuseNew };

/// Gateways that reach each target by a link of their own, which can be cut, while clients, the store and the gateways
/// reach each other.
class CutDay {
public:
    explicit CutDay(const std::vector<std::string>& gatewayNames = { "a", "b" })
        : deployment(*new Deployment(0, 2))
        , gateways(gatewayNames)
    {
        deployment.putConfiguration(5, { "/work/" });
        deployment.put(deployment.spare);
        for (FakeTarget* it : targets())
            it->delay = 10ms;
        for (const std::string& it : gateways) {
            deployment.linkTargets(it);
            deployment.start(it, true);
        }
        BOOST_REQUIRE(eventually([&] { return std::all_of(gateways.begin(), gateways.end(), [&](const std::string& it) { return deployment.isReady(it) && deployment.store.has("daemons/" + it) && knowsAll(it); }); }));
        for (const std::string& it : gateways)
            for (int n = 0; n < 5; ++n)
                BOOST_REQUIRE(eventually([&] { return work(it).status == 200 && turn(it) == 200; }));
    }

    std::vector<FakeTarget*> targets()
    {
        std::vector<FakeTarget*> all { &deployment.engine, &deployment.spare, &deployment.tool };
        for (const auto& it : deployment.moreTools)
            all.push_back(it.get());
        return all;
    }

    void cut(const std::string& gateway, CutKind kind) { deployment.cut(gateway, kind); }
    void heal(const std::string& gateway) { deployment.heal(gateway); }

    HttpResponse work(const std::string& gateway, const std::string& body = "w", const char* path = workPath)
    {
        std::string id = fmt::format("work-{}", ++works);
        HttpResponse response = deployment.call(deployment.instances[gateway].callers, "POST", path, { { "x-basilpoint-request-id", id }, { "x-basilpoint-deadline-ms", "1000" } }, body);
        if (response.status == 503)
            promisedNotRun.insert(id);
        return response;
    }

    int turn(const std::string& gateway)
    {
        std::string id = fmt::format("turn-{}", ++turns);
        int status = deployment.turn(gateway, id, "", "in;", "program-" + id);
        if (status == 503)
            promisedNotRun.insert(id);
        return status;
    }

    struct Count {
        unsigned tried = 0;
        unsigned served = 0;

        bool isServed() const { return tried - served <= 10 + tried / 50; }
    };

    /// Starts first tries at the gateway, one after the other, until the given time.
    void startCaller(const std::string& gateway, bool isTurn, std::chrono::steady_clock::time_point end, Count& count)
    {
        ++callers;
        spawnFiber([this, gateway, isTurn, end, &count] {
            while (std::chrono::steady_clock::now() < end) {
                ++count.tried;
                count.served += (isTurn ? turn(gateway) : work(gateway).status) == 200 ? 1 : 0;
                pause(callInterval);
            }
            --callers;
        });
    }

    /// Starts non-idempotent calls at the gateway, one after the other, until the given time.
    void startPayer(const std::string& gateway, std::chrono::steady_clock::time_point end, unsigned& served)
    {
        ++callers;
        spawnFiber([this, gateway, end, &served] {
            while (std::chrono::steady_clock::now() < end)
                served += work(gateway, "w", payPath).status == 200 ? 1 : 0;
            --callers;
        });
    }

    /// Counts first tries of calls and turns at each gateway for the given time.
    std::map<std::string, Count> serveFor(std::chrono::milliseconds duration)
    {
        std::map<std::string, Count> counts;
        auto end = std::chrono::steady_clock::now() + duration;
        for (const std::string& it : gateways)
            for (bool isTurn : { false, true })
                startCaller(it, isTurn, end, counts[it]);
        awaitCallers();
        for (const auto& [name, count] : counts)
            BOOST_TEST_MESSAGE(name << ": served " << count.served << " of " << count.tried);
        return counts;
    }

    /// Checks that no call but idempotent ones has run twice, and that none has run whose caller was told that it has not.
    void checkRuns()
    {
        std::set<std::string> ids;
        for (FakeTarget* it : targets())
            for (const auto& run : it->runs) {
                BOOST_TEST((ids.insert(run.call).second || run.isIdempotent), run.call << " has run twice");
                BOOST_TEST(!promisedNotRun.contains(run.call), run.call << " has run");
            }
    }

    unsigned runs()
    {
        std::size_t n = 0;
        for (FakeTarget* it : targets())
            n += it->runs.size();
        return static_cast<unsigned>(n);
    }

    /// Calls that the gateway has sent through another one. Its log is flushed some time later.
    unsigned relays(const std::string& gateway)
    {
        pause(500ms);
        std::string log = logOf(gateway);
        unsigned n = 0;
        for (auto at = log.find("\"relay\",\"request\""); at != std::string::npos; at = log.find("\"relay\",\"request\"", at + 1))
            ++n;
        return n;
    }

    std::string logOf(const std::string& gateway) { return deployment.processes[gateway]->log(); }
    bool hasLogged(const std::string& gateway, const std::string& text) { return logOf(gateway).find(text) != std::string::npos; }

    void awaitCallers()
    {
        BOOST_TEST(eventually([&] { return callers == 0; }, 30s));
    }

    void end()
    {
        awaitCallers();
        deployment.end();
    }

    // Never deleted, since fibers of the fakes use it until the process ends.
    Deployment& deployment;
    std::vector<std::string> gateways;
    unsigned callers = 0;
    unsigned turns = 0;
    unsigned works = 0;
    /// Calls that were answered with the status that promises this.
    std::set<std::string> promisedNotRun;

private:
    // Whether the gateway's log shows that it has read the list with all gateways.
    bool knowsAll(const std::string& gateway)
    {
        return gateways.size() == 1 || hasLogged(gateway, fmt::format("\"count\":{},\"keepers\"", gateways.size() - 1));
    }
};

} // namespace basilpoint::test
