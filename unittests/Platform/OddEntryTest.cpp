#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace basilpoint::test;

namespace {

/// Registrations that other writers may leave; none names a target to use.
std::vector<std::string> oddRegistrations()
{
    std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    auto with = [](const char* field, const std::string& value) {
        nlohmann::json json { { "service", "tools" }, { "addr", "127.0.0.1:1" }, { "zone", "z" }, { "slots", 4 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "born", 1 } };
        json[field] = "PLACE";
        std::string text = json.dump();
        return text.replace(text.find("\"PLACE\""), 7, value);
    };
    return { "", "null", nested, with("state", nested), with("zone", nested), with("slots", "1e300"), with("slots", "-1"), with("born", "1e300"), with("coldLeftMs", "1e300"), with("addr", "\"127.0.0.1:70000\""),
        with("addr", "\"127.0.0.1:0\""), with("state", "\"\xff\xfe\""), with("service", "7"), std::string(900'000, 'x'), std::string("\0\x01", 2) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddEntryTest)

// Guards against one odd entry that ends the gateways, or hides the targets registered beside and after it.
BOOST_AUTO_TEST_CASE(oddRegistrationsCostNothingButThemselves)
{
    inFiber([] {
        auto& deployment = *new Deployment;
        std::vector<std::string> odd = oddRegistrations();
        auto putAll = [&](const std::string& prefix) {
            for (std::size_t n = 0; n < odd.size(); ++n)
                deployment.store.put("servers/" + prefix + std::to_string(n), odd[n]);
        };
        putAll("a-early-");
        startAll(deployment, { { "keeper", defaultZone } });
        auto serves = [&] { return deployment.statusAt(deployment.instances["a"].callers, "POST", "/pay/x", {}, "input") == 200 && deployment.statusAt(deployment.instances["b"].callers, "POST", "/pay/x", {}, "input") == 200; };
        BOOST_TEST(eventually(serves));
        putAll("z-late-");
        // A target that registers after them.
        deployment.tool.crash();
        deployment.tool.restart();
        deployment.put(deployment.tool);
        BOOST_TEST(eventually(serves));
        for (const char* it : { "a", "b", "keeper" })
            BOOST_TEST(deployment.processes[it]->running());
        pause(std::chrono::milliseconds(500));
        std::string log = deployment.processes["a"]->log();
        for (std::size_t n = 0; n < odd.size(); ++n)
            for (const char* prefix : { "a-early-", "z-late-" })
                BOOST_TEST(log.find("\"registration-ignored\",\"key\":\"servers/" + (prefix + std::to_string(n)) + '"') != std::string::npos, prefix << n);
        deployment.end();
    });
}

// Guards against list entries whose value the store itself cannot give, which hid all targets.
BOOST_AUTO_TEST_CASE(itemsOfAnotherShapeCostNothingButThemselves)
{
    inFiber([] {
        auto& deployment = *new Deployment;
        deployment.store.putRaw("servers/i-odd", "not base64");
        deployment.store.putRaw("daemons/odd", "not base64");
        startAll(deployment, { { "keeper", defaultZone } });
        auto serves = [&] { return deployment.statusAt(deployment.instances["a"].callers, "POST", "/pay/x", {}, "input") == 200; };
        BOOST_TEST(eventually(serves));
        deployment.store.putRaw("servers/i-odd", "not base64 either");
        deployment.tool.crash();
        deployment.tool.restart();
        deployment.put(deployment.tool);
        BOOST_TEST(eventually(serves));
        deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
