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

BOOST_AUTO_TEST_CASE(removedTargetIsDroppedAtOnceWhileTheSourceAnswers)
{
    directory.replaceAll({ target("1"), target("2") }, now);
    directory.remove(TargetId("1"), now);
    BOOST_TEST(directory.sweep(now).size() == 1U);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(renewedRegistrationDoesNotUndoThatALifetimeLeaves)
{
    directory.replaceAll({ target("1") }, now);
    BOOST_TEST(directory.markLeaving(TargetId("1"), 1, now));
    BOOST_TEST(!directory.markLeaving(TargetId("1"), 1, now));
    BOOST_TEST(usable() == 0U);
    BOOST_TEST((directory.put(target("1")) == TargetDirectory::PutResult::None));
    BOOST_TEST(usable() == 0U);
    directory.remove(TargetId("1"), now);
    BOOST_TEST(directory.sweep(now).size() == 1U);
    directory.put(target("1"));
    BOOST_TEST(usable() == 0U);
    Registration restarted = target("1");
    restarted.startedAt = 2;
    BOOST_TEST((directory.put(restarted) == TargetDirectory::PutResult::Restarted));
    BOOST_TEST(usable() == 1U);
    // An old answer of the earlier lifetime.
    BOOST_TEST(!directory.markLeaving(TargetId("1"), 1, now));
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(leavingTargetTakesNoNewCallsButCanBeFound)
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

BOOST_AUTO_TEST_CASE(expiredTargetsStayForTheGracePeriodAfterAnOutage)
{
    directory.replaceAll({ target("1"), target("2") }, now);
    directory.sourceLost();
    now += std::chrono::seconds(5);
    directory.replaceAll({ target("2") }, now);
    BOOST_TEST(directory.sweep(now + TargetDirectory::renewalGrace - Milliseconds(1)).empty());
    BOOST_TEST(usable() == 2U);
    BOOST_TEST(directory.sweep(now + TargetDirectory::renewalGrace).size() == 1U);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(expiredTargetThatRegistersAgainStays)
{
    directory.replaceAll({ target("1"), target("2") }, now);
    directory.sourceLost();
    directory.sourceRegained(now);
    directory.remove(TargetId("1"), now);
    directory.put(target("1"));
    BOOST_TEST(directory.sweep(now + TargetDirectory::renewalGrace).empty());
    BOOST_TEST(usable() == 2U);
}

// A renewed registration that was unchanged used to leave the scheduled drop in place, so that a running target was
// dropped after the grace period.
BOOST_AUTO_TEST_CASE(expiredTargetThatRegistersAgainUnchangedStays)
{
    directory.replaceAll({ target("1") }, now);
    directory.sourceLost();
    directory.remove(TargetId("1"), now);
    directory.sourceRegained(now);
    BOOST_TEST((directory.put(target("1")) == TargetDirectory::PutResult::None));
    BOOST_TEST(directory.sweep(now + 2 * TargetDirectory::renewalGrace).empty());
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(putDistinguishesRestartsFromChanges)
{
    BOOST_TEST((directory.put(target("1")) == TargetDirectory::PutResult::New));
    BOOST_TEST((directory.put(target("1", true)) == TargetDirectory::PutResult::Changed));
    Registration restarted = target("1");
    restarted.startedAt = 2;
    BOOST_TEST((directory.put(restarted) == TargetDirectory::PutResult::Restarted));
}

BOOST_AUTO_TEST_CASE(leavingTargetGetsNoGracePeriod)
{
    directory.replaceAll({ target("1"), target("2") }, now);
    directory.put(target("1", true));
    directory.sourceLost();
    directory.replaceAll({ target("2") }, now);
    BOOST_TEST(directory.sweep(now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
