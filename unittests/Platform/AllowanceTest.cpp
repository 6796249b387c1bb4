#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/ParseNumber.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

namespace {

// Longer than the interval in which gateways renew their delegations.
constexpr auto renewals = 4'500ms;

/// Value of a counter at a gateway; 0 if it has none.
std::uint64_t counter(Deployment& deployment, const std::string& name, const std::string& counter)
{
    std::string text = "\n" + deployment.call(deployment.instances[name].readiness, "GET", "/metrics").body;
    std::string start = "\n" + counter + " ";
    auto at = text.find(start);
    if (at == std::string::npos)
        return 0;
    at += start.size();
    return parseNumber<std::uint64_t>(text.substr(at, text.find('\n', at) - at)).value_or(0);
}

/// Puts a configuration with one organisation on a public route.
void putOrganisation(Deployment& deployment, int version, double perSecond)
{
    using Json = nlohmann::json;
    Json routes = Json::array({ { { "name", "pay" }, { "host", "h.example" }, { "prefix", "/pay/" }, { "kind", "non_idempotent" }, { "timeoutMs", 3000 }, { "service", "tools" }, { "maxAttempts", 1 } } });
    Json services = Json::array({ { { "name", "models" }, { "healthPath", "/health" } }, { { "name", "tools" } } });
    Json tenants = Json::array({ { { "name", "acme" }, { "apiKeys", { "k1" } }, { "ratePerS", perSecond }, { "burst", perSecond } } });
    deployment.store.put("op/config", Json { { "version", version }, { "routes", routes }, { "services", services }, { "limits", Json::object() }, { "tenants", tenants } }.dump());
}

} // namespace

BOOST_AUTO_TEST_SUITE(AllowanceTest)

// Guards against gateways that exchange no messages on allowances, or do where no organisation is limited, and against a
// coordinator whose end is not noticed.
BOOST_AUTO_TEST_CASE(gatewaysDelegateWhileAnOrganisationIsLimited)
{
    inFiber([] {
        auto& deployment = *new Deployment;
        startAll(deployment, { { "keeper", defaultZone } });
        pause(renewals);
        auto messages = [&] { return counter(deployment, "a", "allowance_messages_total") + counter(deployment, "b", "allowance_messages_total"); };
        auto failures = [&] { return counter(deployment, "a", "allowance_message_failures_total") + counter(deployment, "b", "allowance_message_failures_total"); };
        BOOST_TEST(messages() == 0);

        putOrganisation(deployment, 10, 0);
        pause(renewals);
        BOOST_TEST(messages() == 0);

        // The one partition has one coordinator; the other gateway renews its delegation about every two seconds.
        putOrganisation(deployment, 11, 100);
        BOOST_TEST(eventually([&] { return messages() >= 2; }, 10s));
        pause(renewals);
        std::uint64_t before = messages();
        pause(renewals);
        BOOST_TEST(messages() >= before + 1);
        BOOST_TEST(messages() <= before + 4);
        BOOST_TEST(failures() <= 1);

        std::string other = counter(deployment, "a", "allowance_messages_total") > 0 ? "a" : "b";
        std::string coordinator = other == "a" ? "b" : "a";
        std::uint64_t failed = counter(deployment, other, "allowance_message_failures_total");
        BOOST_TEST(deployment.kill(coordinator));
        BOOST_TEST(eventually([&] { return counter(deployment, other, "allowance_message_failures_total") > failed; }, 10s));
        deployment.processes[other]->signal(SIGTERM);
        BOOST_TEST(eventually([&] { return !deployment.processes[other]->running(); }, 15s));
        BOOST_TEST(deployment.processes[other]->exitStatus() == 0);
        deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
