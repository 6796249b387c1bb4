#include "KeeperMembership.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace basilpoint;

namespace {

/// Keepers that probe each other once a second and share one view; changes complete at once.
class Fleet {
public:
    explicit Fleet(unsigned tolerated)
        : m_tolerated(tolerated)
    {
    }

    void add(const std::string& name, const std::string& dataCentre)
    {
        RelayAddress address { name, DataCentreId(dataCentre), { "127.0.0.1", 1 }, true };
        m_keepers[name] = std::make_unique<KeeperMembership>(address, m_tolerated);
    }

    void kill(const std::string& name) { m_keepers.erase(name); }

    /// Cuts the connections between two keepers.
    void cut(const std::string& one, const std::string& other)
    {
        m_cuts.insert({ one, other });
        m_cuts.insert({ other, one });
    }

    KeeperMembership& keeper(const std::string& name) { return *m_keepers.at(name); }

    void setGateways(std::size_t n)
    {
        for (auto& [name, keeper] : m_keepers)
            keeper->setGateways(n);
    }

    void pass(std::chrono::seconds time)
    {
        for (TimePoint end = m_now + time; m_now < end; m_now += std::chrono::seconds(1)) {
            for (auto& [name, keeper] : m_keepers)
                probeFrom(name, *keeper);
            for (auto& [name, keeper] : m_keepers)
                act(*keeper);
        }
    }

    InstanceNames members() const { return namesOf(m_view.members); }
    const KeeperView& view() const { return m_view; }
    std::uint64_t version() const { return m_view.version; }

    /// Whether keepers can complete changes.
    bool mayComplete = true;

private:
    void probeFrom(const std::string& name, KeeperMembership& keeper)
    {
        keeper.setView(m_view, m_now);
        for (const RelayAddress& it : m_view.all()) {
            if (it.instance == name)
                continue;
            auto other = m_keepers.find(it.instance);
            if (other == m_keepers.end() || m_cuts.contains({ name, it.instance }))
                keeper.failed(it.instance, m_now);
            else {
                keeper.answered(it.instance, other->second->report(m_now), m_now);
                if (!m_view.contains(name))
                    other->second->standbySeen(keeper.self(), m_now);
            }
        }
    }

    void act(KeeperMembership& keeper)
    {
        keeper.setView(m_view, m_now);
        KeeperMembership::Step step = keeper.next(m_now);
        if (step.action == KeeperMembership::Action::Begin)
            m_view = step.next;
        else if (step.action == KeeperMembership::Action::Complete && mayComplete)
            m_view = completeChange(m_view);
    }

    unsigned m_tolerated;
    TimePoint m_now { std::chrono::hours(1) };
    KeeperView m_view;
    std::map<std::string, std::unique_ptr<KeeperMembership>> m_keepers;
    std::set<std::pair<std::string, std::string>> m_cuts;
};

/// Three data centres with two instances each; \ref Fleet::members() are those wanted for one lost disk.
Fleet startedFleet(unsigned tolerated = 1)
{
    Fleet fleet(tolerated);
    for (const char* it : { "a", "b", "c" })
        for (const char* n : { "1", "2" })
            fleet.add(std::string(it) + n, it);
    fleet.pass(std::chrono::seconds(10));
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperMembershipTest)

BOOST_AUTO_TEST_CASE(oneMemberMoreThanAQuorumInEachDataCentreFirst)
{
    Fleet fleet = startedFleet();
    BOOST_TEST(fleet.members() == (InstanceNames { "a1", "b1", "c1" }), boost::test_tools::per_element());
    BOOST_TEST(!fleet.view().isJoint());
    // A stable fleet changes nothing.
    std::uint64_t version = fleet.version();
    fleet.pass(std::chrono::seconds(30));
    BOOST_TEST(fleet.version() == version);
    BOOST_TEST(startedFleet(2).members().size() == 5U);
}

// Reads need the answers of all members then, so each further member that restarts would interrupt them.
BOOST_AUTO_TEST_CASE(oneMemberWhereNoDiskMayBeLost)
{
    Fleet fleet = startedFleet(0);
    BOOST_TEST(fleet.members().size() == 1U);
    std::string first = *fleet.members().begin();
    fleet.keeper(first).empty(first);
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members().size() == 1U);
    BOOST_TEST(!fleet.members().contains(first));
}

BOOST_AUTO_TEST_CASE(fewerDataCentresThanWantedMembersStillFormAQuorum)
{
    Fleet fleet(2);
    for (const char* it : { "a1", "a2", "a3", "a4", "a5" })
        fleet.add(it, "a");
    fleet.pass(std::chrono::seconds(20));
    BOOST_TEST(fleet.members().size() == 5U);
}

// A change waits for entries to be stored while its members are too few to keep them.
BOOST_AUTO_TEST_CASE(changeIsTakenBackIfTheOnlyMemberThatStaysIsLost)
{
    Fleet fleet(1);
    for (const char* it : { "a", "b", "c" })
        fleet.add(std::string(it) + "1", it);
    fleet.pass(std::chrono::seconds(10));
    fleet.keeper("a1").empty("a1");
    fleet.pass(std::chrono::seconds(10));
    fleet.kill("a1");
    fleet.mayComplete = false;
    fleet.keeper("c1").empty("c1");
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members() == (InstanceNames { "b1" }), boost::test_tools::per_element());
    BOOST_REQUIRE(fleet.view().isJoint());
    fleet.kill("b1");
    fleet.add("b2", "b");
    fleet.pass(std::chrono::seconds(15));
    // Gateways can read, though no change could be completed.
    BOOST_TEST(isReadQuorum(fleet.view(), { "c1", "b2" }, 1));
    std::uint64_t version = fleet.version();
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.version() == version);
    fleet.mayComplete = true;
    fleet.pass(std::chrono::seconds(20));
    BOOST_TEST(fleet.members() == (InstanceNames { "b2" }), boost::test_tools::per_element());
}

// Members too few for a write quorum have nothing that is not stored, so that nobody need wait for them.
BOOST_AUTO_TEST_CASE(standbyBeginsAViewIfTheOnlyMemberIsLost)
{
    Fleet fleet(1);
    for (const char* it : { "a", "b", "c" })
        fleet.add(std::string(it) + "1", it);
    fleet.pass(std::chrono::seconds(10));
    for (const char* it : { "a1", "c1" }) {
        fleet.keeper(it).empty(it);
        fleet.pass(std::chrono::seconds(10));
        fleet.kill(it);
    }
    BOOST_TEST(fleet.members() == (InstanceNames { "b1" }), boost::test_tools::per_element());
    BOOST_REQUIRE(!fleet.view().isJoint());
    fleet.kill("b1");
    fleet.add("b2", "b");
    fleet.add("c2", "c");
    fleet.pass(std::chrono::seconds(20));
    BOOST_TEST(fleet.members() == (InstanceNames { "b2", "c2" }), boost::test_tools::per_element());
    BOOST_TEST(!fleet.view().isJoint());
}

// Their entries may be nowhere else.
BOOST_AUTO_TEST_CASE(standbyDoesNotReplaceMembersThatTookEntries)
{
    Fleet fleet(1);
    for (const char* it : { "a1", "b1", "c1" })
        fleet.add(it, std::string(it).substr(0, 1));
    fleet.pass(std::chrono::seconds(10));
    for (const char* it : { "a1", "b1", "c1" })
        fleet.kill(it);
    std::uint64_t version = fleet.version();
    fleet.add("a2", "a");
    fleet.pass(std::chrono::seconds(40));
    BOOST_TEST(fleet.version() == version);
}

BOOST_AUTO_TEST_CASE(standbyJoinsBeforeAnEmptiedMemberLeaves)
{
    Fleet fleet = startedFleet();
    fleet.keeper("b1").empty("b1");
    fleet.mayComplete = false;
    fleet.pass(std::chrono::seconds(2));
    BOOST_TEST(namesOf(fleet.view().members).contains("b1"));
    BOOST_TEST(namesOf(fleet.view().members).contains("b2"));
    fleet.mayComplete = true;
    fleet.pass(std::chrono::seconds(5));
    BOOST_TEST(fleet.members() == (InstanceNames { "a1", "b2", "c1" }), boost::test_tools::per_element());
    // It does not join again.
    fleet.pass(std::chrono::seconds(20));
    BOOST_TEST(!fleet.members().contains("b1"));
}

BOOST_AUTO_TEST_CASE(emptiedMemberLeavesIfNoInstanceStandsBy)
{
    Fleet fleet(1);
    fleet.add("a", "a");
    fleet.add("b", "b");
    fleet.pass(std::chrono::seconds(5));
    fleet.keeper("a").empty("a");
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members() == (InstanceNames { "b" }), boost::test_tools::per_element());
    // The last one has nobody to give its entries to.
    fleet.keeper("b").empty("b");
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members().size() == 1U);
}

BOOST_AUTO_TEST_CASE(killedMemberThatIsToBeEmptiedIsRemoved)
{
    Fleet fleet(1);
    for (const char* it : { "a", "b", "c" })
        fleet.add(it, it);
    fleet.pass(std::chrono::seconds(5));
    fleet.kill("a");
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members().contains("a"));
    for (const char* it : { "b", "c" })
        fleet.keeper(it).empty("a");
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members() == (InstanceNames { "b", "c" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(goneMemberIsReplacedByAStandby)
{
    Fleet fleet = startedFleet();
    fleet.kill("c1");
    fleet.pass(std::chrono::seconds(2));
    BOOST_TEST(fleet.members().contains("c1"));
    fleet.pass(std::chrono::seconds(6));
    BOOST_TEST(fleet.members() == (InstanceNames { "a1", "b1", "c2" }), boost::test_tools::per_element());
    // It stands by when it comes back.
    fleet.add("c1", "c");
    std::uint64_t version = fleet.version();
    fleet.pass(std::chrono::seconds(20));
    BOOST_TEST(fleet.version() == version);
}

BOOST_AUTO_TEST_CASE(keeperThatIsCutOffAloneRemovesNoMember)
{
    Fleet fleet = startedFleet();
    std::uint64_t version = fleet.version();
    for (const char* it : { "a1", "b1", "c1" })
        fleet.cut("a2", it);
    fleet.cut("b2", "b1");
    fleet.cut("a1", "b1");
    fleet.pass(std::chrono::seconds(20));
    BOOST_TEST(fleet.version() == version);
}

BOOST_AUTO_TEST_CASE(livingKeepersOfOneDataCentreDoNotRemoveEachOther)
{
    Fleet fleet(1);
    for (const char* it : { "a1", "a2", "a3" })
        fleet.add(it, "a");
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members().size() == 3U);
    std::uint64_t version = fleet.version();
    fleet.cut("a1", "a2");
    fleet.pass(std::chrono::seconds(20));
    BOOST_TEST(fleet.version() == version);
}

BOOST_AUTO_TEST_CASE(changeContinuesWithoutAKeeperThatIsGone)
{
    Fleet fleet = startedFleet();
    fleet.keeper("b1").empty("b1");
    fleet.mayComplete = false;
    fleet.pass(std::chrono::seconds(2));
    BOOST_TEST(fleet.view().isJoint());
    fleet.kill("b2");
    fleet.mayComplete = true;
    fleet.pass(std::chrono::seconds(12));
    BOOST_TEST(!fleet.view().isJoint());
    BOOST_TEST(!fleet.members().contains("b1"));
    BOOST_TEST(!fleet.members().contains("b2"));
    BOOST_TEST(fleet.members().size() == 3U);
}

// Five members that served 259 gateways in an outage answered none of them in time.
BOOST_AUTO_TEST_CASE(membersGrowWithTheNumberOfGateways)
{
    Fleet fleet(2);
    for (const char* dataCentre : { "a", "b", "c", "d", "e" })
        for (int n = 0; n < 7; ++n)
            fleet.add(dataCentre + std::to_string(n), dataCentre);
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members().size() == 5U);
    fleet.setGateways(100);
    std::uint64_t before = fleet.version();
    fleet.pass(std::chrono::seconds(5));
    BOOST_TEST(fleet.members().size() == 15U);
    // One change, from joint view to completion.
    BOOST_TEST(fleet.version() == before + 2);
    std::map<std::string, int> membersIn;
    for (const RelayAddress& it : fleet.view().members)
        ++membersIn[it.dataCentre.text()];
    for (const auto& [dataCentre, n] : membersIn)
        BOOST_TEST(n == 3, dataCentre);
    fleet.setGateways(1'000);
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members().size() == 35U);
    // Members stay when gateways leave, since each change moves entries.
    fleet.setGateways(20);
    before = fleet.version();
    fleet.pass(std::chrono::seconds(20));
    BOOST_TEST(fleet.version() == before);
}

BOOST_AUTO_TEST_CASE(emptiedStandbyIsNotAdded)
{
    Fleet fleet = startedFleet();
    for (const char* it : { "a1", "b1", "c1", "a2" })
        fleet.keeper(it).empty("a2");
    fleet.setGateways(100);
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members() == (InstanceNames { "a1", "b1", "b2", "c1", "c2" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(goneMemberIsReplacedWhileFewerMembersThanWantedForTheLoadRemain)
{
    Fleet fleet = startedFleet();
    fleet.setGateways(35);
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members().size() == 5U);
    std::string gone = *fleet.members().rbegin();
    fleet.kill(gone);
    fleet.pass(std::chrono::seconds(10));
    BOOST_TEST(fleet.members().size() == 5U);
    BOOST_TEST(!fleet.members().contains(gone));
}

BOOST_AUTO_TEST_SUITE_END()
