#include "basilpoint/Forwarding/TargetSelector.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace basilpoint;

namespace {

struct Fixture {
    Fixture()
    {
        for (int n = 0; n < 4; ++n)
            targets.push_back({ TargetId(std::to_string(n)), ServiceId("pool"), { "10.0.0.1", 80 }, DataCentreId(n < 2 ? "near" : "far"), 1, 4, false, Milliseconds(0) });
        for (const Registration& it : targets)
            candidates.push_back(&it);
        query.dataCentre = DataCentreId("near");
    }

    const Registration* choose() { return selector.choose(candidates, query, now); }

    TimePoint now { std::chrono::hours(1) };
    std::vector<Registration> targets;
    std::vector<const Registration*> candidates;
    TargetQuery query;
    TargetSelector selector { 7 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetSelectorTest, Fixture)

BOOST_AUTO_TEST_CASE(spreadsCallsOverNearTargetsBeforeFarOnes)
{
    std::map<std::string, int> chosen;
    for (int n = 0; n < 2; ++n) {
        const Registration* target = choose();
        selector.sent(target->id);
        ++chosen[target->dataCentre.text()];
    }
    BOOST_TEST(chosen["near"] == 2);
    BOOST_TEST(selector.inFlight(TargetId("0")) == 1U);
    BOOST_TEST(selector.inFlight(TargetId("1")) == 1U);
}

BOOST_AUTO_TEST_CASE(goesFarOnceTheNearOnesAreLoaded)
{
    for (const char* id : { "0", "1" })
        for (int n = 0; n < 3; ++n)
            selector.sent(TargetId(id));
    BOOST_TEST(choose()->dataCentre.text() == "far");
}

BOOST_AUTO_TEST_CASE(keepsALineWithTheHolderOfItsPrompt)
{
    query.holder = TargetId("3");
    query.heldTokens = 4'000;
    BOOST_TEST(choose()->id.text() == "3");
}

BOOST_AUTO_TEST_CASE(leavesTheHolderOnceItsPlacesAreTaken)
{
    query.holder = TargetId("1");
    query.heldTokens = 1'000;
    for (int n = 0; n < 6; ++n)
        selector.sent(TargetId("1"));
    BOOST_TEST(choose()->id.text() == "0");
}

BOOST_AUTO_TEST_CASE(avoidsTargetsThatFailedUntilTheirSuspensionEnds)
{
    selector.sent(TargetId("0"));
    selector.ended(TargetId("0"), TargetOutcome::Failed, now);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(choose()->id.text() != "0");
    // With all others tried, a suspended target is better than none.
    query.tried = { TargetId("1"), TargetId("2"), TargetId("3") };
    BOOST_TEST(choose()->id.text() == "0");
    query.tried.insert(TargetId("0"));
    BOOST_TEST(!choose());
}

BOOST_AUTO_TEST_CASE(abandonedCallSaysNothingOfItsTarget)
{
    selector.sent(TargetId("0"));
    selector.sent(TargetId("1"));
    selector.ended(TargetId("0"), TargetOutcome::Abandoned, now);
    BOOST_TEST(choose()->id.text() == "0");
    BOOST_TEST(selector.inFlight(TargetId("0")) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
