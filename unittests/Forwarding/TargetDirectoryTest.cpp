#include "basilpoint/Forwarding/TargetDirectory.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

struct Fixture {
    Registration target(const std::string& id, bool isLeaving = false)
    {
        return { TargetId(id), ServiceId("pool"), { "10.0.0.1", 80 }, DataCentreId("a"), 1, 4, isLeaving, Milliseconds(0) };
    }

    std::size_t usable() { return directory.usable(ServiceId("pool")).size(); }

    TimePoint now { std::chrono::hours(1) };
    TargetDirectory directory;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetDirectoryTest, Fixture)

BOOST_AUTO_TEST_CASE(removedTargetIsGoneAtOnceWhileTheSourceAnswers)
{
    directory.replaceAll({ target("1"), target("2") }, now);
    directory.remove(TargetId("1"), now);
    BOOST_TEST(directory.sweep(now).size() == 1U);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(leavingTargetTakesNoNewCallsButIsKnown)
{
    directory.replaceAll({ target("1") }, now);
    directory.put(target("1", true), now);
    BOOST_TEST(usable() == 0U);
    BOOST_TEST(directory.find(TargetId("1")));
}

BOOST_AUTO_TEST_CASE(nothingIsDroppedWhileTheSourceIsLost)
{
    directory.replaceAll({ target("1"), target("2") }, now);
    directory.sourceLost();
    directory.remove(TargetId("1"), now);
    BOOST_TEST(directory.sweep(now + std::chrono::minutes(1)).empty());
    BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_CASE(lapsedTargetsStayForTheGraceAfterTheReturn)
{
    directory.replaceAll({ target("1"), target("2") }, now);
    directory.sourceLost();
    now += std::chrono::seconds(5);
    directory.replaceAll({ target("2") }, now);
    BOOST_TEST(directory.sweep(now + TargetDirectory::lapseGrace - Milliseconds(1)).empty());
    BOOST_TEST(usable() == 2U);
    BOOST_TEST(directory.sweep(now + TargetDirectory::lapseGrace).size() == 1U);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(lapsedTargetThatRegistersAgainStays)
{
    directory.replaceAll({ target("1"), target("2") }, now);
    directory.sourceLost();
    directory.sourceRegained(now);
    directory.remove(TargetId("1"), now);
    directory.put(target("1"), now + Milliseconds(500));
    BOOST_TEST(directory.sweep(now + TargetDirectory::lapseGrace).empty());
    BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_CASE(leavingTargetGetsNoGrace)
{
    directory.replaceAll({ target("1"), target("2") }, now);
    directory.put(target("1", true), now);
    directory.sourceLost();
    directory.replaceAll({ target("2") }, now);
    BOOST_TEST(directory.sweep(now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
