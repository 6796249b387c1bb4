#include "basilpoint/Forwarding/RecentPrograms.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start(1h);

} // namespace

BOOST_AUTO_TEST_SUITE(RecentProgramsTest)

BOOST_AUTO_TEST_CASE(programsAreKnownForAMinuteAndByTheirOrganisation)
{
    RecentPrograms programs;
    programs.sent("a", "p", start);
    BOOST_TEST(programs.contains("a", "p", start + 59s));
    BOOST_TEST(!programs.contains("a", "p", start + 60s));
    BOOST_TEST(!programs.contains("b", "p", start));
}

// Guards against memory that grows with the number of programs.
BOOST_AUTO_TEST_CASE(memoryIsBoundedAndTheLatestProgramsAreKept)
{
    RecentPrograms programs;
    for (int n = 0; n < 20'000; ++n)
        programs.sent("a", std::to_string(n), start + n * 1ms);
    BOOST_TEST(programs.size() <= RecentPrograms::maxPrograms);
    BOOST_TEST(programs.contains("a", "19999", start + 20s));
    BOOST_TEST(programs.contains("a", "18500", start + 20s));
}

BOOST_AUTO_TEST_SUITE_END()
