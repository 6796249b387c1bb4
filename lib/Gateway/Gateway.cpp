#include "basilpoint/Gateway/Gateway.h"

#include "AllowanceController.h"
#include "CallController.h"
#include "PeerCall.h"
#include "RelayDirectory.h"
#include "RelayedCallController.h"
#include "StoreRelay.h"
#include "StoreWatch.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Hash.h"
#include "basilpoint/Support/Random.h"

#include <algorithm>
#include <cassert>
#include <csignal>
#include <fmt/format.h>

namespace basilpoint {

static constexpr Milliseconds tickInterval { 200 };
static constexpr Milliseconds summaryInterval { 10'000 };
// All daemons of a deployment start within a third of a second. By the first read of the list, the keepers should be in it;
// the spread keeps the first keeper from serving all gateways at once.
static constexpr Milliseconds minStartDelay { 700 };
static constexpr Milliseconds startDelaySpread { 800 };
// If the list cannot be read for this long, the other reads are tried anyhow.
static constexpr Milliseconds maxRelayWait { 2'500 };
static constexpr Milliseconds relayPollInterval { 20 };
// The load balancer probes once a second and removes an instance after two failed probes.
static constexpr Milliseconds balancerRemovalDelay { 2'600 };
// Part of the stop limit that is reserved for the last writes and the exit.
static constexpr Milliseconds exitReserve { 1'000 };
// Time for the answers to calls that a stop ends.
static constexpr Milliseconds answerReserve { 300 };
static constexpr Milliseconds stopPollInterval { 50 };
// After an outage of this length the instance reports that it is not ready, so that callers go to one that reaches the
// store.
static constexpr Milliseconds notReadyAfterOutage { 1'000 };
// How long there must have been a path to targets before a gateway that is cut off itself reports that it is ready: longer
// than the suspension of a gateway that does not take calls.
static constexpr Milliseconds readyAfterPath { 5'000 };
// Longer than the interval in which the notice is repeated.
static constexpr Milliseconds cutOffNoticeLifetime { 30'000 };
// Part of the store's largest value that is left to the other fields of a record.
static constexpr std::size_t valueMarginDivisor = 16;
// Other gateways that this one sends notices to.
static constexpr std::size_t maxNoticePeers = 8;
static constexpr Milliseconds noticeTimeout { 500 };
// Part of the descriptors that connections of callers may use; the others are for targets, the store and other daemons.
static constexpr std::size_t callerConnectionsDivisor = 2;
// Shorter outages do not let registrations expire.
static constexpr Milliseconds minOutageForExpiry { 400 };

namespace {

    class Gateway {
    public:
        Gateway(boost::asio::io_context&, const GatewaySettings&, const WireFormat&, HttpClient&, TransactionalStore&, const Clock&);

        void start();
        void drain();
        JsonLog& log() { return m_log; }

    private:
        bool isReady() const;
        void answerReadiness(const HttpRequest&, ResponseWriter&);
        void tick();
        void probeStore();
        void awaitRelays();
        void watchConfiguration();
        void watchTargets();
        void applyConfiguration(const std::string& bytes);
        std::optional<Registration> applyRegistration(const KeyValue&);
        void dropTarget(const Registration&);
        std::uint64_t peerRank(const RelayAddress&) const;
        void applyRelays(const std::vector<RelayAddress>&);
        void sendNotices(const InstanceId&, const std::string& body);
        void applyNotice(const NoticeSubject&, bool inForce);
        void applyCutOff(const std::string& instance, bool isCutOff);
        void dropExpiredCutOffs();
        void divideLimits();
        NoticeSubject ownCutOff() const { return { NoticeKind::CutOffDaemon, m_settings.instance }; }
        void noteCutOff(bool isCutOff);
        bool saveRuns(const std::string& runs);
        std::string receiveNotices(const std::string& body);
        void logReadinessChange();
        void logSummary();

        GatewaySettings m_settings;
        WireFormat m_format;
        const Clock& m_clock;
        RandomEngine m_random;
        JsonLog m_log;
        Metrics m_metrics;
        /// Of requests in progress, with their histories.
        MemoryBudget m_memory;
        /// Of answers in progress, which must not fail since there are many requests.
        MemoryBudget m_receiveBudget;
        HttpClient& m_client;
        StoreClient m_store;
        TurnJournalClient m_journal;
        PeerServer m_peers;
        RelayDirectory m_relays;
        StoreRelay m_relay;
        ConfigurationHolder m_configuration;
        TargetDirectory m_directory;
        TargetSelector m_selector;
        TargetMonitor m_monitor;
        RelaySelector m_relaySelector;
        NoticeController m_notices;
        CrashTracker m_crashes;
        RepetitionTracker m_repetitions;
        RateLimitTracker m_limits;
        RoomController m_rooms;
        AllowanceController m_allowances;
        TurnLedger m_ledger;
        LedgerWriter m_writer;
        Forwarder m_forwarder;
        AccountPeers m_accounts;
        TurnController m_turns;
        CallController m_calls;
        RelayedCallController m_relayedCalls;
        std::vector<std::string> m_otherGateways;
        /// When calls were last found to have no path to targets, neither a direct one nor through another gateway.
        TimePoint m_withoutPathAt = TimePoint::min();
        HttpServer m_callers;
        HttpServer m_readiness;
        bool m_isDraining = false;
        bool m_wasReady = false;
    };

} // namespace

static HttpLimits callerLimits(const GatewaySettings& settings)
{
    HttpLimits limits;
    limits.maxConnections = std::max<std::size_t>(1, settings.maxDescriptors / callerConnectionsDivisor);
    return limits;
}

static LedgerSettings ledgerSettingsOf(const GatewaySettings& settings)
{
    LedgerSettings ledger;
    ledger.dataCentre = settings.dataCentre;
    // Leaves room for what a record has beside the bytes of its turn.
    ledger.maxValueBytes = settings.maxValueBytes - settings.maxValueBytes / valueMarginDivisor;
    return ledger;
}

Gateway::Gateway(boost::asio::io_context& io, const GatewaySettings& settings, const WireFormat& format, HttpClient& client, TransactionalStore& store, const Clock& clock)
    : m_settings(settings)
    , m_format(format)
    , m_clock(clock)
    , m_random(std::random_device()())
    , m_log(clock, settings.logDescriptor, settings.instance)
    , m_memory(settings.memoryBytes / MemoryBudget::memoryDivisor)
    , m_receiveBudget(settings.memoryBytes / MemoryBudget::memoryDivisor)
    , m_client(client)
    , m_store(store, &client, settings.dataCentre, clock, m_log, m_metrics, hash64(settings.instance))
    , m_journal(client, settings.tolerated, clock, m_log)
    , m_peers(io, settings.peers)
    , m_relays(m_store, m_peers, client, { settings.instance, settings.dataCentre, settings.peers, false }, clock, m_log, [this](const std::vector<RelayAddress>& relays, bool) { applyRelays(relays); })
    , m_relay(m_peers, store, settings.isFirstStart, clock, m_log, m_metrics)
    , m_selector(m_random())
    , m_monitor(client, m_directory, m_random(), clock, m_log, m_metrics)
    , m_relaySelector(settings.instance, settings.dataCentre, m_random())
    , m_notices(clock, InstanceId(settings.instance), m_random(), [this](const InstanceId& to, const std::string& body) { sendNotices(to, body); })
    , m_crashes(client, m_directory, m_notices, clock, m_log, m_metrics)
    , m_repetitions(m_directory, m_notices, m_random(), clock, m_log, m_metrics)
    , m_limits(settings.instance, m_notices, clock, m_log, m_metrics)
    , m_rooms(client, m_selector, m_monitor, m_limits, m_format, clock, m_log, m_metrics, m_random())
    , m_allowances(
          settings.instance, lifetimeOf(settings.instance, randomHex(m_random, 12)).text(), settings.isFirstStart,
          [this](const Endpoint& peer, std::string body, Milliseconds limit) { return callPeer(m_client, peer, peerpaths::lease, std::move(body), limit); },
          [this](const std::string& gateway) { return m_relaySelector.cutOff().contains(gateway); }, clock, m_log, m_metrics)
    , m_ledger(lifetimeOf(settings.instance, randomHex(m_random, 12)), ledgerSettingsOf(settings))
    , m_writer(m_store, m_ledger, clock, m_log)
    , m_forwarder(client, m_directory, m_selector, m_monitor, m_relaySelector, m_crashes, m_repetitions, m_limits, m_rooms, m_receiveBudget, m_format, clock, m_log, m_metrics)
    , m_accounts(m_store, m_ledger, m_writer, m_journal, client, settings.isFirstStart, clock, m_log)
    , m_turns(m_forwarder, m_store, m_ledger, m_writer, m_journal, m_accounts, m_memory, clock, m_log, m_metrics)
    , m_calls(m_configuration, m_forwarder, m_turns, m_allowances, m_writer, m_format, settings.dataCentre, clock, m_log, m_metrics)
    , m_relayedCalls(m_configuration, m_forwarder, m_format, settings.dataCentre, clock, m_log, m_metrics)
    , m_callers(io, settings.callers, callerLimits(settings), [this](const HttpRequest& request, ResponseWriter& writer) { m_calls.handle(request, writer); })
    , m_readiness(io, settings.readiness, HttpLimits {}, [this](const HttpRequest& request, ResponseWriter& writer) { answerReadiness(request, writer); })
{
}

bool Gateway::isReady() const
{
    TimePoint now = m_clock.now();
    bool hasPath = !m_monitor.isCutOff() || m_withoutPathAt == TimePoint::min() || now - m_withoutPathAt > readyAfterPath;
    return !m_isDraining && m_configuration.current() && !m_directory.isEmpty() && hasPath && !m_store.health().isFailingFor(notReadyAfterOutage, now);
}

void Gateway::answerReadiness(const HttpRequest& request, ResponseWriter& writer)
{
    if (request.path() == "/metrics")
        return writer.send({ 200, { { "content-type", "text/plain; version=0.0.4" } }, m_metrics.render() });
    writer.send({ request.path() != m_format.readinessPath ? 404 : isReady() ? 200
                                                                             : 503,
        {}, {} });
}

void Gateway::applyConfiguration(const std::string& bytes)
{
    auto configuration = m_format.decodeConfiguration(bytes);
    if (!configuration) {
        m_log.write(LogLine("configuration-unreadable").field("bytes", bytes.size()));
        return;
    }
    std::uint64_t version = configuration->version;
    try {
        if (!m_configuration.offer(std::move(*configuration)))
            return;
    } catch (const InvalidInputError& error) {
        m_log.write(LogLine("configuration-refused").field("version", version).field("code", error.code()).field("reason", error.what()));
        return;
    }
    const CallerLimits& caller = m_configuration.current()->configuration().limits;
    HttpLimits limits = callerLimits(m_settings);
    limits.maxHeaderBytes = caller.maxHeaderBytes;
    limits.maxBodyBytes = caller.maxBodyBytes;
    limits.idleTimeout = caller.idleTimeout;
    limits.readTimeout = caller.readTimeout;
    m_callers.setLimits(limits);
    m_allowances.update(*m_configuration.current());
    m_log.write(LogLine("configuration-in-force").field("version", version).field("routes", m_configuration.current()->configuration().routes.size()));
}

std::optional<Registration> Gateway::applyRegistration(const KeyValue& item)
{
    auto registration = m_format.decodeRegistration(item.key, item.value);
    if (!registration) {
        m_log.write(LogLine("registration-ignored").field("key", item.key).field("revision", item.modRevision));
        return std::nullopt;
    }
    std::optional<Registration> before;
    if (const Registration* known = m_directory.find(registration->id))
        before = *known;
    TargetDirectory::PutResult result = m_directory.put(*registration);
    if (result == TargetDirectory::PutResult::Restarted)
        dropTarget(*before);
    if (result != TargetDirectory::PutResult::None)
        m_log.write(LogLine("target").field("target", registration->id.text()).field("startedAt", registration->startedAt).field("address", registration->endpoint.text()).field("leaving", registration->isLeaving).field("revision", item.modRevision));
    return registration;
}

void Gateway::dropTarget(const Registration& target)
{
    m_log.write(LogLine("target-gone").field("target", target.id.text()).field("startedAt", target.startedAt));
    m_selector.forget(target.id);
    m_monitor.forget(target.id);
    m_client.closeIdle(lifetimeOf(target));
    m_limits.forget(target);
    if (target.isLeaving)
        return;
    m_crashes.targetEnded(target);
    m_repetitions.targetEnded(target);
}

// Each gateway sends notices to a few others only, so that hundreds do not keep connections to each other.
void Gateway::applyRelays(const std::vector<RelayAddress>& relays)
{
    m_accounts.setRelays(relays);
    std::vector<RelayAddress> peers = filterRelays(relays, false);
    m_relaySelector.setGateways(peers);
    m_otherGateways.clear();
    for (const RelayAddress& it : peers)
        m_otherGateways.push_back(it.instance);
    divideLimits();
    m_allowances.setGateways(peers);
    std::sort(peers.begin(), peers.end(), [&](const RelayAddress& a, const RelayAddress& b) { return peerRank(a) < peerRank(b); });
    peers.resize(std::min(peers.size(), maxNoticePeers));
    std::vector<InstanceId> ids;
    ids.reserve(peers.size());
    for (const RelayAddress& it : peers)
        ids.emplace_back(it.instance);
    m_notices.setPeers(std::move(ids));
}

// A gateway that is cut off could not use its share of a limit.
void Gateway::divideLimits()
{
    std::vector<std::string> gateways { m_settings.instance };
    std::copy_if(m_otherGateways.begin(), m_otherGateways.end(), std::back_inserter(gateways), [&](const std::string& it) { return !m_relaySelector.cutOff().contains(it); });
    m_limits.setDaemons(std::move(gateways));
}

void Gateway::applyCutOff(const std::string& instance, bool isCutOff)
{
    if (instance != m_settings.instance) {
        m_relaySelector.setCutOff(instance, isCutOff);
        divideLimits();
    } else if (isCutOff && !m_monitor.isCutOff())
        // A notice of this instance's last lifetime.
        m_notices.lift(ownCutOff());
}

// Of gateways that have ended while they were cut off; the expiry of a notice is not announced.
void Gateway::dropExpiredCutOffs()
{
    std::set<std::string> instances = m_relaySelector.cutOff();
    for (const std::string& it : instances)
        if (!m_notices.inForce({ NoticeKind::CutOffDaemon, it }))
            applyCutOff(it, false);
}

void Gateway::noteCutOff(bool isCutOff)
{
    m_log.write(LogLine("cut-off").field("cutOff", isCutOff).field("hasRelay", m_relaySelector.hasUsable(m_clock.now())));
    if (isCutOff)
        m_notices.raise({ ownCutOff() }, cutOffNoticeLifetime);
    else
        m_notices.lift(ownCutOff());
}

bool Gateway::saveRuns(const std::string& runs)
{
    if (m_store.isFailing())
        return false;
    try {
        auto current = m_store.get(RepetitionTracker::key);
        return m_store.commit({ { { RepetitionTracker::key, current ? current->modRevision : 0 } }, { { RepetitionTracker::key, runs } }, {} }).revision.has_value();
    } catch (const KeyValueUnavailableError&) {
        // The store client has logged the failure; the runs are stored later.
        return false;
    }
}

std::uint64_t Gateway::peerRank(const RelayAddress& peer) const
{
    return hash64(peer.instance, hash64(m_settings.instance));
}

void Gateway::sendNotices(const InstanceId& to, const std::string& body)
{
    auto relays = m_relays.relays();
    auto peer = std::find_if(relays.begin(), relays.end(), [&](const RelayAddress& it) { return it.instance == to.text(); });
    if (peer == relays.end())
        return;
    spawnFiber([this, endpoint = peer->endpoint, to, body] {
        try {
            callPeer(m_client, endpoint, peerpaths::notices, body, noticeTimeout);
        } catch (const PeerUnavailableError& error) {
            // Gossip reaches the peer through others.
            m_log.write(LogLine("peer-failed").field("peer", to.text()).field("call", peerpaths::notices).field("reason", error.what()));
        }
    });
}

void Gateway::applyNotice(const NoticeSubject& subject, bool inForce)
{
    switch (subject.kind) {
    case NoticeKind::QuarantinedRequest:
    case NoticeKind::SuspectedRequest:
        m_crashes.apply(subject, inForce);
        return;
    case NoticeKind::UnansweredRun:
        m_repetitions.apply(subject, inForce);
        return;
    case NoticeKind::LimitedTarget:
        m_limits.apply(subject, inForce);
        return;
    case NoticeKind::CutOffDaemon:
        applyCutOff(subject.text, inForce);
        return;
    case NoticeKind::LeavingTarget:
        // Gateways learn this from registrations.
        return;
    }
    assert(false && "unhandled enumerator");
}

std::string Gateway::receiveNotices(const std::string& body)
{
    m_notices.received(body);
    return "ok";
}

void Gateway::watchConfiguration()
{
    watchStore(
        m_store, m_random, { m_format.configurationKey },
        [this](const std::vector<KeyValue>& items) {
            for (const KeyValue& it : items)
                if (it.key == m_format.configurationKey)
                    applyConfiguration(it.value);
        },
        [this](const std::string& key, const std::optional<KeyValue>& item) {
            if (item && key == m_format.configurationKey)
                applyConfiguration(item->value);
        });
}

void Gateway::watchTargets()
{
    watchStore(
        m_store, m_random, { m_format.registrationsPrefix },
        [this](const std::vector<KeyValue>& items) {
            std::vector<Registration> registrations;
            for (const KeyValue& it : items)
                if (auto registration = applyRegistration(it))
                    registrations.push_back(std::move(*registration));
            m_directory.replaceAll(registrations, m_clock.now());
        },
        [this](const std::string& key, const std::optional<KeyValue>& item) {
            if (item) {
                applyRegistration(*item);
                return;
            }
            m_directory.remove(TargetId(key.substr(m_format.registrationsPrefix.size())), m_clock.now());
            m_log.write(LogLine("registration-removed").field("key", key));
        });
}

// Keepers read for many daemons at once, so the list that names them is read first.
void Gateway::awaitRelays()
{
    TimePoint end = m_clock.now() + maxRelayWait;
    while (!m_relays.isListKnown() && m_clock.now() < end)
        sleepFiber(relayPollInterval);
}

// Calls a failing store regularly: while turns are refused, no other call would detect its recovery.
void Gateway::probeStore()
{
    for (;; sleepFiber(tickInterval)) {
        if (!m_store.health().failingSince())
            continue;
        try {
            m_store.probe(m_format.configurationKey);
        } catch (const KeyValueUnavailableError&) {
            // The store client has recorded and logged the failure.
            continue;
        }
    }
}

void Gateway::logReadinessChange()
{
    bool ready = isReady();
    if (ready == m_wasReady)
        return;
    m_wasReady = ready;
    m_log.write(LogLine("readiness").field("ready", ready).field("targets", m_directory.size()).field("storeFailing", m_store.health().failingSince().has_value()));
}

// Logs totals since the start, so that the log alone shows what the process did.
void Gateway::logSummary()
{
    LogLine line("summary");
    addCounters(line, m_metrics);
    line.field("connections", m_client.connectionsOpened()).field("programs", m_ledger.programs()).field("cachedBytes", m_ledger.cachedBytes());
    m_log.write(line);
}

void Gateway::tick()
{
    TimePoint now = m_clock.now();
    if (m_store.health().isFailingFor(minOutageForExpiry, now))
        m_directory.sourceLost();
    else if (!m_store.health().failingSince())
        m_directory.sourceRegained(now);
    for (const Registration& it : m_directory.sweep(now))
        dropTarget(it);
    if (m_monitor.isCutOff() && !m_relaySelector.hasUsable(now))
        m_withoutPathAt = now;
    m_ledger.writeDeferred(m_isDraining ? TimePoint::max() : now);
    m_writer.startWrites();
    m_accounts.refreshOutstandingGrants();
    logReadinessChange();
    m_log.flush();
}

void Gateway::start()
{
    m_rooms.setEnabled(m_settings.reservesRoom);
    m_log.write(LogLine("start").field("reservesRoom", m_settings.reservesRoom).field("callers", m_settings.callers.text()).field("dataCentre", m_settings.dataCentre.text()));
    spawnFiber([this] {
        awaitRelays();
        spawnFiber([this] { watchConfiguration(); });
        spawnFiber([this] { watchTargets(); });
    });
    spawnFiber([this] { probeStore(); });
    if (m_settings.isFirstStart)
        m_relays.setStartDelay(minStartDelay + Milliseconds(hash64(m_settings.instance) % startDelaySpread.count()));
    m_relays.onEnter([this](const RelayDirectory::Start& start) { m_accounts.entered(start); });
    m_relays.onMayAttest([this](bool mayAttest) { return m_accounts.setMayAttest(mayAttest); });
    m_relays.onKeeperView([this](const KeeperView& view) { m_journal.setView(view); });
    m_relays.onRecord(RepetitionTracker::key, [this](const std::string& runs) { m_repetitions.load(runs); });
    m_relays.onAnnounce([this](const std::string& instance) { m_accounts.peerStarted(instance); });
    spawnFiber([this] { m_relays.run(); });
    m_monitor.onCutOff([this](bool isCutOff) { noteCutOff(isCutOff); });
    m_monitor.start();
    m_notices.onChange([this](const NoticeSubject& subject, bool inForce) { applyNotice(subject, inForce); });
    m_notices.start();
    m_crashes.onAccepted([this](const Registration& target, TimePoint since) { m_repetitions.accepted(target, since); });
    m_repetitions.onSave([this](const std::string& runs) { return saveRuns(runs); });
    m_repetitions.start();
    m_peers.on(peerpaths::notices, [this](const std::string& body) { return receiveNotices(body); });
    m_peers.on(peerpaths::programRecords, [this](const std::string& program) { return m_accounts.attest(program); });
    m_peers.on(peerpaths::releaseHold, [this](const std::string& program) { return m_accounts.releaseHold(program); });
    m_peers.on(peerpaths::handOver, [this](const std::string& body) { return m_accounts.acceptHandover(body); });
    m_peers.on(peerpaths::lease, [this](const std::string& body) { return m_allowances.handle(body); });
    m_peers.onRequest(peerpaths::forward, [this](const HttpRequest& request, ResponseWriter& writer) { m_relayedCalls.handle(request, writer); });
    m_peers.start();
    spawnFiber([this] {
        for (;; sleepFiber(tickInterval))
            tick();
    });
    spawnFiber([this] {
        for (;; sleepFiber(AllowanceController::tickInterval))
            m_allowances.tick();
    });
    spawnFiber([this] {
        for (;; logSummary()) {
            sleepFiber(summaryInterval);
            m_crashes.sweep();
            m_limits.sweep();
            dropExpiredCutOffs();
            if (m_monitor.isCutOff())
                m_notices.raise({ ownCutOff() }, cutOffNoticeLifetime);
        }
    });
    auto logFault = [this](const HttpRequest& request, std::string_view what) {
        m_metrics.count("requests_failed_by_defects_total");
        m_log.write(LogLine("request-failed-by-defect").field("method", request.method).field("path", request.path()).field("reason", what));
    };
    m_peers.onFault(logFault);
    m_callers.onFault(logFault);
    m_peers.setMemory(m_memory);
    m_callers.setMemory(m_memory, [this](const HttpRequest& head) { return m_calls.refuseForMemory(head); });
    m_callers.start();
    m_readiness.start();
}

void Gateway::drain()
{
    TimePoint start = m_clock.now();
    TimePoint end = start + m_settings.stopLimit - std::min(exitReserve, m_settings.stopLimit / 2);
    m_isDraining = true;
    m_allowances.leave();
    TimePoint lastEnd = std::max(start, end - answerReserve);
    m_relayedCalls.drain(end);
    m_calls.stopBefore(start + balancerRemovalDelay, lastEnd);
    m_peers.announceClose();
    m_callers.announceClose();
    m_log.write(LogLine("stopping").field("active", m_callers.activeRequests()));
    while (m_clock.now() < std::min(end, start + balancerRemovalDelay))
        sleepFiber(stopPollInterval);
    m_callers.stop();
    bool areCallsEnded = false;
    while (m_clock.now() < end && (m_callers.activeRequests() > 0 || m_relayedCalls.activeCalls() > 0 || m_ledger.hasWork())) {
        if (m_clock.now() >= lastEnd && !std::exchange(areCallsEnded, true))
            m_calls.endCalls();
        sleepFiber(stopPollInterval);
    }
    if (m_callers.activeRequests() == 0 && !m_ledger.hasWork() && m_accounts.handOver(m_settings.instance))
        m_relays.recordHandover();
    m_log.write(LogLine("stop").field("active", m_callers.activeRequests()).field("unwritten", m_ledger.hasWork()));
    m_log.flush();
}

void runGateway(boost::asio::io_context& io, const GatewaySettings& settings, const WireFormat& format, HttpClient& targets, TransactionalStore& store, const Clock& clock, const ReloadHook& reload)
{
    // Never deleted, since fibers use the gateway until the process ends, and further signals must not end it sooner.
    auto& gateway = *new Gateway(io, settings, format, targets, store, clock);
    // Before callers are accepted, whose requests a stop must not cut off.
    auto& signals = *new boost::asio::signal_set(io, SIGTERM, SIGINT, SIGHUP);
    gateway.start();
    while (awaitSignal(signals) == SIGHUP)
        gateway.log().write(LogLine("reload").field("settings", reload()));
    gateway.drain();
}

} // namespace basilpoint
