#include "CutDay.h"

#include <boost/test/data/test_case.hpp>

using namespace basilpoint;
using namespace basilpoint::test;
namespace data = boost::unit_test::data;

BOOST_AUTO_TEST_SUITE(TargetCutTest)

BOOST_DATA_TEST_CASE(callersOfAGatewayThatIsCutOffFromAllTargetsAreServed, data::make(allKinds), kind)
{
    inFiber([kind] {
        auto& day = *new CutDay;
        day.cut("a", kind);
        day.serveFor(detectionLimit);
        auto counts = day.serveFor(3s);
        BOOST_TEST(counts["b"].isServed());
        BOOST_TEST(counts["a"].isServed());
        BOOST_TEST(3 * counts["a"].served * counts["b"].tried >= 2 * counts["b"].served * counts["a"].tried);
        day.checkRuns();
        day.end();
    });
}

// Without pooled connections, every call needs a new one.
BOOST_AUTO_TEST_CASE(callersAreServedWhenNewConnectionsAreRefusedAndPooledOnesHaveExpired)
{
    inFiber([] {
        auto& day = *new CutDay;
        for (FakeTarget* it : day.targets())
            it->answerHeaders["keep-alive"] = "timeout=0";
        day.serveFor(1s);
        day.cut("a", CutKind::RefuseNew);
        day.serveFor(detectionLimit);
        auto counts = day.serveFor(3s);
        BOOST_TEST(counts["a"].isServed());
        BOOST_TEST(counts["b"].isServed());
        day.checkRuns();
        day.end();
    });
}

BOOST_DATA_TEST_CASE(gatewayUsesItsOwnPathsAgainAfterACut, data::make(allKinds), kind)
{
    inFiber([kind] {
        auto& day = *new CutDay;
        for (int n = 0; n < 2; ++n) {
            day.cut("a", kind);
            day.serveFor(2s);
            day.heal("a");
            day.serveFor(2s);
            unsigned before = day.relays("a");
            auto counts = day.serveFor(1s);
            BOOST_TEST(counts["a"].served == counts["a"].tried);
            BOOST_TEST(day.relays("a") == before);
        }
        day.checkRuns();
        day.end();
    });
}

BOOST_AUTO_TEST_CASE(targetsThatPauseForASecondAreNotTakenForACut)
{
    inFiber([] {
        auto& day = *new CutDay;
        for (FakeTarget* it : day.targets())
            it->delay = 1'300ms;
        unsigned served = 0;
        for (unsigned n = 0; n < 3; ++n) {
            day.callers += 2;
            for (const char* it : { "a", "b" })
                spawnFiber([&, it] {
                    served += day.turn(it) == 200 ? 1 : 0;
                    --day.callers;
                });
        }
        day.awaitCallers();
        BOOST_TEST(served == 6U);
        for (const char* it : { "a", "b" })
            BOOST_TEST(!day.hasLogged(it, "cut-off\""));
        day.end();
    });
}

BOOST_AUTO_TEST_CASE(callersAreServedWhenOnlySomeTargetsAreOutOfReach)
{
    inFiber([] {
        auto& day = *new CutDay;
        // One of the tools remains within reach.
        for (FakeTarget* it : day.targets())
            if (it != day.deployment.moreTools.back().get())
                day.deployment.linkTo("a", *it).cut(CutKind::Silent);
        day.serveFor(detectionLimit);
        auto counts = day.serveFor(3s);
        BOOST_TEST(counts["a"].isServed());
        BOOST_TEST(counts["b"].isServed());
        BOOST_TEST(!day.hasLogged("a", "\"cut-off\""));
        day.checkRuns();
        day.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
