#include "RelayDirectory.h"

#include "DaemonEntry.h"
#include "PeerCall.h"
#include "StoreCodec.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"

#include <algorithm>

namespace basilpoint {

static constexpr Milliseconds pauseUntilEntered { 300 };
// Daemons start within a third of a second of each other; the first lists are read more often.
static constexpr Milliseconds firstRefresh { 1'000 };
// A relay that left is found out by its silence at once; the list only has to name new ones.
static constexpr Milliseconds refreshInterval { 8'000 };

static constexpr Milliseconds announceLimit { 300 };

RelayDirectory::RelayDirectory(StoreClient& store, PeerServer& server, HttpClient& peers, RelayAddress self, const Clock& clock, JsonLog& log, ChangeHook onChange)
    : m_store(store)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_clock(clock)
    , m_log(log)
    , m_onChange(std::move(onChange))
{
    store.onBypass([this] { return KeyWrite { DaemonEntry::keyOf(m_self.instance), encodeEntry({ m_self, false, m_clock.wallNow() }) }; });
    server.on(peerpaths::announce, [this](const std::string& body) {
        noteAnnounced(body);
        return std::string("noted");
    });
    server.on(peerpaths::removed, [this](const std::string& body) {
        noteRemoved(body);
        return std::string("noted");
    });
}

bool RelayDirectory::enter()
{
    std::string key = DaemonEntry::keyOf(m_self.instance);
    auto current = m_store.get(key);
    auto before = current ? decodeDaemonEntry(*current) : std::nullopt;
    bool isReadable = !current || before;
    DaemonEntry entry = successorOf(before, isReadable, m_self, m_clock.wallNow());
    if (!m_wasKnown) {
        m_wasKnown = current.has_value();
        m_start = { !current || (before && before->hasHandedOver), hasDirectCommit(entry, m_clock.wallNow()) };
    }
    if (m_mayEnter && !m_mayEnter())
        return false;
    std::string value = encodeEntry(entry);
    if (current && current->value == value)
        return true;
    return m_store.commit({ { { key, current ? current->modRevision : 0 } }, { { key, value } }, {} }).revision.has_value();
}

void RelayDirectory::refresh()
{
    std::vector<RelayAddress> relays;
    m_isListed = false;
    for (const KeyValue& it : m_store.snapshot(DaemonEntry::prefix, m_known ? ReadMode::Stale : ReadMode::Current).items) {
        auto entry = decodeDaemonEntry(it);
        if (entry && entry->address.instance == m_self.instance)
            m_isListed = true;
        else if (entry)
            relays.push_back(std::move(entry->address));
    }
    mergeAnnounced(relays);
    use(std::move(relays));
}

void RelayDirectory::mergeAnnounced(std::vector<RelayAddress>& relays)
{
    // The list has caught up with those that stand in it as they announced themselves.
    std::erase_if(m_announced, [&](const auto& it) { return std::find(relays.begin(), relays.end(), it.second) != relays.end(); });
    for (const auto& [instance, announced] : m_announced) {
        std::erase_if(relays, [&name = instance](const RelayAddress& it) { return it.instance == name; });
        relays.push_back(announced);
    }
    std::sort(relays.begin(), relays.end());
}

void RelayDirectory::use(std::vector<RelayAddress> relays)
{
    if (relays == m_known)
        return;
    m_known = relays;
    m_store.setRelays(relays);
    m_onChange(relays, m_wasKnown.value_or(true));
    m_log.write(LogLine("relays").field("count", relays.size()).field("keepers", std::count_if(relays.begin(), relays.end(), [](const auto& it) { return it.isKeeper; })));
}

// The others must count on this daemon before it changes accounts: their grants need the word of all.
void RelayDirectory::announce()
{
    m_isAnnounced = true;
    std::vector<RelayAddress> relays = *m_known;
    for (const RelayAddress& it : relays)
        spawnFiber([this, it] { announceTo(it); });
}

bool RelayDirectory::announceTo(const RelayAddress& relay)
{
    return tell(relay, peerpaths::announce, encodeSnapshot({ { { DaemonEntry::keyOf(m_self.instance), encodeEntry({ m_self }), 0 } }, 0 }));
}

// One that is not told finds it in the list.
bool RelayDirectory::tell(const RelayAddress& relay, const char* path, const std::string& body)
{
    try {
        callPeer(m_peers, relay.endpoint, path, body, announceLimit);
        return true;
    } catch (const PeerUnavailableError& error) {
        m_log.write(LogLine("peer-failed").field("peer", relay.instance).field("call", path).field("reason", error.what()));
        return false;
    }
}

void RelayDirectory::noteRemoved(const std::string& instance)
{
    m_announced.erase(instance);
    if (!m_known)
        return;
    std::vector<RelayAddress> relays = *m_known;
    std::erase_if(relays, [&](const RelayAddress& it) { return it.instance == instance; });
    use(std::move(relays));
}

std::vector<RelayAddress> RelayDirectory::relays() const
{
    return m_known.value_or(std::vector<RelayAddress>());
}

void RelayDirectory::retire()
{
    m_isLeaving = true;
    remove(m_self.instance);
}

void RelayDirectory::remove(const std::string& instance)
{
    std::string key = DaemonEntry::keyOf(instance);
    auto current = m_store.get(key);
    bool isRemoved = !current || m_store.commit({ { { key, current->modRevision } }, {}, { key } }).revision.has_value();
    m_log.write(LogLine("daemon-removed").field("daemon", instance).field("removed", isRemoved));
    if (!isRemoved)
        return;
    noteRemoved(instance);
    for (const RelayAddress& it : relays())
        spawnFiber([this, it, instance] { tell(it, peerpaths::removed, instance); });
}

void RelayDirectory::noteAnnounced(const std::string& body)
{
    for (const KeyValue& item : decodeSnapshot(body).items) {
        auto entry = decodeDaemonEntry(item);
        if (!entry || entry->address.instance == m_self.instance)
            continue;
        std::string instance = entry->address.instance;
        m_announced.insert_or_assign(instance, std::move(entry->address));
        if (m_onAnnounce)
            m_onAnnounce(instance);
        // Before its own first list this daemon has nobody to count on.
        if (!m_known)
            continue;
        std::vector<RelayAddress> relays = *m_known;
        mergeAnnounced(relays);
        use(std::move(relays));
    }
}

void RelayDirectory::leave()
{
    m_isLeaving = true;
    std::string key = DaemonEntry::keyOf(m_self.instance);
    try {
        auto current = m_store.get(key);
        auto before = current ? decodeDaemonEntry(*current) : std::nullopt;
        DaemonEntry entry = successorOf(before, !current || before, m_self, m_clock.wallNow());
        entry.hasHandedOver = true;
        bool isNoted = m_store.commit({ { { key, current ? current->modRevision : 0 } }, { { key, encodeEntry(entry) } }, {} }).revision.has_value();
        m_log.write(LogLine("left").field("noted", isNoted));
    } catch (const KeyValueUnavailableError& error) {
        // The next lifetime takes this one for one that may have changed what others do not know.
        m_log.write(LogLine("left").field("noted", false).field("reason", error.what()));
    }
}

void RelayDirectory::run()
{
    bool isEntered = false;
    Milliseconds pause = firstRefresh;
    while (!m_isLeaving) {
        try {
            if (!isEntered && enter()) {
                isEntered = true;
                if (m_onEnter)
                    m_onEnter(m_start);
            }
            refresh();
            // Another may have taken this daemon out while it was cut off.
            isEntered = isEntered && m_isListed;
            if (isEntered && !m_isAnnounced)
                announce();
        } catch (const KeyValueUnavailableError&) {
            // The store's client has logged the loss; the list is read again below.
        }
        sleepFiber(isEntered ? pause : pauseUntilEntered);
        if (isEntered)
            pause = std::min(refreshInterval, pause * 2);
    }
}

} // namespace basilpoint
