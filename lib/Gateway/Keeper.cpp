#include "basilpoint/Gateway/Keeper.h"

#include "KeeperSuccession.h"
#include "RelayDirectory.h"
#include "StoreRelay.h"
#include "StoreWatch.h"
#include "TurnJournalServer.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

namespace basilpoint {

static constexpr Milliseconds logInterval { 200 };
static constexpr Milliseconds stateRetryInterval { 300 };
static constexpr Milliseconds summaryInterval { 10'000 };
static constexpr Milliseconds successionInterval { 1'000 };
static constexpr int maxStateAttempts = 40;
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
        bool isDiskFree(const std::string& instance);
        bool confirmEmpty(const std::string& instance);
        void empty(const std::string& key);
        void logSummary();
        void watchEmptying();
        void replaceLostKeepers();
        void updateKeepers(const std::vector<RelayAddress>&, bool wasKnown);

        KeeperSettings m_settings;
        WireFormat m_format;
        RandomEngine m_random;
        JsonLog m_log;
        Metrics m_metrics;
        StoreClient m_store;
        PeerServer m_peers;
        StoreRelay m_relay;
        /// Null if the instance has no disk.
        std::unique_ptr<TurnJournalServer> m_journal;
        RelayDirectory m_directory;
        KeeperSuccession m_succession;
        std::set<std::string> m_keepers;
        bool m_isListRead = false;
        const Clock& m_clock;
    };

} // namespace

Keeper::Keeper(boost::asio::io_context& io, const KeeperSettings& settings, const WireFormat& format, HttpClient& peers, TransactionalStore& store, const Clock& clock)
    : m_settings(settings)
    , m_format(format)
    , m_random(std::random_device()())
    , m_log(clock, settings.logDescriptor, settings.instance)
    , m_store(store, &peers, settings.dataCentre, clock, m_log, m_metrics)
    , m_peers(io, settings.peers)
    , m_relay(m_peers, store, settings.isFirstStart, clock, m_log, m_metrics)
    , m_journal(settings.dataFolder.empty() ? nullptr : std::make_unique<TurnJournalServer>(io, m_peers, peers, settings.dataFolder, settings.isFirstStart, m_store, m_relay, clock, m_log))
    , m_directory(m_store, m_peers, peers, { settings.instance, settings.dataCentre, settings.peers, true }, clock, m_log,
          [this](const std::vector<RelayAddress>& relays, bool wasKnown) {
              updateKeepers(relays, wasKnown);
              // If this keeper was listed and has lost its disk, that loss is already one of those tolerated.
              if (m_journal)
                  m_journal->setRelays(relays, wasKnown && m_settings.tolerated > 0 ? m_settings.tolerated - 1 : m_settings.tolerated);
          })
    , m_clock(clock)
{
}

// A removed keeper's knowledge of commits is lost. A keeper whose name is new in the list has made no commits before.
void Keeper::updateKeepers(const std::vector<RelayAddress>& relays, bool wasKnown)
{
    if (!std::exchange(m_isListRead, true) && !wasKnown)
        m_relay.commits().setNoPredecessor();
    std::set<std::string> keepers;
    for (const RelayAddress& it : filterRelays(relays, true))
        keepers.insert(it.instance);
    if (!std::includes(keepers.begin(), keepers.end(), m_keepers.begin(), m_keepers.end()))
        m_relay.commits().keeperRemoved(m_clock.now());
    m_keepers = std::move(keepers);
}

// Before a keeper is removed, it hands its entries over to all others, so that each entry remains on one more disk
// than may be lost. It is then removed from the list. Instances without a keeper have no entries.
bool Keeper::isDiskFree(const std::string& instance)
{
    if (!m_journal)
        return true;
    if (instance == m_settings.instance) {
        if (!m_journal->handOver())
            return false;
        m_directory.retire();
        return true;
    }
    std::vector<RelayAddress> relays = m_directory.relays();
    auto it = std::find_if(relays.begin(), relays.end(), [&](const RelayAddress& relay) { return relay.isKeeper && relay.instance == instance; });
    if (it == relays.end())
        return true;
    // A running keeper does this itself.
    if (m_directory.announceTo(*it) || !m_journal->takeOverFrom(instance))
        return false;
    m_directory.remove(instance);
    return true;
}

bool Keeper::confirmEmpty(const std::string& instance)
{
    std::string stateKey = m_format.emptyingStatePrefix + instance;
    auto current = m_store.get(stateKey);
    if (current && current->value == m_format.emptiedState)
        return true;
    if (!isDiskFree(instance))
        return false;
    bool isWritten = m_store.commit({ { { stateKey, current ? current->modRevision : 0 } }, { { stateKey, m_format.emptiedState } }, {} }).revision.has_value();
    m_log.write(LogLine("instance-empty").field("emptied", instance).field("written", isWritten));
    return isWritten;
}

void Keeper::empty(const std::string& key)
{
    std::string instance = key.substr(m_format.emptyingPrefix.size());
    spawnFiber([this, instance] {
        for (int n = 0; n < maxStateAttempts; ++n) {
            try {
                if (confirmEmpty(instance))
                    return;
            } catch (const Error& error) {
                m_log.write(LogLine("instance-empty-unwritten").field("emptied", instance).field("reason", error.what()));
            }
            sleepFiber(stateRetryInterval);
        }
    });
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

// Each data centre has one keeper, so another one here has been replaced by this one or is replacing it. A keeper
// that was removed because it was disconnected for long enters the list again with the entries that it has.
void Keeper::replaceLostKeepers()
{
    for (;; sleepFiber(successionInterval)) {
        try {
            std::vector<RelayAddress> relays = m_directory.relays();
            for (const RelayAddress& it : relays) {
                if (!it.isKeeper || it.dataCentre != m_settings.dataCentre)
                    continue;
                if (m_directory.announceTo(it))
                    m_succession.answered(it.instance);
                else
                    m_succession.failed(it.instance, m_clock.now());
            }
            for (const std::string& it : m_succession.gone(m_clock.now())) {
                if (!m_journal->takeOverFrom(it))
                    continue;
                m_directory.remove(it);
                m_succession.answered(it);
            }
        } catch (const Error& error) {
            // Retried after the interval.
            m_log.write(LogLine("succession-failed").field("reason", error.what()));
        }
    }
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
    m_peers.start();
    // Every listed keeper counts towards the answers needed to be certain that an entry does not exist. A keeper that
    // cannot answer yet would be missing from them in addition to its predecessor.
    if (m_journal)
        m_directory.setEntryCondition([this] { return m_journal->isSynchronized(); });
    spawnFiber([this] { m_directory.run(); });
    spawnFiber([this] { watchEmptying(); });
    if (m_journal) {
        spawnFiber([this] { m_journal->run(); });
        spawnFiber([this] { replaceLostKeepers(); });
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
    // Not deleted, since fibers use the keeper until the process ends.
    auto& keeper = *new Keeper(io, settings, format, peers, store, clock);
    keeper.start();
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    while (awaitSignal(signals) == SIGHUP)
        keeper.log().write(LogLine("reload").field("role", "keeper"));
    keeper.stop();
}

} // namespace basilpoint
