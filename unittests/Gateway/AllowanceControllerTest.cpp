#include "AllowanceController.h"

#include "AllowanceCharge.h"
#include "AllowanceCodec.h"
#include "PeerCall.h"
#include "PeerServer.h"

#include "../Net/TestRuntime.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

constexpr Milliseconds settleTime { 3'500 };

Organisation organisationOf(double perSecond, const std::string& name = "acme")
{
    Organisation organisation;
    organisation.name = name;
    organisation.requestsPerSecond = perSecond;
    organisation.burst = perSecond;
    return organisation;
}

RouteTable tableOf(std::vector<Organisation> organisations)
{
    ForwardingConfiguration configuration;
    configuration.version = 1;
    configuration.organisations = std::move(organisations);
    return RouteTable(std::move(configuration));
}

/// A gateway's part for allowances, with a server and a client of its own.
struct Node : std::enable_shared_from_this<Node> {
    explicit Node(std::string instance)
        : name(std::move(instance))
        , log(clock, -1, name)
        , client(testRuntime().io())
        , server(testRuntime().io(), { "127.0.0.1", 0 })
        , controller(
              name, name + "/1", true, [this](const Endpoint& peer, std::string body, Milliseconds limit) { return callPeer(client, peer, peerpaths::lease, std::move(body), limit); },
              [](const std::string&) { return false; }, clock, log, metrics)
    {
    }

    void start()
    {
        server.on(peerpaths::lease, [self = shared_from_this()](const std::string& body) {
            if (self->isSilent)
                pause(1s);
            return self->controller.handle(body);
        });
        server.start();
        spawnFiber([self = shared_from_this()] {
            for (; !self->isStopped; sleepFiber(AllowanceController::tickInterval))
                self->controller.tick();
        });
    }
    std::uint64_t messages() const
    {
        auto it = metrics.counters().find("allowance_messages_total");
        return it == metrics.counters().end() ? 0 : it->second;
    }

    std::string name;
    SystemClock clock;
    Metrics metrics;
    JsonLog log;
    HttpClient client;
    PeerServer server;
    AllowanceController controller;
    bool isSilent = false;
    bool isStopped = false;
};

/// Two gateways that know each other and an organisation.
struct Pair {
    explicit Pair(const Organisation& organisation)
    {
        for (const char* it : { "gateway-1", "gateway-2" })
            nodes.push_back(std::make_shared<Node>(it));
        for (auto& it : nodes) {
            it->start();
            it->controller.update(tableOf({ organisation }));
        }
        nodes[0]->controller.setGateways({ { nodes[1]->name, DataCentreId("a"), nodes[1]->server.endpoint(), false } });
        nodes[1]->controller.setGateways({ { nodes[0]->name, DataCentreId("a"), nodes[0]->server.endpoint(), false } });
    }
    ~Pair()
    {
        for (auto& it : nodes) {
            it->isStopped = true;
            it->server.stop();
        }
    }

    /// The one that coordinates the organisation's partition, and the other.
    Node& coordinator(const Organisation& organisation) const
    {
        AllowancePartitions partitions;
        partitions.setGateways({ nodes[0]->name, nodes[1]->name });
        return partitions.candidates(AllowancePartitions::of(organisation.name)).front() == nodes[0]->name ? *nodes[0] : *nodes[1];
    }
    Node& other(const Organisation& organisation) const { return &coordinator(organisation) == nodes[0].get() ? *nodes[1] : *nodes[0]; }

    std::vector<std::shared_ptr<Node>> nodes;
};

struct Counts {
    unsigned admitted = 0;
    unsigned refused = 0;
    unsigned unknown = 0;
    Milliseconds longest { 0 };
};

/// Sends requests to \p node one by one, every \p distance.
Counts request(Node& node, const Organisation& organisation, Milliseconds duration, Milliseconds distance)
{
    Counts counts;
    TimePoint end = node.clock.now() + duration;
    while (node.clock.now() < end) {
        TimePoint start = node.clock.now();
        Admission admission = node.controller.admit(organisation, start + 10s);
        counts.longest = std::max(counts.longest, std::chrono::duration_cast<Milliseconds>(node.clock.now() - start));
        ++(admission.isAdmitted() ? counts.admitted : admission.outcome == Admission::Outcome::Refused ? counts.refused
                                                                                                       : counts.unknown);
        pause(distance);
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AllowanceControllerTest)

// Guards against an allowance that is exceeded or left unused over two gateways and real messages.
BOOST_AUTO_TEST_CASE(twoGatewaysKeepAndUseTheAllowance)
{
    testRuntime().run([] {
        Organisation organisation = organisationOf(100);
        Pair pair(organisation);
        pause(settleTime);
        Counts first = request(pair.other(organisation), organisation, 1s, 2ms);
        Counts second = request(pair.other(organisation), organisation, 3s, 2ms);
        Counts third = request(pair.coordinator(organisation), organisation, 1s, 2ms);
        BOOST_TEST(first.admitted + second.admitted + third.admitted <= (100 * 5 + 100) * 1.1 + 20);
        BOOST_TEST(second.admitted >= 0.95 * 300 - 5);
        BOOST_TEST(second.refused > 0);
        BOOST_TEST(second.unknown == 0);
    });
}

// Guards against a planned stop of the coordinator that leaves an organisation without tokens.
BOOST_AUTO_TEST_CASE(leavingCoordinatorIsReplacedAtOnce)
{
    testRuntime().run([] {
        Organisation organisation = organisationOf(100);
        Pair pair(organisation);
        pause(settleTime);
        pair.coordinator(organisation).controller.leave();
        pause(500ms);
        Counts counts = request(pair.other(organisation), organisation, 2s, 20ms);
        BOOST_TEST(counts.admitted >= 80);
    });
}

// Guards against requests that wait for a coordinator without an answer longer than allowed, or for ever, and against own
// rights that are not used after the delegation.
BOOST_AUTO_TEST_CASE(silentCoordinatorDelaysRequestsBrieflyAndIsReplaced)
{
    testRuntime().run([] {
        Organisation organisation = organisationOf(100);
        Pair pair(organisation);
        pause(settleTime);
        pair.coordinator(organisation).isSilent = true;
        Node& node = pair.other(organisation);
        Counts before = request(node, organisation, 2s, 20ms);
        BOOST_TEST(before.longest <= AllowanceController::maxWait + 50ms);
        BOOST_TEST(before.unknown > 0);
        pause(5s);
        // Half of the rate: the other half is delegated to the silent one by itself.
        Counts after = request(node, organisation, 2s, 10ms);
        BOOST_TEST(after.admitted >= 85);
        BOOST_TEST(after.admitted <= 155);
    });
}

// Guards against a request that waits for a coordinator beyond its deadline.
BOOST_AUTO_TEST_CASE(admissionEndsAtTheDeadline)
{
    testRuntime().run([] {
        Organisation organisation = organisationOf(100);
        Pair pair(organisation);
        pair.coordinator(organisation).isSilent = true;
        Node& node = pair.other(organisation);
        TimePoint start = node.clock.now();
        Admission admission = node.controller.admit(organisation, start + 30ms);
        BOOST_TEST((admission.outcome == Admission::Outcome::Unknown));
        BOOST_TEST((node.clock.now() - start < 80ms));
    });
}

// Guards against messages and state in deployments that limit no organisation.
BOOST_AUTO_TEST_CASE(nothingIsSentWithoutLimitedOrganisations)
{
    testRuntime().run([] {
        Organisation organisation = organisationOf(0);
        Pair pair(organisation);
        pause(settleTime);
        for (auto& it : pair.nodes) {
            BOOST_TEST(it->controller.admit(organisation, it->clock.now() + 1s).isAdmitted());
            BOOST_TEST(it->messages() == 0);
        }
        BOOST_CHECK_THROW(pair.nodes[0]->controller.handle(encodeAllowanceRequest({ "b", "b/1", 0, {}, 0, false, {} })), PeerUnavailableError);
    });
}

// Guards against a share of the whole limit for a gateway that does not know the others yet.
BOOST_AUTO_TEST_CASE(nothingIsAdmittedBeforeTheListIsKnown)
{
    testRuntime().run([] {
        auto node = std::make_shared<Node>("gateway-1");
        Organisation organisation = organisationOf(100);
        node->controller.update(tableOf({ organisation }));
        BOOST_TEST((node->controller.admit(organisation, node->clock.now() + 1s).outcome == Admission::Outcome::Unknown));
    });
}

// Guards against credits that are kept for requests that have not run, or returned for those that have.
BOOST_AUTO_TEST_CASE(chargeIsGivenBackOnceIfTheRequestHasNotRun)
{
    testRuntime().run([] {
        for (int status : { 402, 404, 429, 503 })
            BOOST_TEST(AllowanceCharge::givesBack(status));
        for (int status : { 200, 400, 500, 502, 504 })
            BOOST_TEST(!AllowanceCharge::givesBack(status));
        Organisation organisation = organisationOf(4);
        Pair pair(organisation);
        pause(settleTime);
        Node& node = pair.coordinator(organisation);
        // No more than the tokens of the pool, of which each is used again and again.
        for (unsigned n = 0; n < 20; ++n) {
            AllowanceCharge charge(node.controller);
            BOOST_TEST(charge.charge(organisation, node.clock.now() + 1s).isAdmitted());
            BOOST_TEST(charge.charge(organisation, node.clock.now() + 1s).isAdmitted());
            charge.ended(503);
        }
        unsigned admitted = 0;
        for (unsigned n = 0; n < 20; ++n) {
            AllowanceCharge charge(node.controller);
            admitted += charge.charge(organisation, node.clock.now() + 1s).isAdmitted() ? 1 : 0;
            charge.ended(200);
        }
        BOOST_TEST(admitted <= 5);
    });
}

// Guards against messages of other versions or damaged ones that end the process.
BOOST_AUTO_TEST_CASE(messagesAreReadAsWritten)
{
    AllowanceRequest request { "b", "b/1", 3, "a/1", 123'456'789'012'345, true, { { "acme", 5, 2 } } };
    BOOST_TEST((decodeAllowanceRequest(encodeAllowanceRequest(request)) == request));
    AllowanceAnswer answer { "a/1", 99, true, { { "acme", 0, 80ms } } };
    BOOST_TEST((decodeAllowanceAnswer(encodeAllowanceAnswer(answer)) == answer));
    BOOST_CHECK_THROW(decodeAllowanceRequest("x"), InvalidInputError);
    BOOST_CHECK_THROW(decodeAllowanceAnswer({}), InvalidInputError);
}

BOOST_AUTO_TEST_SUITE_END()
