#include "basilpoint/Daemon/Daemon.h"
#include "basilpoint/Fleet/NoticeController.h"

#include "ConfigurationController.h"
#include "FleetController.h"
#include "GovernedKeyValueStore.h"
#include "JsonBody.h"
#include "Operations.h"
#include "OperatorApi.h"
#include "OwnerFilter.h"
#include "ProgramController.h"
#include "SchedulerDriver.h"
#include "SuspectLeases.h"
#include "TraceFilter.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/HttpKeyValueStore.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <random>
#include <spdlog/spdlog.h>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr Milliseconds drainPollInterval { 20 };
static constexpr Milliseconds sweepInterval { 1'000 };
static constexpr unsigned instanceDigits = 16;
static constexpr unsigned keyDigits = 32;

namespace {

    // Owns the components of a daemon. Members are declared in order of dependency.
    class Daemon {
    public:
        Daemon(boost::asio::io_context&, const SettingValues&);

        void run();

    private:
        FilterChain makeChain();
        OperatorHooks makeOperatorHooks();
        MemberInfo describeSelf() const;
        void connectComponents();
        void serveCaller(HttpRequest, ResponseWriter&);
        void receive(PeerChannel, const std::string& body);
        std::string answer(PeerChannel, const std::string& body);
        bool ready() const;
        void stop();
        Json state() const;
        void refreshMetrics(Metrics&) const;

        boost::asio::io_context& m_io;
        SettingValues m_values;
        SystemClock m_clock;
        RandomEngine m_random;
        InstanceId m_id;
        HttpClient m_client;
        HttpKeyValueStore m_service;
        GovernedKeyValueStore m_store;
        EnvironmentController m_environments;
        DecisionLog m_log;
        Metrics m_metrics;
        JournalService m_journal;
        ShardDriver m_driver;
        ShardController m_shards;
        HttpServer m_callers;
        HttpServer m_operators;
        PeerLinks m_links;
        FleetController m_fleet;
        ConfigurationController m_configuration;
        SuspectLeases m_suspectLeases;
        NoticeController m_notices;
        LeavingTargetTracker m_leavingTargets;
        SchedulerDriver m_dispatcher;
        ProgramLocks m_locks;
        ModelCallController m_modelCalls;
        ToolCallController m_toolCalls;
        ProgramController m_programs;
        FilterChain m_chain;
        OperatorApi m_operatorApi;
        FiberSignal m_stopRequested;
        bool m_stopping = false;
    };

} // namespace

static HttpLimits callerLimits(const SettingValues& values)
{
    HttpLimits limits;
    limits.maxBodyBytes = static_cast<std::size_t>(values.number("max-body-bytes"));
    limits.maxConnections = static_cast<std::size_t>(values.number("max-connections"));
    limits.idleTimeout = Milliseconds(values.number("idle-timeout-ms"));
    return limits;
}

static PeerLinkSettings peerLinkSettings(const SettingValues& values)
{
    PeerLinkSettings settings;
    settings.listen = values.endpoint("peer-listen");
    settings.keys = { values.text("peer-certificate"), values.text("peer-key"), values.text("peer-authority") };
    return settings;
}

static FleetSettings fleetSettings(const SettingValues& values)
{
    FleetSettings settings;
    settings.peers = values.endpoints("peers");
    if (!values.text("platform").empty())
        settings.platform = values.endpoint("platform");
    settings.shardCount = static_cast<std::uint64_t>(values.number("shards"));
    settings.membership.probePeriod = Milliseconds(values.number("probe-period-ms"));
    settings.membership.ackTimeout = settings.membership.probePeriod / 4;
    settings.membership.suspicionTimeout = Milliseconds(values.number("suspicion-ms"));
    return settings;
}

static SchedulerSettings schedulerSettings(const SettingValues& values)
{
    SchedulerSettings settings;
    settings.maxRunningPerTarget = static_cast<unsigned>(values.number("calls-per-replica"));
    return settings;
}

static std::string operatorToken(const SettingValues& values)
{
    const std::string& token = values.text("operator-token");
    if (token.empty() && !values.endpoint("operator-listen").isLoopback())
        throw InvalidInputError("--operator-token", "", "a token, since --operator-listen is not a loopback address");
    return token;
}

Daemon::Daemon(boost::asio::io_context& io, const SettingValues& values)
    : m_io(io)
    , m_values(values)
    , m_random(std::random_device {}())
    , m_id("i-" + randomHex(m_random, instanceDigits))
    , m_client(io)
    , m_service(m_client, values.endpoint("key-value"))
    , m_store(m_service, m_clock, m_random())
    , m_log(m_clock)
    , m_journal(io, values.text("data-folder"), HolderId(memoryHolderPrefix + m_id.text()))
    , m_driver(m_clock, m_random, m_store, m_id, ShardOwnerSettings {}, [this](const HolderId& holder, ShardId shard, const HolderRequest& request) { return m_fleet.callHolder(holder, shard, request); })
    , m_shards(m_driver)
    , m_callers(io, values.endpoint("listen"), callerLimits(values), [this](const HttpRequest& request, ResponseWriter& writer) { serveCaller(request, writer); })
    , m_operators(io, values.endpoint("operator-listen"), HttpLimits {}, [this](const HttpRequest& request, ResponseWriter& writer) { m_operatorApi.handle(request, writer); })
    , m_links(
          io, peerLinkSettings(values), [this](PeerChannel channel, const std::string& body) { receive(channel, body); }, [this](PeerChannel channel, const std::string& body) { return answer(channel, body); })
    , m_fleet(m_clock, describeSelf(), m_random(), fleetSettings(values), m_client, m_store, m_driver, m_shards, m_journal)
    , m_configuration(m_clock, m_id, m_random(), m_store, m_environments, [this](const InstanceId& to, const std::string& body) { m_fleet.send(to, PeerChannel::Configuration, body); })
    , m_suspectLeases(m_clock, m_random, m_fleet)
    , m_notices(m_clock, m_id, m_random(), [this](const InstanceId& to, const std::string& body) { m_fleet.send(to, PeerChannel::Notice, body); })
    , m_dispatcher(m_clock, m_client, m_leavingTargets, schedulerSettings(values), m_random())
    , m_modelCalls(m_clock, m_client, m_environments, m_shards, m_locks, m_dispatcher, m_log)
    , m_toolCalls(m_clock, m_client, m_environments, m_shards, m_locks, m_dispatcher, m_leavingTargets, m_log)
    , m_programs(m_clock, m_random, m_environments, m_shards, m_locks, m_dispatcher, m_modelCalls, m_toolCalls, m_log)
    , m_chain(makeChain())
    , m_operatorApi(operatorToken(values), m_log, m_metrics, makeOperatorHooks())
{
    connectComponents();
}

MemberInfo Daemon::describeSelf() const
{
    MemberInfo self;
    self.id = m_id;
    self.dataCentre = DataCentreId(m_values.text("data-centre"));
    self.peer = m_links.endpoint();
    self.callers = m_callers.endpoint();
    self.holder = m_journal.holder();
    self.durable = m_journal.durable();
    return self;
}

FilterChain Daemon::makeChain()
{
    std::vector<std::unique_ptr<Filter>> filters;
    filters.push_back(std::make_unique<TraceFilter>(m_random));
    auto owner = std::make_unique<OwnerFilter>(m_clock, m_client, m_fleet, m_shards, m_log);
    m_fleet.onMemberDead([filter = owner.get()](const InstanceId& member) { filter->cancelForwardsTo(member); });
    filters.push_back(std::move(owner));
    return FilterChain(std::move(filters), [this](RequestContext& context) { m_programs.handle(context); });
}

OperatorHooks Daemon::makeOperatorHooks()
{
    OperatorHooks hooks;
    hooks.ready = [this] { return ready(); };
    hooks.state = [this] { return state(); };
    hooks.refreshMetrics = [this](Metrics& metrics) { refreshMetrics(metrics); };
    hooks.drain = [this] { m_stopRequested.notifyAll(); };
    hooks.targetLeaving = [this](const Endpoint& target) { m_dispatcher.targetLeaving(TargetId(target.text()), LeavingSource::Operator); };
    hooks.targetReturned = [this](const Endpoint& target) { m_notices.lift({ NoticeKind::LeavingTarget, target.text() }); };
    return hooks;
}

void Daemon::connectComponents()
{
    m_driver.attach(m_shards);
    m_fleet.attach(m_links);
    m_fleet.onMembersChanged([this](const std::vector<InstanceId>& others) {
        m_configuration.setPeers(others);
        m_notices.setPeers(others);
        m_store.setMembers(others.size() + 1);
    });
    m_configuration.onChange([this] { m_dispatcher.updateTargets(m_environments); });
    m_dispatcher.setLeases({ [this](const std::string& pool) { return m_suspectLeases.acquire(pool); }, [this](const std::string& pool, const std::string& token) { m_suspectLeases.release(pool, token); } });
    m_dispatcher.onNotice([this](const NoticeSubject& subject) { m_notices.raise(subject); });
    m_notices.onChange([this](const NoticeSubject& subject, bool inForce) { m_dispatcher.apply(subject, inForce); });
}

void Daemon::receive(PeerChannel channel, const std::string& body)
{
    try {
        switch (channel) {
        case PeerChannel::Membership:
            return m_fleet.received(body);
        case PeerChannel::Configuration:
            return m_configuration.received(body);
        case PeerChannel::Notice:
            return m_notices.received(body);
        case PeerChannel::Journal:
        case PeerChannel::Ownership:
        case PeerChannel::SuspectLease:
            return;
        }
    } catch (const Error& error) {
        spdlog::warn("ignoring a message from a peer: {}", error.what());
    }
}

std::string Daemon::answer(PeerChannel channel, const std::string& body)
{
    switch (channel) {
    case PeerChannel::Journal: {
        auto [shard, request] = decodeHolderRequest(body);
        return encodeHolderReply(m_journal.handle(shard, request));
    }
    case PeerChannel::Ownership:
        return m_fleet.handOver(body);
    case PeerChannel::SuspectLease:
        return m_suspectLeases.answer(body);
    case PeerChannel::Membership:
    case PeerChannel::Configuration:
    case PeerChannel::Notice:
        break;
    }
    throw InvalidInputError("peer call", std::to_string(static_cast<int>(channel)), "a channel that answers calls");
}

// Assigns a key to a request without one, so that a retry at another owner is recognized as a repeat.
static void assignKey(HttpRequest& request, RandomEngine& random)
{
    bool toolCall = request.path().find("/tools/") != std::string_view::npos;
    if (request.method == "POST" && !toolCall && request.header("idempotency-key").empty()) {
        request.headers["idempotency-key"] = randomHex(random, keyDigits);
        request.headers["basilpoint-generated-key"] = "1";
    }
}

void Daemon::serveCaller(HttpRequest request, ResponseWriter& writer)
{
    assignKey(request, m_random);
    Operation operation = parseOperation(request, static_cast<std::uint64_t>(m_values.number("shards")));
    RequestContext context { std::move(request), writer, std::move(operation), {} };
    TimePoint startedAt = m_clock.now();
    try {
        m_chain.handle(context);
        m_metrics.count("basilpoint_requests_total{result=\"ok\"}");
    } catch (const Error& error) {
        m_metrics.count("basilpoint_requests_total{result=\"" + std::string(error.code()) + "\"}");
        throw;
    }
    m_metrics.observe("basilpoint_request_seconds", m_clock.now() - startedAt);
}

bool Daemon::ready() const
{
    return !m_stopping && m_configuration.ready() && m_fleet.ownsAssignedShards();
}

static std::string_view toText(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    assert(false && "unhandled enumerator");
    return {};
}

Json Daemon::state() const
{
    Json environments = Json::object();
    for (const auto& [id, stored] : m_environments.stored())
        environments[id.text()] = { { "revision", stored.revision.value() }, { "digest", stored.digest().text() } };
    Json shards = Json::array();
    for (ShardId shard : m_shards.owned()) {
        Json holders = Json::array();
        for (const HolderId& holder : m_driver.holders(shard))
            holders.push_back(holder.text());
        shards.push_back({ { "shard", shard.value() }, { "epoch", m_shards.epoch(shard).value() }, { "holders", holders }, { "degraded", m_driver.state(shard) == ShardOwner::State::Degraded } });
    }
    Json members = Json::array();
    for (const MemberInfo& member : m_fleet.members())
        members.push_back({ { "id", member.id.text() }, { "dataCentre", member.dataCentre.text() }, { "callers", member.callers.text() }, { "state", toText(member.state) }, { "holder", member.holder.text() }, { "durable", member.durable } });
    Json targets = Json::array();
    for (const auto& [target, pool] : m_dispatcher.targets())
        targets.push_back({ { "target", target.text() }, { "pool", pool } });
    return { { "instance", m_id.text() }, { "ready", ready() }, { "stopping", m_stopping }, { "environments", environments }, { "shards", shards }, { "members", members }, { "targets", targets }, { "waitingCalls", m_dispatcher.waiting() }, { "runningTurns", m_modelCalls.running() }, { "activeRequests", m_callers.activeRequests() }, { "journal", { { "holder", m_journal.holder().text() }, { "durable", m_journal.durable() }, { "shards", m_journal.shardCount() }, { "bytes", m_journal.bytes() } } } };
}

void Daemon::refreshMetrics(Metrics& metrics) const
{
    const PeerLinkCounters& peers = m_links.counters();
    const KeyValueCounters& store = m_service.counters();
    metrics.gauge("basilpoint_owned_shards", static_cast<double>(m_shards.owned().size()));
    metrics.gauge("basilpoint_active_requests", static_cast<double>(m_callers.activeRequests()));
    metrics.gauge("basilpoint_waiting_calls", static_cast<double>(m_dispatcher.waiting()));
    metrics.gauge("basilpoint_take_overs", static_cast<double>(m_driver.takeOvers()));
    metrics.gauge("basilpoint_peer_sent_messages", static_cast<double>(peers.messagesSent));
    metrics.gauge("basilpoint_peer_sent_bytes", static_cast<double>(peers.bytesSent));
    metrics.gauge("basilpoint_peer_dropped_messages", static_cast<double>(peers.dropped));
    metrics.gauge("basilpoint_key_value_reads", static_cast<double>(store.reads));
    metrics.gauge("basilpoint_key_value_writes", static_cast<double>(store.writes));
    metrics.gauge("basilpoint_key_value_watches", static_cast<double>(store.watches));
    metrics.gauge("basilpoint_key_value_failures", static_cast<double>(store.failures));
}

void Daemon::run()
{
    m_callers.start();
    m_operators.start();
    if (!m_journal.durable())
        spdlog::warn("no data folder is set; this daemon keeps its journal in memory and loses it when it stops");
    spdlog::info("instance {} listens on {} for callers, {} for operators, {} for peers", m_id.text(), m_callers.endpoint().text(), m_operators.endpoint().text(), m_links.endpoint().text());
    m_fleet.start();
    m_configuration.start();
    m_notices.start();
    m_dispatcher.start();
    spawnFiber([this] {
        for (;;) {
            sleepFiber(sweepInterval);
            m_programs.sweep();
        }
    });
    boost::asio::signal_set signals(m_io, SIGINT, SIGTERM);
    spawnFiber([&] {
        awaitSignal(signals);
        m_stopRequested.notifyAll();
    });
    m_stopRequested.wait();
    stop();
}

// Shards are handed over first, so that their new owners serve new requests while this daemon finishes the
// requests it has accepted.
void Daemon::stop()
{
    spdlog::info("planned stop started");
    m_stopping = true;
    m_fleet.leave(Milliseconds(m_values.number("drain-ms")));
    m_callers.stop();
    while (m_callers.activeRequests() > 0)
        sleepFiber(drainPollInterval);
    m_operators.stop();
    m_links.stop();
    spdlog::info("planned stop finished; {} shards were not handed over", m_shards.owned().size());
}

void runDaemon(boost::asio::io_context& io, const SettingValues& values)
{
    Daemon(io, values).run();
}

} // namespace basilpoint
