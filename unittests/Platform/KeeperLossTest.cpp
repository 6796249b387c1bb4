#include "Deployment.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

// Longer than it takes until a silent member counts as gone and daemons have read the view without it.
constexpr auto replacementLimit = 40s;
// Time in which turns must be served once all gateways have restarted.
constexpr auto recoveryLimit = 12s;

bool isOnlyMember(const Deployment& deployment, const std::string& keeper)
{
    Json view = Json::parse(deployment.store.valueOf("daemons/.keepers"));
    return !view.contains("previous") && view.at("members").size() == 1 && view["members"][0].at("instance") == keeper;
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperLossTest)

// Guards against keepers that wait for ever for a lost member, which has nothing that is not stored.
BOOST_AUTO_TEST_CASE(turnsAreServedAfterTheOnlyKeeperLeftIsLostAndGatewaysRestart)
{
    inFiber([] {
        // Never deleted, since fibers of the fakes use it until the process ends.
        auto& deployment = *new Deployment(1);
        startAll(deployment, { { "k1", "z" }, { "k2", "y" }, { "k3", "x" } });
        BOOST_REQUIRE(eventually([&] { return deployment.turn("a", "t1", "", "in1;") == 200; }));
        for (const char* it : { "k1", "k2" })
            emptyAndRemove(deployment, it);
        BOOST_TEST(deployment.turn("b", "t2", "t1", "in2;") == 200);
        BOOST_REQUIRE(isOnlyMember(deployment, "k3"));
        BOOST_REQUIRE(deployment.kill("k3"));
        std::filesystem::remove_all(deployment.folder / "k3");
        // An empty machine in its place, which is not one of the first start.
        deployment.instances["k4"].starts = 1;
        deployment.start("k4", false, "x");
        BOOST_TEST(eventually([&] { return isOnlyMember(deployment, "k4"); }, replacementLimit));
        for (const char* it : { "a", "b" })
            BOOST_REQUIRE(deployment.kill(it));
        for (const char* it : { "a", "b" })
            deployment.start(it, true);
        BOOST_TEST(eventually([&] { return deployment.turn("a", "t3", "t2", "in3;") == 200; }, recoveryLimit));
        BOOST_TEST(deployment.engine.runs.back().body == "in1;one-t1\ntwo-t1\nin2;one-t2\ntwo-t2\nin3;");
        deployment.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
