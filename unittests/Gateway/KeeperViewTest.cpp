#include "basilpoint/Gateway/KeeperView.h"

#include "basilpoint/Support/Random.h"
#include "basilpoint/Turns/Errors.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>

using namespace basilpoint;

namespace {

RelayAddress keeper(const std::string& name)
{
    return { name, DataCentreId("dc-" + name), { "127.0.0.1", 1 }, true };
}

std::vector<RelayAddress> keepers(const std::string& names)
{
    std::vector<RelayAddress> all;
    for (char it : names)
        all.push_back(keeper(std::string(1, it)));
    return all;
}

InstanceNames names(const std::string& names)
{
    return namesOf(keepers(names));
}

/// Faults planted in the protocol, which the random runs must find.
enum class Fault {
    None,
    NoSeal,
    NoTransfer,
    NoJointView,
    OldViewAcknowledged,
    ViewForgottenWithDisk,
    /// Calls under a joint view go to the committee of the new members only.
    OneCommittee,
    /// Only members that join receive entries, not those that are new in a program's committee.
    OnlyJoiningReceive,
};

/// Keepers, a store with the view, and daemons that know any of the views, with every message lost or late at random.
class ViewModel {
public:
    ViewModel(std::uint64_t seed, unsigned tolerated, std::size_t instances, Fault fault)
        : m_random(seed)
        , m_tolerated(tolerated)
        , m_fault(fault)
    {
        for (std::size_t n = 0; n < instances; ++n)
            m_keepers[std::string(1, static_cast<char>('a' + n))];
        std::vector<RelayAddress> first;
        for (std::size_t n = 0; n <= tolerated; ++n)
            first.push_back(keeper(std::string(1, static_cast<char>('a' + n))));
        m_views.push_back({ 1, first });
        for (const RelayAddress& it : first)
            m_keepers[it.instance] = { m_views.back(), {}, true, true };
    }

    /// \returns false if a read missed an entry that had been acknowledged before it began.
    bool run(int steps)
    {
        while (steps-- > 0) {
            switch (pick(8)) {
            case 0:
            case 1:
                write();
                break;
            case 2:
            case 3:
                if (!read())
                    return false;
                break;
            case 4:
                begin();
                break;
            case 5:
                complete();
                break;
            case 6:
                wipe();
                break;
            default:
                readView();
                synchronize();
            }
        }
        return true;
    }

    int changes() const { return m_changes; }
    int writes() const { return static_cast<int>(m_acknowledged.size()); }

private:
    struct Keeper {
        KeeperView view {};
        std::set<int> entries {};
        bool isSynchronized = false;
        /// Whether the view has been read from the disk or the store since the start.
        bool isViewRead = false;
    };

    std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }
    bool isLost() { return pick(3) == 0; }

    const KeeperView& stored() const { return m_views.back(); }
    // A daemon may know any view since the last read of the list.
    const KeeperView& knownView() { return m_views[m_views.size() - 1 - pick(std::min<std::size_t>(m_views.size(), 4))]; }

    void install(const std::string& name, const KeeperView& view)
    {
        Keeper& it = m_keepers[name];
        bool isViewRead = it.isViewRead || m_fault == Fault::ViewForgottenWithDisk;
        if (view.version <= it.view.version || !isViewRead)
            return;
        it.view = view;
        bool isJoining = view.isJoint() && namesOf(view.members).contains(name) && !namesOf(view.previous).contains(name);
        if (isJoining || !view.contains(name)) {
            it.isSynchronized = false;
            it.entries.clear();
        }
        if (!view.isJoint())
            std::erase_if(it.entries, [&](int entry) { return !view.keeps(name, programOf(entry), m_tolerated); });
    }

    bool accepts(const std::string& name, const KeeperView& view)
    {
        if (isLost())
            return false;
        install(name, view);
        return m_keepers[name].view.contains(name) && (m_keepers[name].view.version == view.version || m_fault == Fault::OldViewAcknowledged);
    }

    void readView()
    {
        std::string name(1, static_cast<char>('a' + pick(m_keepers.size())));
        m_keepers[name].isViewRead = true;
        install(name, stored());
    }

    ProgramId programOf(int entry) const { return ProgramId(std::to_string(entry % programs)); }

    /// The keepers that a daemon asks for a program.
    KeeperView scopeOf(const KeeperView& view, const ProgramId& program) const
    {
        KeeperView scope = view.committeeOf(program, m_tolerated);
        if (m_fault == Fault::OneCommittee)
            scope.previous.clear();
        return scope;
    }

    void write()
    {
        KeeperView view = knownView();
        int entry = ++m_entry;
        InstanceNames kept;
        KeeperView scope = scopeOf(view, programOf(entry));
        for (const RelayAddress& it : scope.all()) {
            if (!accepts(it.instance, view))
                continue;
            m_keepers[it.instance].entries.insert(entry);
            kept.insert(it.instance);
        }
        if (isWriteQuorum(scope, kept, m_tolerated))
            m_acknowledged.insert(entry);
    }

    bool read()
    {
        KeeperView view = knownView();
        int program = static_cast<int>(pick(programs));
        // Some reads are for all programs.
        bool isOfAll = pick(4) == 0;
        KeeperView scope = isOfAll ? view : scopeOf(view, programOf(program));
        std::set<int> expected;
        for (int it : m_acknowledged)
            if (isOfAll || it % programs == program)
                expected.insert(it);
        InstanceNames answered;
        std::set<int> found;
        for (const RelayAddress& it : scope.all()) {
            if (!accepts(it.instance, view) || !m_keepers[it.instance].isSynchronized)
                continue;
            answered.insert(it.instance);
            found.insert(m_keepers[it.instance].entries.begin(), m_keepers[it.instance].entries.end());
            // The daemon does not wait for more answers than it needs.
            if (isReadQuorum(scope, answered, m_tolerated))
                return std::includes(found.begin(), found.end(), expected.begin(), expected.end());
        }
        return true;
    }

    void begin()
    {
        std::vector<RelayAddress> members = stored().members;
        bool mayShrink = members.size() > m_tolerated + 1;
        std::string other(1, static_cast<char>('a' + pick(m_keepers.size())));
        bool isMember = namesOf(members).contains(other);
        if (isMember && !mayShrink)
            return;
        if (isMember)
            std::erase_if(members, [&](const RelayAddress& it) { return it.instance == other; });
        else
            members.push_back(keeper(other));
        // Some changes replace a member.
        if (!isMember && pick(2) == 0)
            members.erase(members.begin());
        KeeperView next = beginChange(stored(), std::move(members));
        if (m_fault == Fault::NoJointView)
            next.previous.clear();
        m_views.push_back(next);
    }

    void complete()
    {
        KeeperView joint = stored();
        if (!joint.isJoint())
            return;
        InstanceNames installed;
        for (const RelayAddress& it : joint.all())
            if (!isLost()) {
                install(it.instance, joint);
                if (m_keepers[it.instance].view == joint)
                    installed.insert(it.instance);
            }
        if (!isSealed(joint, installed, m_tolerated) && m_fault != Fault::NoSeal)
            return;
        std::set<int> collected;
        InstanceNames complete;
        for (const std::string& it : installed) {
            for (int entry : m_keepers[it].entries)
                if (joint.movesEntriesOf(programOf(entry), m_tolerated))
                    collected.insert(entry);
            if (m_keepers[it].isSynchronized)
                complete.insert(it);
        }
        if (!isReadQuorum({ joint.version, joint.previous }, complete, m_tolerated))
            return;
        for (const RelayAddress& it : joint.members) {
            if (m_fault != Fault::NoTransfer && isLost())
                return;
            Keeper& member = m_keepers[it.instance];
            install(it.instance, joint);
            if (member.view != joint)
                return;
            bool isJoining = !namesOf(joint.previous).contains(it.instance);
            bool receives = m_fault != Fault::NoTransfer && (m_fault != Fault::OnlyJoiningReceive || isJoining);
            for (int entry : collected)
                if (receives && completeChange(joint).keeps(it.instance, programOf(entry), m_tolerated))
                    member.entries.insert(entry);
            // A member that lost its disk has not received the entries that stay where they are.
            member.isSynchronized = member.isSynchronized || isJoining;
        }
        m_views.push_back(completeChange(joint));
        ++m_changes;
    }

    // No more disks are lost than tolerated, counted until their journals are complete again.
    void wipe()
    {
        std::string name(1, static_cast<char>('a' + pick(m_keepers.size())));
        std::size_t incomplete = 0;
        for (const RelayAddress& it : stored().all())
            incomplete += m_keepers[it.instance].isSynchronized || it.instance == name ? 0 : 1;
        if (incomplete < m_tolerated)
            m_keepers[name] = {};
    }

    void synchronize()
    {
        KeeperView view = stored();
        std::string name(1, static_cast<char>('a' + pick(m_keepers.size())));
        if (view.isJoint() || !namesOf(view.members).contains(name) || isLost())
            return;
        install(name, view);
        InstanceNames complete;
        std::set<int> collected;
        for (const RelayAddress& it : view.members) {
            if (it.instance == name || isLost() || !m_keepers[it.instance].isSynchronized)
                continue;
            complete.insert(it.instance);
            for (int entry : m_keepers[it.instance].entries)
                if (view.keeps(name, programOf(entry), m_tolerated))
                    collected.insert(entry);
        }
        if (!isReadQuorum(view, complete, m_tolerated))
            return;
        m_keepers[name].entries.insert(collected.begin(), collected.end());
        m_keepers[name].isSynchronized = true;
    }

    static constexpr int programs = 6;

    RandomEngine m_random;
    unsigned m_tolerated;
    Fault m_fault;
    std::map<std::string, Keeper> m_keepers;
    std::vector<KeeperView> m_views;
    std::set<int> m_acknowledged;
    int m_entry = 0;
    int m_changes = 0;
};

struct RunCounts {
    int violations = 0;
    int changes = 0;
    int writes = 0;
};

RunCounts runModels(Fault fault, std::uint64_t runs)
{
    RunCounts counts;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        unsigned tolerated = 1 + static_cast<unsigned>(seed % 2);
        // Both views whose committees have all members, and those with more members.
        std::size_t instances = seed % 4 < 2 ? tolerated + 4 : committeeSize(tolerated) + 4;
        ViewModel model(seed, tolerated, instances, fault);
        // A change needs the answers of all members, so with many of them it succeeds less often.
        int steps = instances > committeeSize(tolerated) + 1 ? 300 : 200;
        counts.violations += model.run(steps) ? 0 : 1;
        counts.changes += model.changes();
        counts.writes += model.writes();
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperViewTest)

BOOST_AUTO_TEST_CASE(everyReadQuorumMeetsEveryWriteQuorum)
{
    KeeperView view { 1, keepers("abcd") };
    BOOST_TEST(isWriteQuorum(view, names("abc"), 2));
    BOOST_TEST(!isWriteQuorum(view, names("ab"), 2));
    BOOST_TEST(isReadQuorum(view, names("cd"), 2));
    BOOST_TEST(!isReadQuorum(view, names("d"), 2));
    BOOST_TEST(!isReadQuorum(view, names("dx"), 2));
}

BOOST_AUTO_TEST_CASE(noMoreMembersThanMayBeLostStillAnswerReads)
{
    KeeperView view { 3, keepers("ab") };
    BOOST_TEST(isReadQuorum(view, names("b"), 2));
    BOOST_TEST(!isReadQuorum(view, {}, 2));
    BOOST_TEST(!isWriteQuorum(view, names("ab"), 2));
    BOOST_TEST(!isReadQuorum({}, names("ab"), 2));
}

BOOST_AUTO_TEST_CASE(jointViewNeedsQuorumsOfBothMemberSets)
{
    KeeperView joint = beginChange({ 4, keepers("abc") }, keepers("bcd"));
    BOOST_TEST(joint.version == 5U);
    BOOST_TEST(joint.all().size() == 4U);
    BOOST_TEST(isWriteQuorum(joint, names("bcd"), 1));
    BOOST_TEST(!isWriteQuorum(joint, names("ad"), 1));
    BOOST_TEST(!isReadQuorum(joint, names("ab"), 1));
    BOOST_TEST(isReadQuorum(joint, names("bc"), 1));
    BOOST_TEST(isSealed(joint, names("ab"), 1));
    BOOST_TEST(!isSealed(joint, names("ad"), 1));
    BOOST_TEST((completeChange(joint) == KeeperView { 6, keepers("bcd") }));
    BOOST_TEST((beginChange(joint, keepers("abc")) == KeeperView { 6, keepers("abc") }));
    BOOST_TEST((beginChange(joint, keepers("abd")).previous == keepers("abc")));
}

BOOST_AUTO_TEST_CASE(committeesShareTheProgramsEvenly)
{
    KeeperView view { 1, {} };
    for (int n = 0; n < 36; ++n)
        view.members.push_back(keeper("keeper-" + std::to_string(n)));
    std::map<std::string, int> programsOf;
    constexpr int total = 7'200;
    for (int n = 0; n < total; ++n) {
        KeeperView committee = view.committeeOf(ProgramId("program-" + std::to_string(n)), 2);
        BOOST_REQUIRE(committee.members.size() == 5U);
        for (const RelayAddress& it : committee.members)
            ++programsOf[it.instance];
    }
    BOOST_TEST(programsOf.size() == 36U);
    for (const auto& [name, n] : programsOf)
        BOOST_TEST(std::abs(n - total * 5 / 36) < total * 5 / 36 / 5, name);
}

// If all committees changed with each member, each change would move all entries.
BOOST_AUTO_TEST_CASE(memberThatLeavesChangesOnlyItsOwnCommittees)
{
    KeeperView view { 1, keepers("abcdefghijkl") };
    KeeperView next { 2, keepers("abcdefghijk") };
    for (int n = 0; n < 500; ++n) {
        ProgramId program("program-" + std::to_string(n));
        InstanceNames before = namesOf(view.committeeOf(program, 1).members);
        InstanceNames after = namesOf(next.committeeOf(program, 1).members);
        if (!before.contains("l"))
            BOOST_TEST((before == after));
    }
    // With no more members than quorums need, all are in each committee.
    BOOST_TEST((KeeperView { 1, keepers("abc") }.committeeOf(ProgramId("p"), 1).members == keepers("abc")));
}

BOOST_AUTO_TEST_CASE(encodedViewsAreRestoredAndDamagedOnesThrow)
{
    KeeperView joint = beginChange({ 4, keepers("abc") }, keepers("bcd"));
    BOOST_TEST((decodeView(encodeView(joint)) == joint));
    BOOST_TEST((decodeView(encodeView({ 1, keepers("a") })) == KeeperView { 1, keepers("a") }));
    for (const char* it : { "", "{}", "[]", "{\"version\":1,\"members\":[{}]}", "{\"version\":1,\"members\":[{\"instance\":\"a\",\"dataCentre\":\"z\",\"address\":\"nowhere\"}]}" })
        BOOST_CHECK_THROW(decodeView(it), DamagedRecordError);
}

BOOST_AUTO_TEST_CASE(readsFindAcknowledgedEntriesAcrossMembershipChanges)
{
    RunCounts counts = runModels(Fault::None, 3'000);
    BOOST_TEST(counts.violations == 0);
    // The runs do change the membership and acknowledge entries.
    BOOST_TEST(counts.changes > 3'000);
    BOOST_TEST(counts.writes > 3'000);
}

BOOST_AUTO_TEST_CASE(randomRunsFindPlantedFaultsOfTheViewChange)
{
    for (Fault it : { Fault::NoSeal, Fault::NoTransfer, Fault::NoJointView, Fault::OldViewAcknowledged, Fault::ViewForgottenWithDisk, Fault::OneCommittee, Fault::OnlyJoiningReceive })
        BOOST_TEST(runModels(it, 3'000).violations > 0, "fault " << static_cast<int>(it) << " was not found");
}

BOOST_AUTO_TEST_SUITE_END()
