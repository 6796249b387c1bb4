#include "RelayDirectory.h"

#include "DaemonEntry.h"
#include "PeerCall.h"
#include "StoreCodec.h"

#include "basilpoint/Gateway/CommitTracker.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Turns/Errors.h"

#include <algorithm>

namespace basilpoint {

static constexpr Milliseconds entryRetryInterval { 300 };
// Daemons of a deployment start within a third of a second of each other, so the list is read more often at first.
static constexpr Milliseconds minRefreshInterval { 1'000 };
// Calls through a relay that is gone fail at once, so later reads only have to find new relays.
static constexpr Milliseconds maxRefreshInterval { 8'000 };

static constexpr Milliseconds announceTimeout { 300 };
// After the last mark of a direct commit, for as long as records made under it may not have expired. Commits up to 30 s
// after a mark do not renew it.
static constexpr Milliseconds directCommitRetention = CommitTracker::longestRetention + std::chrono::minutes(1);

RelayDirectory::RelayDirectory(StoreClient& store, PeerServer& server, HttpClient& peers, RelayAddress self, const Clock& clock, JsonLog& log, ChangeHook onChange)
    : m_store(store)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_clock(clock)
    , m_log(log)
    , m_onChange(std::move(onChange))
    , m_directCommitAt(clock.now())
{
    store.setDirectCommitMark([this] {
        m_directCommitAt = m_clock.now();
        return KeyWrite { DaemonEntry::keyOf(m_self.instance), encodeEntry({ m_self, false, true, m_mayAttest }) };
    });
    server.on(peerpaths::announce, [this](const std::string& body) {
        handleAnnouncement(body);
        return std::string("noted");
    });
    server.on(peerpaths::removed, [this](const std::string& body) {
        handleRemoval(body);
        return std::string("noted");
    });
}

// The list must have been read just before.
bool RelayDirectory::enter()
{
    std::string key = DaemonEntry::keyOf(m_self.instance);
    const std::optional<KeyValue>& current = m_ownItem;
    auto before = current ? decodeDaemonEntry(*current) : std::nullopt;
    bool isReadable = !current || before;
    DaemonEntry entry = successorOf(before, isReadable, m_self);
    if (!m_wasKnown) {
        m_wasKnown = current.has_value();
        bool mayHaveAttested = current && (!before || before->mayAttest);
        m_mayAttest = entry.mayAttest && (mayHaveAttested || !m_onMayAttest || !m_store.hasManyDaemons());
        m_start = { !current || (before && before->hasHandedOver), entry.hasDirectCommit, mayHaveAttested };
    }
    entry.mayAttest = m_mayAttest;
    m_start.mayAttest = m_mayAttest;
    if (m_mayEnter && !m_mayEnter())
        return false;
    std::string value = encodeEntry(entry);
    if (current && current->value == value)
        return true;
    return m_store.commit({ { { key, current ? current->modRevision : 0 } }, { { key, value } }, {} }).revision.has_value();
}

void RelayDirectory::refresh(ReadMode mode)
{
    std::vector<RelayAddress> relays;
    KeySnapshot list = mode == ReadMode::Current && m_knownRelays ? m_store.sharedSnapshot(DaemonEntry::prefix) : m_store.snapshot(DaemonEntry::prefix, mode);
    m_ownItem.reset();
    for (const KeyValue& it : list.items) {
        if (it.key == KeeperView::key) {
            readKeeperView(it.value);
            continue;
        }
        auto entry = decodeDaemonEntry(it);
        if (entry && entry->address.instance == m_self.instance)
            m_ownItem = it;
        else if (entry)
            relays.push_back(std::move(entry->address));
    }
    m_isListed = m_ownItem.has_value();
    readRecords(list.items);
    mergeAnnounced(relays);
    applyRelays(std::move(relays));
}

// In a large fleet no daemon attests accounts, since none could ask all others. A lifetime whose entry says so leaves no
// doubt to the next one, which then need not ask the keepers for outstanding grants. A stale entry is harmless where the
// write is conditional on its revision; before this daemon attests again, the current entry is read.
void RelayDirectory::updateMayAttest()
{
    bool mayAttest = !m_store.hasManyDaemons();
    if (!m_onMayAttest || !m_ownItem)
        return;
    std::optional<KeyValue> item = mayAttest && !m_mayAttest ? m_store.get(m_ownItem->key) : m_ownItem;
    auto entry = item ? decodeDaemonEntry(*item) : std::nullopt;
    if (!entry || (entry->mayAttest == mayAttest && m_mayAttest == mayAttest))
        return;
    if (!mayAttest && !m_onMayAttest(false))
        return;
    m_mayAttest = m_mayAttest && mayAttest;
    if (entry->mayAttest != mayAttest) {
        entry->mayAttest = mayAttest;
        if (!m_store.commit({ { { item->key, item->modRevision } }, { { item->key, encodeEntry(*entry) } }, {} }).revision)
            return;
    }
    m_log.write(LogLine("attestations").field("allowed", mayAttest));
    if (!mayAttest)
        return;
    m_mayAttest = true;
    m_onMayAttest(true);
}

void RelayDirectory::removeExpiredMark()
{
    auto entry = m_ownItem ? decodeDaemonEntry(*m_ownItem) : std::nullopt;
    if (!entry || !entry->hasDirectCommit || m_clock.now() - m_directCommitAt < directCommitRetention)
        return;
    entry->hasDirectCommit = false;
    m_store.commit({ { { m_ownItem->key, m_ownItem->modRevision } }, { { m_ownItem->key, encodeEntry(*entry) } }, {} });
}

void RelayDirectory::readRecords(const std::vector<KeyValue>& items)
{
    for (const auto& [key, hook] : m_onRecord) {
        auto it = std::find_if(items.begin(), items.end(), [&name = key](const KeyValue& item) { return item.key == name; });
        hook(it == items.end() ? std::string() : it->value);
    }
}

void RelayDirectory::readKeeperView(const std::string& value)
{
    if (!m_onKeeperView)
        return;
    try {
        m_onKeeperView(decodeView(value));
    } catch (const DamagedRecordError& error) {
        m_log.write(LogLine("keepers-view-unreadable").field("reason", error.what()));
    }
}

void RelayDirectory::mergeAnnounced(std::vector<RelayAddress>& relays)
{
    // These announcements are in the list now.
    std::erase_if(m_announced, [&](const auto& it) { return std::find(relays.begin(), relays.end(), it.second) != relays.end(); });
    for (const auto& [instance, announced] : m_announced) {
        std::erase_if(relays, [&name = instance](const RelayAddress& it) { return it.instance == name; });
        relays.push_back(announced);
    }
    std::sort(relays.begin(), relays.end());
}

void RelayDirectory::applyRelays(std::vector<RelayAddress> relays)
{
    if (relays == m_knownRelays)
        return;
    m_knownRelays = relays;
    m_store.setRelays(relays);
    m_onChange(relays, m_wasKnown.value_or(true));
    m_log.write(LogLine("relays").field("count", relays.size()).field("keepers", std::count_if(relays.begin(), relays.end(), [](const auto& it) { return it.isKeeper; })));
}

// In large fleets no daemon attests accounts, and calls to all others would take each daemon longer than its start. The
// margin allows for daemons whose list is some seconds old.
bool RelayDirectory::hasFewDaemons() const
{
    return relays().size() <= 2 * StorePaths::daemonsPerKeeper;
}

// The others must know this daemon before it changes accounts, since a grant requires an attestation of each daemon.
void RelayDirectory::announce()
{
    m_isAnnounced = true;
    std::vector<RelayAddress> relays = *m_knownRelays;
    for (const RelayAddress& it : relays)
        spawnFiber([this, it] { announceTo(it); });
}

bool RelayDirectory::announceTo(const RelayAddress& relay)
{
    return notify(relay, peerpaths::announce, encodeSnapshot({ { { DaemonEntry::keyOf(m_self.instance), encodeEntry({ m_self }), 0 } }, 0 }));
}

// A daemon that misses the call learns of the change when it reads the list.
bool RelayDirectory::notify(const RelayAddress& relay, const char* path, const std::string& body)
{
    try {
        callPeer(m_peers, relay.endpoint, path, body, announceTimeout);
        return true;
    } catch (const PeerUnavailableError& error) {
        m_log.write(LogLine("peer-failed").field("peer", relay.instance).field("call", path).field("reason", error.what()));
        return false;
    }
}

void RelayDirectory::handleRemoval(const std::string& instance)
{
    m_announced.erase(instance);
    if (!m_knownRelays)
        return;
    std::vector<RelayAddress> relays = *m_knownRelays;
    std::erase_if(relays, [&](const RelayAddress& it) { return it.instance == instance; });
    applyRelays(std::move(relays));
}

std::vector<RelayAddress> RelayDirectory::relays() const
{
    return m_knownRelays.value_or(std::vector<RelayAddress>());
}

void RelayDirectory::retire()
{
    m_isStopping = true;
    remove(m_self.instance);
}

bool RelayDirectory::remove(const std::string& instance)
{
    std::string key = DaemonEntry::keyOf(instance);
    auto current = m_store.get(key);
    bool isRemoved = !current || m_store.commit({ { { key, current->modRevision } }, {}, { key } }).revision.has_value();
    m_log.write(LogLine("daemon-removed").field("daemon", instance).field("removed", isRemoved));
    if (!isRemoved)
        return false;
    handleRemoval(instance);
    for (const RelayAddress& it : relays())
        spawnFiber([this, it, instance] { notify(it, peerpaths::removed, instance); });
    return true;
}

void RelayDirectory::handleAnnouncement(const std::string& body)
{
    for (const KeyValue& item : decodeSnapshot(body).items) {
        auto entry = decodeDaemonEntry(item);
        if (!entry || entry->address.instance == m_self.instance)
            continue;
        std::string instance = entry->address.instance;
        m_announced.insert_or_assign(instance, std::move(entry->address));
        if (m_onAnnounce)
            m_onAnnounce(instance);
        // Before the first read of the list, refresh() will merge the announcement.
        if (!m_knownRelays)
            continue;
        std::vector<RelayAddress> relays = *m_knownRelays;
        mergeAnnounced(relays);
        applyRelays(std::move(relays));
    }
}

void RelayDirectory::recordHandover()
{
    m_isStopping = true;
    std::string key = DaemonEntry::keyOf(m_self.instance);
    try {
        auto current = m_store.get(key);
        auto before = current ? decodeDaemonEntry(*current) : std::nullopt;
        DaemonEntry entry = successorOf(before, !current || before, m_self);
        entry.hasHandedOver = true;
        bool isNoted = m_store.commit({ { { key, current ? current->modRevision : 0 } }, { { key, encodeEntry(entry) } }, {} }).revision.has_value();
        m_log.write(LogLine("left").field("noted", isNoted));
    } catch (const KeyValueUnavailableError& error) {
        // The next lifetime then assumes that this one has made changes that the others do not know.
        m_log.write(LogLine("left").field("noted", false).field("reason", error.what()));
    }
}

// A daemon that is not ready to enter the list reads it as rarely as one that has entered, until it is ready.
void RelayDirectory::awaitNextRound(bool isEntered, Milliseconds pause) const
{
    TimePoint end = m_clock.now() + pause;
    do
        sleepFiber(isEntered ? pause : entryRetryInterval);
    while (!isEntered && m_mayEnter && !m_mayEnter() && m_clock.now() < end);
}

void RelayDirectory::run()
{
    sleepFiber(m_startDelay);
    bool isEntered = false;
    bool isWaiting = false;
    Milliseconds pause = minRefreshInterval;
    while (!m_isStopping) {
        try {
            isWaiting = m_wasKnown && m_mayEnter && !m_mayEnter();
            bool mustEnter = !isEntered && !isWaiting;
            refresh(mustEnter || !m_knownRelays ? ReadMode::Current : ReadMode::Stale);
            if (mustEnter && enter()) {
                isEntered = true;
                if (m_onEnter)
                    m_onEnter(m_start);
                // Others that entered meanwhile must be known before this daemon changes accounts.
                if (hasFewDaemons())
                    refresh(ReadMode::Current);
                else
                    m_isListed = true;
            }
            // Another daemon may have removed this one from the list while it was disconnected.
            isEntered = isEntered && m_isListed;
            if (isEntered && !m_isAnnounced && hasFewDaemons())
                announce();
            if (isEntered) {
                updateMayAttest();
                removeExpiredMark();
            }
        } catch (const KeyValueUnavailableError&) {
            // The store client has logged the failure; the list is read again in the next round.
        }
        awaitNextRound(isEntered, pause);
        if (isEntered || isWaiting)
            pause = std::min(maxRefreshInterval, pause * 2);
    }
}

} // namespace basilpoint
