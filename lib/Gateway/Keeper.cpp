#include "basilpoint/Gateway/Keeper.h"

#include "KeeperViewController.h"
#include "RelayDirectory.h"
#include "StoreRelay.h"
#include "StoreWatch.h"
#include "TurnJournalServer.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

namespace basilpoint {

static constexpr Milliseconds logInterval { 200 };
static constexpr Milliseconds stateRetryInterval { 300 };
static constexpr Milliseconds summaryInterval { 10'000 };
// Time for an instance's own keeper to report that the instance is empty.
static constexpr Milliseconds ownConfirmationDelay { 2'000 };
// A request to empty an instance need not be noticed for seconds, so long waits keep the watch cheap.
static constexpr Milliseconds emptyingWatchWait { 4'000 };

namespace {

    class Keeper {
    public:
        Keeper(boost::asio::io_context&, const KeeperSettings&, const WireFormat&, HttpClient& peers, TransactionalStore&, const Clock&);

        void start();
        void stop();
        JsonLog& log() { return m_log; }

    private:
        bool confirmEmpty(const std::string& instance);
        bool tryToConfirmEmpty(const std::string& instance, bool isOwn);
        void empty(const std::string& key);
        void logSummary();
        void watchEmptying();
        void updateKeepers(const std::vector<RelayAddress>&, bool wasKnown);
        void installView(const KeeperView&);

        KeeperSettings m_settings;
        WireFormat m_format;
        RandomEngine m_random;
        JsonLog m_log;
        Metrics m_metrics;
        MemoryBudget m_memory;
        StoreClient m_store;
        PeerServer m_peers;
        StoreRelay m_relay;
        /// Null if the instance has no disk.
        std::unique_ptr<TurnJournalServer> m_journal;
        RelayDirectory m_directory;
        /// Null if the instance has no disk.
        std::unique_ptr<KeeperViewController> m_views;
        std::set<std::string> m_keepers;
        bool m_isListRead = false;
        const Clock& m_clock;
    };

} // namespace

static RelayAddress selfOf(const KeeperSettings& settings)
{
    return { settings.instance, settings.dataCentre, settings.peers, true };
}

Keeper::Keeper(boost::asio::io_context& io, const KeeperSettings& settings, const WireFormat& format, HttpClient& peers, TransactionalStore& store, const Clock& clock)
    : m_settings(settings)
    , m_format(format)
    , m_random(std::random_device()())
    , m_log(clock, settings.logDescriptor, settings.instance)
    , m_memory(settings.memoryBytes / MemoryBudget::memoryDivisor)
    , m_store(store, &peers, settings.dataCentre, clock, m_log, m_metrics, hash64(settings.instance))
    , m_peers(io, settings.peers)
    , m_relay(m_peers, store, settings.isFirstStart, clock, m_log, m_metrics)
    , m_journal(settings.dataFolder.empty() ? nullptr : std::make_unique<TurnJournalServer>(io, m_peers, peers, JournalSettings { settings.instance, settings.dataFolder, settings.tolerated, settings.isFirstStart }, m_store, m_relay, clock, m_log))
    , m_directory(m_store, m_peers, peers, selfOf(settings), clock, m_log, [this](const std::vector<RelayAddress>& relays, bool wasKnown) { updateKeepers(relays, wasKnown); })
    , m_views(m_journal ? std::make_unique<KeeperViewController>(
                  m_store, m_peers, peers, *m_journal, selfOf(settings), settings.tolerated, format.emptyingStatePrefix, [this](const std::string& instance) { return m_directory.remove(instance); }, clock, m_log)
                        : nullptr)
    , m_clock(clock)
{
}

// A removed keeper's knowledge of commits is lost. A keeper whose name is new in the list has made no commits before.
void Keeper::updateKeepers(const std::vector<RelayAddress>& relays, bool wasKnown)
{
    if (!std::exchange(m_isListRead, true) && !wasKnown)
        m_relay.commits().setNoPredecessor();
    if (m_views)
        m_views->setGateways(filterRelays(relays, false).size());
    std::set<std::string> keepers;
    for (const RelayAddress& it : filterRelays(relays, true))
        keepers.insert(it.instance);
    if (!std::includes(keepers.begin(), keepers.end(), m_keepers.begin(), m_keepers.end()))
        m_relay.commits().keeperRemoved(m_clock.now());
    m_keepers = std::move(keepers);
}

void Keeper::installView(const KeeperView& view)
{
    try {
        m_journal->install(view);
    } catch (const Error& error) {
        // The disk failed; the journal refuses calls under this view too, since it cannot write them.
        m_log.write(LogLine("keepers-view-not-installed").field("version", view.version).field("reason", error.what()));
    }
}

// Members of the view have given their entries to the others before they leave it, and a keeper whose instance has been
// reported to be empty cannot join, so an instance is empty if the view does not contain its keeper.
bool Keeper::confirmEmpty(const std::string& instance)
{
    if (m_views && m_views->view().contains(instance))
        return false;
    std::string stateKey = m_format.emptyingStatePrefix + instance;
    auto current = m_store.get(stateKey);
    if (current && current->value == m_format.emptiedState)
        return true;
    auto view = m_store.get(KeeperView::key);
    if (view && decodeView(view->value).contains(instance))
        return false;
    bool isWritten = m_store.commit({ { { stateKey, current ? current->modRevision : 0 }, { KeeperView::key, view ? view->modRevision : 0 } }, { { stateKey, m_format.emptiedState } }, {} }).revision.has_value();
    m_log.write(LogLine("instance-empty").field("emptied", instance).field("written", isWritten));
    return isWritten;
}

void Keeper::empty(const std::string& key)
{
    std::string instance = key.substr(m_format.emptyingPrefix.size());
    if (m_views)
        m_views->empty(instance);
    spawnFiber([this, instance] {
        bool isOwn = instance == m_settings.instance;
        sleepFiber(isOwn ? Milliseconds(0) : ownConfirmationDelay);
        while (!tryToConfirmEmpty(instance, isOwn))
            sleepFiber(stateRetryInterval);
    });
}

bool Keeper::tryToConfirmEmpty(const std::string& instance, bool isOwn)
{
    try {
        if (!confirmEmpty(instance))
            return false;
        if (isOwn)
            m_directory.retire();
        return true;
    } catch (const Error& error) {
        m_log.write(LogLine("instance-empty-unwritten").field("emptied", instance).field("reason", error.what()));
        return false;
    }
}

void Keeper::watchEmptying()
{
    watchStore(
        m_store, m_random, { m_format.emptyingPrefix, emptyingWatchWait },
        [this](const std::vector<KeyValue>& items) {
            for (const KeyValue& it : items)
                empty(it.key);
        },
        [this](const std::string& key, const std::optional<KeyValue>& item) {
            if (item)
                empty(key);
        });
}

void Keeper::logSummary()
{
    LogLine line("summary");
    addCounters(line, m_metrics);
    m_log.write(line);
}

void Keeper::start()
{
    m_log.write(LogLine("start").field("role", "keeper"));
    m_peers.setMemory(m_memory);
    m_peers.onFault([this](const HttpRequest& request, std::string_view what) {
        m_metrics.count("requests_failed_by_defects_total");
        m_log.write(LogLine("request-failed-by-defect").field("path", request.path()).field("reason", what));
    });
    m_peers.start();
    // Keepers that are no members of the view, or not complete yet, commit for no one.
    if (m_journal) {
        m_directory.setEntryCondition([this] { return m_views->isMember() && m_journal->isSynchronized(); });
        m_directory.onKeeperView([this](const KeeperView& view) { installView(view); });
    }
    spawnFiber([this] { m_directory.run(); });
    spawnFiber([this] { watchEmptying(); });
    if (m_journal) {
        spawnFiber([this] { m_journal->run(); });
        spawnFiber([this] { m_views->run(); });
    }
    spawnFiber([this] {
        for (;; sleepFiber(logInterval))
            m_log.flush();
    });
    spawnFiber([this] {
        for (;; logSummary())
            sleepFiber(summaryInterval);
    });
}

void Keeper::stop()
{
    m_log.write(LogLine("stop").field("role", "keeper"));
    m_log.flush();
}

void runKeeper(boost::asio::io_context& io, const KeeperSettings& settings, const WireFormat& format, HttpClient& peers, TransactionalStore& store, const Clock& clock)
{
    // Not deleted, since fibers use the keeper until the process ends, and further signals must not end it sooner.
    auto& keeper = *new Keeper(io, settings, format, peers, store, clock);
    auto& signals = *new boost::asio::signal_set(io, SIGTERM, SIGINT, SIGHUP);
    keeper.start();
    while (awaitSignal(signals) == SIGHUP)
        keeper.log().write(LogLine("reload").field("role", "keeper"));
    keeper.stop();
}

} // namespace basilpoint
