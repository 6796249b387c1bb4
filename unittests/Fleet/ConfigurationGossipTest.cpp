#include "SimulatedFleet.h"

#include "basilpoint/Support/Error.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace basilpoint;
using namespace std::chrono_literals;

/// Time limit for an accepted configuration to be in force on all daemons.
static constexpr auto propagationBound = 10s;

namespace {

/// Model of the key-value service: compare-and-swap edits, and reads that may be stale.
class ServiceModel {
public:
    /// An edit by an operator who has read revision \p seen; refused if the revision has changed since.
    bool edit(const EnvironmentId& id, Revision seen, const std::string& document)
    {
        auto& history = m_history[id];
        if (Revision(history.size()) != seen)
            return false;
        history.push_back({ seen.next(), document });
        return true;
    }

    Revision revision(const EnvironmentId& id) const { return m_history.contains(id) ? Revision(m_history.at(id).size()) : Revision(); }
    /// Result of a read that lags by \p lag revisions.
    std::optional<StoredEnvironment> read(const EnvironmentId& id, std::size_t lag) const
    {
        auto it = m_history.find(id);
        if (it == m_history.end() || it->second.size() <= lag)
            return {};
        return it->second[it->second.size() - 1 - lag];
    }
    bool accepted(const EnvironmentId& id, const StoredEnvironment& stored) const
    {
        auto it = m_history.find(id);
        return it != m_history.end() && stored.revision.value() <= it->second.size() && it->second[stored.revision.value() - 1] == stored;
    }
    const auto& history() const { return m_history; }

private:
    std::map<EnvironmentId, std::vector<StoredEnvironment>> m_history;
};

/// A simulated fleet with the service's model. Counts applied revisions that do not increase or were never accepted.
struct ConfiguredFleet {
    ConfiguredFleet(double loss, std::uint64_t seed)
        : fleet({ .loss = loss, .withConfiguration = true }, seed)
    {
        fleet.onApplied = [this](std::size_t daemon, const ApplyEnvironmentAction& action) {
            violations += !service.accepted(action.environment, action.stored);
            Revision& last = seen[daemon][action.environment];
            violations += action.stored.revision <= last;
            last = action.stored.revision;
        };
    }

    void edit(const EnvironmentId& id) { service.edit(id, service.revision(id), "document " + std::to_string(++edits)); }

    void applyWatch(std::size_t daemon, const EnvironmentId& id, std::size_t lag)
    {
        if (auto stored = service.read(id, lag))
            fleet.perform(daemon, fleet.daemons()[daemon].configuration->stored(id, *stored, fleet.now()));
    }

    void applyList(std::size_t daemon)
    {
        for (const auto& [id, history] : service.history())
            applyWatch(daemon, id, 0);
        fleet.daemons()[daemon].configuration->markListComplete();
    }

    /// Restarts a daemon, as a new member, with the configuration that it kept on disk.
    void restart(std::size_t daemon)
    {
        auto kept = fleet.daemons()[daemon].configuration->inForce();
        fleet.stop(daemon);
        std::size_t fresh = fleet.start();
        fleet.daemons()[fresh].configuration->restore(kept);
        for (const auto& [id, stored] : kept)
            seen[fresh][id] = stored.revision;
    }

    bool inForceEverywhere()
    {
        for (auto& daemon : fleet.daemons()) {
            if (!daemon.up || daemon.paused)
                continue;
            const auto& documents = daemon.configuration->inForce();
            if (documents.size() != service.history().size())
                return false;
            for (const auto& [id, stored] : documents) {
                if (stored.revision != service.revision(id))
                    return false;
            }
        }
        return true;
    }

    /// Whether all daemons that report ready hold at least the revisions in \p accepted.
    bool readyDaemonsAreCurrent(const std::map<EnvironmentId, Revision>& accepted)
    {
        for (auto& daemon : fleet.daemons()) {
            if (!daemon.up || daemon.paused || !daemon.configuration->ready())
                continue;
            for (const auto& [id, revision] : accepted) {
                auto it = daemon.configuration->inForce().find(id);
                if (it == daemon.configuration->inForce().end() || it->second.revision < revision)
                    return false;
            }
        }
        return true;
    }

    std::chrono::nanoseconds runUntilInForce()
    {
        return fleet.runUntil([this] { return inForceEverywhere(); }, propagationBound);
    }

    SimulatedFleet fleet;
    ServiceModel service;
    std::map<std::size_t, std::map<EnvironmentId, Revision>> seen;
    unsigned edits = 0;
    unsigned violations = 0;
};

} // namespace

static EnvironmentId environment(std::size_t n)
{
    return EnvironmentId("environment-" + std::to_string(n));
}

BOOST_AUTO_TEST_SUITE(ConfigurationGossipTest)

BOOST_AUTO_TEST_CASE(changeSeenByOneDaemonReachesAllWithinTenSeconds)
{
    for (double loss : { 0.0, 0.01, 0.05 }) {
        ConfiguredFleet it(loss, 11);
        it.fleet.start(100);
        it.edit(environment(0));
        it.applyList(0);
        it.fleet.run(20s);
        it.edit(environment(0));
        it.edit(environment(1));
        it.applyWatch(0, environment(0), 0);
        it.applyWatch(0, environment(1), 0);
        BOOST_TEST((it.runUntilInForce() < propagationBound));
        BOOST_TEST(it.violations == 0U);
    }
}

BOOST_AUTO_TEST_CASE(daemonJoiningDuringServiceOutagePullsAllFromPeersBeforeReady)
{
    ConfiguredFleet it(0.01, 12);
    it.fleet.start(7);
    for (std::size_t n = 0; n < 2'000; ++n)
        it.edit(environment(n));
    for (std::size_t n = 0; n < 7; ++n)
        it.applyList(n);
    it.fleet.run(5s);
    BOOST_TEST(it.inForceEverywhere());
    auto before = it.fleet.traffic(&SimulatedFleet::Daemon::configurationSent);
    std::size_t joined = it.fleet.start();
    BOOST_TEST(!it.fleet.daemons()[joined].configuration->ready());
    BOOST_TEST((it.fleet.runUntil([&] { return it.fleet.daemons()[joined].configuration->ready(); }, propagationBound) < propagationBound));
    BOOST_TEST(it.inForceEverywhere());
    auto after = it.fleet.traffic(&SimulatedFleet::Daemon::configurationSent);
    // 2,000 documents of 50 B including ids, mostly sent once. The bound fails if replies trigger further replies.
    BOOST_TEST(after.bytes - before.bytes < 2'000U * 50 * 5);
    it.restart(2);
    BOOST_TEST((it.fleet.runUntil([&] { return it.fleet.daemons().back().configuration->ready(); }, propagationBound) < propagationBound));
    BOOST_TEST(it.violations == 0U);
}

BOOST_AUTO_TEST_CASE(singleDaemonIsReadyOnlyOnceTheServiceIsListed)
{
    ConfigurationGossip lone(InstanceId("i"), 13);
    lone.setPeers({});
    lone.tick(TimePoint(1h));
    BOOST_TEST(!lone.ready());
    lone.markListComplete();
    BOOST_TEST(lone.ready());
}

BOOST_AUTO_TEST_CASE(partitionOfAnHourWithEditsOnBothSidesConverges)
{
    ConfiguredFleet it(0.01, 14);
    it.fleet.start(12);
    for (std::size_t n = 0; n < 300; ++n)
        it.edit(environment(n));
    it.applyList(0);
    it.applyList(11);
    it.fleet.run(10s);
    it.fleet.isCut = [](std::size_t from, std::size_t to) { return (from < 4) != (to < 4); };
    for (std::size_t n = 0; n < 40; ++n) {
        it.edit(environment(n * 7));
        it.applyWatch(n % 2 == 0 ? 0 : 11, environment(n * 7), 0);
        it.fleet.run(90s);
    }
    it.fleet.isCut = nullptr;
    BOOST_TEST((it.runUntilInForce() < propagationBound));
    BOOST_TEST(it.violations == 0U);
}

BOOST_AUTO_TEST_CASE(messagesRoundTripAndInvalidOnesAreRefused)
{
    InstanceId from("i");
    for (const ConfigurationMessage& message : std::vector<ConfigurationMessage> {
             RevisionDigestMessage { from, { { environment(1), Revision(3) } }, ~0ULL, { 7, 255 }, true, true, true, true },
             BucketHashesMessage { from, { 1, ~0ULL } },
             PullMessage { from, { environment(1) } },
             DocumentsMessage { from, { { environment(1), { Revision(3), "{}" } } } } })
        BOOST_TEST((decodeConfigurationMessage(encodeConfigurationMessage(message)) == message));
    for (const std::string& bytes : { std::string(), std::string("\x81\x09", 2), std::string("\x82\x00\x61", 3) })
        BOOST_CHECK_THROW(decodeConfigurationMessage(bytes), InvalidInputError);
}

/// Injects one event: an edit, a watch that lags, a restart of a daemon, or a network partition or its end.
static void injectEvent(ConfiguredFleet& it)
{
    auto daemon = *rc::gen::inRange<std::size_t>(0, it.fleet.daemons().size());
    auto id = environment(*rc::gen::inRange<std::size_t>(0, 5));
    bool up = it.fleet.daemons()[daemon].up;
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
        it.edit(id);
        break;
    case 2:
    case 3:
        if (up)
            it.applyWatch(daemon, id, *rc::gen::inRange<std::size_t>(0, 3));
        break;
    case 4:
        // Two operators have read the same revision: the second edit must be refused.
        if (Revision seen = it.service.revision(id); it.service.edit(id, seen, "first " + std::to_string(++it.edits)))
            RC_ASSERT(!it.service.edit(id, seen, "second"));
        break;
    case 5:
        if (up)
            it.restart(daemon);
        break;
    case 6:
        it.fleet.isCut = [=](std::size_t from, std::size_t to) { return (from < daemon) != (to < daemon); };
        break;
    case 7:
        it.fleet.isCut = nullptr;
        break;
    }
}

BOOST_AUTO_TEST_CASE(revisionsNeverDecreaseAndReachAllAfterRandomEvents)
{
    BOOST_TEST(rc::check("configuration against the service's history", [] {
        ConfiguredFleet it(*rc::gen::element(0.0, 0.01, 0.05), *rc::gen::arbitrary<std::uint64_t>());
        it.fleet.start(*rc::gen::inRange<std::size_t>(3, 9));
        it.fleet.run(5s);
        for (int n = *rc::gen::inRange(1, 25); n > 0; --n) {
            injectEvent(it);
            it.fleet.run(Milliseconds(*rc::gen::inRange(10, 4'000)));
        }
        it.fleet.isCut = nullptr;
        // Membership takes its own time to converge after a partition; measure the gossip from then on.
        it.fleet.runUntil([&] { return it.fleet.hasConverged(); }, 30s);
        for (std::size_t n = 0; n < it.fleet.daemons().size(); ++n) {
            if (it.fleet.daemons()[n].up) {
                it.applyList(n);
                break;
            }
        }
        RC_ASSERT(it.runUntilInForce() < propagationBound);
        RC_ASSERT(it.violations == 0U);
        std::map<EnvironmentId, Revision> accepted;
        for (const auto& [id, history] : it.service.history())
            accepted[id] = it.service.revision(id);
        it.fleet.start();
        it.fleet.run(5s);
        RC_ASSERT(it.readyDaemonsAreCurrent(accepted));
    }));
}

BOOST_AUTO_TEST_SUITE_END()
