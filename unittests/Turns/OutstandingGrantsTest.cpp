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

BOOST_AUTO_TEST_CASE(daemonThatGaveNoWordHasNoDoubt)
{
    OutstandingGrants doubt(false, start);
    BOOST_TEST(!doubt.mayAffect(p));
    BOOST_TEST(!doubt.needsQuery(start));
}

BOOST_AUTO_TEST_CASE(wordCoversAllProgramsUntilTheKeepersNameThem)
{
    OutstandingGrants doubt(false, start);
    doubt.attestationGiven(start);
    BOOST_TEST(doubt.mayAffect(p));
    BOOST_TEST(doubt.needsQuery(start + second));
    doubt.setPrograms({ p }, start + second);
    BOOST_TEST(doubt.mayAffect(p));
    BOOST_TEST(!doubt.mayAffect(q));
    BOOST_TEST(!doubt.needsQuery(start + second));
    BOOST_TEST(doubt.needsQuery(start + 4 * second));
    doubt.setPrograms({}, start + 4 * second);
    BOOST_TEST(!doubt.mayAffect(p));
    BOOST_TEST(!doubt.needsQuery(start + 40 * second));
}

BOOST_AUTO_TEST_CASE(namesFromBeforeTheLastWordCountForNothing)
{
    OutstandingGrants doubt(false, start);
    doubt.attestationGiven(start);
    doubt.attestationGiven(start + second);
    doubt.setPrograms({}, start);
    BOOST_TEST(doubt.mayAffect(p));
    doubt.setPrograms({}, start + second);
    BOOST_TEST(!doubt.mayAffect(p));
    doubt.attestationGiven(start + 2 * second);
    BOOST_TEST(doubt.mayAffect(p));
}

BOOST_AUTO_TEST_CASE(restartedDaemonDoubtsUntilTheKeepersAnswer)
{
    OutstandingGrants doubt(true, start);
    BOOST_TEST(doubt.mayAffect(p));
    BOOST_TEST(doubt.needsQuery(start + 100 * second));
    doubt.setPrograms({}, start);
    BOOST_TEST(!doubt.mayAffect(p));
    BOOST_TEST(!doubt.needsQuery(start + 100 * second));
}

BOOST_AUTO_TEST_SUITE_END()
