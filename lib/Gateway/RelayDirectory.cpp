#include "RelayDirectory.h"

#include "basilpoint/Net/FiberSignal.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr const char* relaysPrefix = "daemons/";
static constexpr Milliseconds pauseUntilEntered { 300 };
// Daemons start within a third of a second of each other; the first lists are read more often.
static constexpr Milliseconds firstRefresh { 1'000 };
// A relay that left is found out by its silence at once; the list only has to name new ones.
static constexpr Milliseconds refreshInterval { 8'000 };

RelayDirectory::RelayDirectory(StoreClient& store, RelayAddress self, JsonLog& log, ChangeHook onChange)
    : m_store(store)
    , m_self(std::move(self))
    , m_log(log)
    , m_onChange(std::move(onChange))
{
}

static std::string encode(const RelayAddress& relay)
{
    return Json { { "address", relay.endpoint.text() }, { "dataCentre", relay.dataCentre.text() }, { "keeper", relay.isKeeper } }.dump();
}

static std::optional<RelayAddress> decode(const KeyValue& item)
{
    try {
        Json json = Json::parse(item.value);
        return RelayAddress { item.key.substr(std::string(relaysPrefix).size()), DataCentreId(json.at("dataCentre").get<std::string>()), parseEndpoint("address", json.at("address").get<std::string>()), json.at("keeper").get<bool>() };
    } catch (const Json::exception&) {
        // An entry of another shape names no relay; the list's log line counts those it does name.
        return std::nullopt;
    } catch (const InvalidInputError&) {
        return std::nullopt;
    }
}

bool RelayDirectory::enter()
{
    std::string key = relaysPrefix + m_self.instance;
    std::string value = encode(m_self);
    auto current = m_store.get(key);
    if (!m_wasKnown)
        m_wasKnown = current.has_value();
    if (current && current->value == value)
        return true;
    return m_store.commit({ { { key, current ? current->modRevision : 0 } }, { { key, value } }, {} }).revision.has_value();
}

void RelayDirectory::refresh()
{
    std::vector<RelayAddress> relays;
    for (const KeyValue& it : m_store.snapshot(relaysPrefix, m_known ? ReadMode::Stale : ReadMode::Current).items) {
        auto relay = decode(it);
        if (relay && relay->instance != m_self.instance)
            relays.push_back(std::move(*relay));
    }
    if (relays == m_known)
        return;
    m_known = relays;
    m_store.setRelays(relays);
    m_onChange(relays, m_wasKnown.value_or(true));
    m_log.write(LogLine("relays").field("count", relays.size()).field("keepers", std::count_if(relays.begin(), relays.end(), [](const auto& it) { return it.isKeeper; })));
}

void RelayDirectory::run()
{
    bool isEntered = false;
    Milliseconds pause = firstRefresh;
    for (;;) {
        try {
            isEntered = isEntered || enter();
            refresh();
        } catch (const KeyValueUnavailableError&) {
            // The store's client has logged the loss; the list is read again below.
        }
        sleepFiber(isEntered ? pause : pauseUntilEntered);
        if (isEntered)
            pause = std::min(refreshInterval, pause * 2);
    }
}

} // namespace basilpoint
