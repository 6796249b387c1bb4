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
    directory.put(target("1", true));
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
    directory.put(target("1"));
    BOOST_TEST(directory.sweep(now + TargetDirectory::lapseGrace).empty());
    BOOST_TEST(usable() == 2U);
}

// CONFIG broke where an unchanged registration was taken for no news and the target dropped after the grace.
BOOST_AUTO_TEST_CASE(lapsedTargetThatComesBackUnchangedIsNoNewsButStays)
{
    directory.replaceAll({ target("1") }, now);
    directory.sourceLost();
    directory.remove(TargetId("1"), now);
    directory.sourceRegained(now);
    BOOST_TEST((directory.put(target("1")) == TargetDirectory::News::None));
    BOOST_TEST(directory.sweep(now + 2 * TargetDirectory::lapseGrace).empty());
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(newsTellRestartsFromChanges)
{
    BOOST_TEST((directory.put(target("1")) == TargetDirectory::News::New));
    BOOST_TEST((directory.put(target("1", true)) == TargetDirectory::News::Changed));
    Registration restarted = target("1");
    restarted.startedAt = 2;
    BOOST_TEST((directory.put(restarted) == TargetDirectory::News::Restarted));
}

BOOST_AUTO_TEST_CASE(leavingTargetGetsNoGrace)
{
    directory.replaceAll({ target("1"), target("2") }, now);
    directory.put(target("1", true));
    directory.sourceLost();
    directory.replaceAll({ target("2") }, now);
    BOOST_TEST(directory.sweep(now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
