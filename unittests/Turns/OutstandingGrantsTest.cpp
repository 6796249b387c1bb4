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
    BOOST_TEST(!doubt.covers(p));
    BOOST_TEST(!doubt.needsNames(start));
}

BOOST_AUTO_TEST_CASE(wordCoversAllProgramsUntilTheKeepersNameThem)
{
    OutstandingGrants doubt(false, start);
    doubt.wordGiven(start);
    BOOST_TEST(doubt.covers(p));
    BOOST_TEST(doubt.needsNames(start + second));
    doubt.programsNamed({ p }, start + second);
    BOOST_TEST(doubt.covers(p));
    BOOST_TEST(!doubt.covers(q));
    BOOST_TEST(!doubt.needsNames(start + second));
    BOOST_TEST(doubt.needsNames(start + 4 * second));
    doubt.programsNamed({}, start + 4 * second);
    BOOST_TEST(!doubt.covers(p));
    BOOST_TEST(!doubt.needsNames(start + 40 * second));
}

BOOST_AUTO_TEST_CASE(namesFromBeforeTheLastWordCountForNothing)
{
    OutstandingGrants doubt(false, start);
    doubt.wordGiven(start);
    doubt.wordGiven(start + second);
    doubt.programsNamed({}, start);
    BOOST_TEST(doubt.covers(p));
    doubt.programsNamed({}, start + second);
    BOOST_TEST(!doubt.covers(p));
    doubt.wordGiven(start + 2 * second);
    BOOST_TEST(doubt.covers(p));
}

BOOST_AUTO_TEST_CASE(restartedDaemonDoubtsUntilTheKeepersAnswer)
{
    OutstandingGrants doubt(true, start);
    BOOST_TEST(doubt.covers(p));
    BOOST_TEST(doubt.needsNames(start + 100 * second));
    doubt.programsNamed({}, start);
    BOOST_TEST(!doubt.covers(p));
    BOOST_TEST(!doubt.needsNames(start + 100 * second));
}

BOOST_AUTO_TEST_SUITE_END()
