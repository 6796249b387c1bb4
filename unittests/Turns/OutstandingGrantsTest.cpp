#include "basilpoint/Turns/OutstandingGrants.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

struct Fixture {
    ProgramId p { "p" };
    ProgramId q { "q" };
    TimePoint start { std::chrono::hours(1) };
    Milliseconds second { 1'000 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OutstandingGrantsTest, Fixture)

BOOST_AUTO_TEST_CASE(noProgramIsAffectedWithoutAnAttestation)
{
    OutstandingGrants grants(false, start);
    BOOST_TEST(!grants.mayAffect(p));
    BOOST_TEST(!grants.needsQuery(start));
}

BOOST_AUTO_TEST_CASE(attestationAffectsAllProgramsUntilTheKeepersListThem)
{
    OutstandingGrants grants(false, start);
    grants.attestationGiven(start);
    BOOST_TEST(grants.mayAffect(p));
    BOOST_TEST(grants.needsQuery(start + second));
    grants.setPrograms({ p }, start + second);
    BOOST_TEST(grants.mayAffect(p));
    BOOST_TEST(!grants.mayAffect(q));
    BOOST_TEST(!grants.needsQuery(start + second));
    BOOST_TEST(grants.needsQuery(start + 4 * second));
    grants.setPrograms({}, start + 4 * second);
    BOOST_TEST(!grants.mayAffect(p));
    BOOST_TEST(!grants.needsQuery(start + 40 * second));
}

BOOST_AUTO_TEST_CASE(listFromBeforeTheLastAttestationIsIgnored)
{
    OutstandingGrants grants(false, start);
    grants.attestationGiven(start);
    grants.attestationGiven(start + second);
    grants.setPrograms({}, start);
    BOOST_TEST(grants.mayAffect(p));
    grants.setPrograms({}, start + second);
    BOOST_TEST(!grants.mayAffect(p));
    grants.attestationGiven(start + 2 * second);
    BOOST_TEST(grants.mayAffect(p));
}

BOOST_AUTO_TEST_CASE(afterARestartAllProgramsAreAffectedUntilTheKeepersAnswer)
{
    OutstandingGrants grants(true, start);
    BOOST_TEST(grants.mayAffect(p));
    BOOST_TEST(grants.needsQuery(start + 100 * second));
    grants.setPrograms({}, start);
    BOOST_TEST(!grants.mayAffect(p));
    BOOST_TEST(!grants.needsQuery(start + 100 * second));
}

BOOST_AUTO_TEST_CASE(earlierLifetimesWithoutAttestationsLeaveNothingToAsk)
{
    OutstandingGrants grants(true, start);
    grants.noEarlierAttestations();
    BOOST_TEST(!grants.mayAffect(p));
    BOOST_TEST(!grants.needsQuery(start));
    grants.attestationGiven(start + second);
    grants.noEarlierAttestations();
    BOOST_TEST(grants.mayAffect(p));
}

// Hundreds of daemons that asked again at once kept the keepers from answering any of them.
BOOST_AUTO_TEST_CASE(unansweredQueriesAreRepeatedLessAndLessOften)
{
    OutstandingGrants grants(true, start);
    int queries = 0;
    for (TimePoint now = start; now < start + 10 * second; now += Milliseconds(100)) {
        if (!grants.needsQuery(now))
            continue;
        ++queries;
        grants.queryFailed(now);
    }
    BOOST_TEST(queries >= 5);
    BOOST_TEST(queries <= 10);
    grants.setPrograms({}, start + 10 * second);
    BOOST_TEST(!grants.mayAffect(p));
}

BOOST_AUTO_TEST_SUITE_END()
