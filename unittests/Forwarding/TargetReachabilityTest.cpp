#include "basilpoint/Forwarding/TargetReachability.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace std::chrono_literals;
using Access = TargetReachability::Access;

namespace {

struct Fixture {
    Registration& add(const char* service, const std::string& id)
    {
        auto target = std::make_unique<Registration>();
        target->id = TargetId(id);
        target->service = ServiceId(service);
        services[service].push_back(target.get());
        return *targets.emplace_back(std::move(target));
    }

    void add(const char* service, unsigned count)
    {
        for (unsigned n = 0; n < count; ++n)
            add(service, std::string(service) + "-" + std::to_string(n));
    }

    std::vector<const Registration*> probe(const char* service) { return reachability.takeDueProbes(services[service], now); }

    /// Probes the targets of all services until nothing more is due at this moment; those of \p isReachable succeed.
    unsigned probeAll(const std::function<bool(const Registration&)>& isReachable, bool isRefused = false)
    {
        unsigned probes = 0;
        for (bool isDue = true; isDue;) {
            isDue = false;
            for (const auto& [name, all] : services)
                for (const Registration* it : reachability.takeDueProbes(all, now)) {
                    isDue = true;
                    ++probes;
                    isReachable(*it) ? reachability.connected(*it, now) : reachability.failed(*it, isRefused, now);
                }
        }
        return probes;
    }

    bool isCutOff(const char* service) { return reachability.isCutOff(services[service]); }
    Access access(const char* service, std::size_t n) { return reachability.accessTo(*services[service][n], services[service]); }

    void cutOff(bool isRefused = false)
    {
        for (const auto& [name, all] : services)
            reachability.failed(*all.front(), isRefused, now);
        probeAll([](const Registration&) { return false; }, isRefused);
    }

    TimePoint now { 1h };
    std::vector<std::unique_ptr<Registration>> targets;
    std::map<std::string, std::vector<const Registration*>> services;
    TargetReachability reachability { 7 };
};

const auto none = [](const Registration&) { return false; };
const auto all = [](const Registration&) { return true; };

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetReachabilityTest, Fixture)

BOOST_AUTO_TEST_CASE(targetThatFailsAloneIsNoCut)
{
    add("models", 9);
    reachability.failed(*services["models"][0], false, now);
    probeAll([&](const Registration& it) { return &it != services["models"][0]; });
    BOOST_TEST(!isCutOff("models"));
    BOOST_TEST((access("models", 0) == Access::None));
    BOOST_TEST((access("models", 1) == Access::Full));
}

BOOST_AUTO_TEST_CASE(fewProbesShowACutInAFleetOfAnySize)
{
    for (unsigned size : { 1U, 3U, 9U, 300U }) {
        Fixture fleet;
        fleet.add("models", size);
        fleet.reachability.failed(*fleet.services["models"][0], false, fleet.now);
        BOOST_TEST(fleet.probeAll(none) <= 8U);
        BOOST_TEST(fleet.isCutOff("models"));
        for (std::size_t n = 0; n < size; ++n)
            BOOST_TEST((fleet.access("models", n) == Access::None));
    }
}

// The failures of one service raise the question for the others, which have not been called for a while.
BOOST_AUTO_TEST_CASE(cutIsFoundForServicesWithoutCalls)
{
    add("models", 9);
    add("tools", 3);
    reachability.failed(*services["models"][0], false, now);
    probeAll(none);
    BOOST_TEST(isCutOff("models"));
    BOOST_TEST(isCutOff("tools"));
}

BOOST_AUTO_TEST_CASE(serviceThatIsDownIsTheOnlyOneCutOff)
{
    add("models", 9);
    add("tools", 3);
    reachability.failed(*services["models"][0], false, now);
    probeAll([](const Registration& it) { return it.service == ServiceId("tools"); });
    BOOST_TEST(isCutOff("models"));
    BOOST_TEST(!isCutOff("tools"));
    BOOST_TEST((access("tools", 1) == Access::Full));
}

BOOST_AUTO_TEST_CASE(answerBetweenFailuresShowsThatThereIsNoCut)
{
    add("models", 5);
    reachability.sent(*services["models"][4], now);
    for (std::size_t n = 0; n < 4; ++n) {
        reachability.failed(*services["models"][n], false, now);
        now += 10ms;
        reachability.heard(services["models"][4]->id, now);
    }
    BOOST_TEST(!isCutOff("models"));
    BOOST_TEST((access("models", 4) == Access::Full));
}

BOOST_AUTO_TEST_CASE(silenceOfACalledServiceIsFoundWithoutAFailedCall)
{
    add("models", 9);
    reachability.sent(*services["models"][2], now);
    now += 100ms;
    BOOST_TEST(probeAll(none) == 0U);
    now += 200ms;
    BOOST_TEST(probeAll(none) >= 5U);
    BOOST_TEST(isCutOff("models"));
}

// All engines may pause at once, as under load.
BOOST_AUTO_TEST_CASE(targetsThatAreSilentTogetherAreCheckedOnceAndStayInUse)
{
    add("models", 9);
    for (const Registration* it : services["models"])
        reachability.sent(*it, now);
    unsigned probes = 0;
    for (unsigned n = 0; n < 10; ++n) {
        now += 100ms;
        probes += probeAll(all);
    }
    BOOST_TEST(probes >= 1U);
    BOOST_TEST(probes <= 27U);
    for (std::size_t n = 0; n < 9; ++n)
        BOOST_TEST((access("models", n) == Access::Full));
}

BOOST_AUTO_TEST_CASE(cutUnderLoadIsFoundInOneRoundOfProbes)
{
    add("models", 9);
    for (std::size_t n = 0; n < 2; ++n)
        reachability.sent(*services["models"][n], now);
    now += 210ms;
    auto probes = probe("models");
    BOOST_TEST(probes.size() == 5U);
    for (const Registration* it : probes)
        reachability.failed(*it, false, now + 150ms);
    BOOST_TEST(isCutOff("models"));
}

// The others answer, so only after a second is it worth a connection to see whether the target still listens.
BOOST_AUTO_TEST_CASE(silentTargetIsCheckedOnceInAWhileAndStaysInUse)
{
    add("models", 3);
    for (const Registration* it : services["models"])
        reachability.sent(*it, now);
    unsigned probes = 0;
    for (unsigned n = 0; n < 50; ++n) {
        now += 100ms;
        reachability.heard(services["models"][1]->id, now);
        reachability.heard(services["models"][2]->id, now);
        probes += probeAll(all);
        if (n < 10)
            BOOST_TEST(probes == 0U);
    }
    BOOST_TEST(probes >= 1U);
    BOOST_TEST(probes <= 4U);
    BOOST_TEST((access("models", 0) == Access::Full));
}

BOOST_AUTO_TEST_CASE(refusalsLeaveOpenConnectionsInUse)
{
    add("models", 3);
    cutOff(true);
    for (std::size_t n = 0; n < 3; ++n)
        BOOST_TEST((access("models", n) == Access::OpenConnections));
}

// Cuts end for all targets at once, so those that failed meanwhile are tried again.
BOOST_AUTO_TEST_CASE(allTargetsAreInUseAgainAfterTheCut)
{
    add("models", 9);
    cutOff();
    for (unsigned n = 0; n < 20 && isCutOff("models"); ++n) {
        now += 100ms;
        probeAll(all);
    }
    BOOST_TEST(!isCutOff("models"));
    for (std::size_t n = 0; n < 9; ++n)
        BOOST_TEST((access("models", n) == Access::Full));
}

BOOST_AUTO_TEST_CASE(oneSuccessAmongFailuresDoesNotEndTheCut)
{
    add("models", 9);
    cutOff();
    for (unsigned n = 0; n < 100; ++n) {
        now += 100ms;
        probeAll([&](const Registration& it) { return &it == services["models"][3]; });
        BOOST_TEST(isCutOff("models"));
    }
}

BOOST_AUTO_TEST_CASE(probesDuringACutAreFew)
{
    add("models", 300);
    cutOff();
    unsigned probes = 0;
    for (unsigned n = 0; n < 100; ++n) {
        now += 100ms;
        probes += probeAll(none);
    }
    BOOST_TEST(probes <= 80U);
    BOOST_TEST(probes >= 20U);
}

BOOST_AUTO_TEST_CASE(newLifetimeOfTheOnlyTargetIsTriedAtOnce)
{
    add("models", 1);
    cutOff();
    BOOST_TEST(isCutOff("models"));
    reachability.forget(services["models"][0]->id);
    BOOST_TEST(!isCutOff("models"));
    BOOST_TEST((access("models", 0) == Access::Full));
}

BOOST_AUTO_TEST_SUITE_END()
