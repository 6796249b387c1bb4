#include "Platform.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Base64.h"

#include <algorithm>
#include <fmt/format.h>

namespace basilpoint::review {

using Json = nlohmann::json;

static constexpr std::size_t maxPageItems = 500;
static constexpr std::size_t maxPageBytes = 1024 * 1024;
static constexpr std::size_t maxValueBytes = 1'048'576;
static constexpr std::size_t maxEntries = 32;
static constexpr Milliseconds answerTime { 4 };
static constexpr int eventsPerTurn = 3;
static constexpr Milliseconds workTime { 20 };
static constexpr Milliseconds timeBetweenEvents { 10 };

Record::Record(const std::string& path)
    : m_file(path, std::ios::trunc)
    , m_start(std::chrono::steady_clock::now())
{
}

void Record::write(const std::string& line)
{
    double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count();
    m_file << fmt::format("{:8.3f} {}\n", seconds, line) << std::flush;
}

static HttpLimits serverLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = 64 * 1024 * 1024;
    return limits;
}

static std::string unescape(std::string_view text)
{
    static constexpr int hexadecimal = 16;
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            out += static_cast<char>(std::stoi(std::string(text.substr(n + 1, 2)), nullptr, hexadecimal));
            n += 2;
        } else
            out += text[n];
    }
    return out;
}

static std::string parameter(const HttpRequest& request, const std::string& name)
{
    std::string query = "&" + request.target.substr(std::min(request.target.size(), request.target.find('?') + 1));
    auto at = query.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    auto begin = at + name.size() + 2;
    return unescape(query.substr(begin, query.find('&', begin) - begin));
}

static void sendJson(ResponseWriter& writer, int status, const Json& json)
{
    writer.send({ status, { { "content-type", "application/json" } }, json.dump() });
}

Store::Store(boost::asio::io_context& io, Record& record)
    : m_record(record)
    , m_server(io, { "127.0.0.1", 0 }, serverLimits(), [this](const HttpRequest& request, ResponseWriter& writer) { handle(request, writer); })
{
    m_server.start();
}

void Store::write(const std::string& key, std::string encoded)
{
    Item& item = m_items[key];
    item.encoded = std::make_shared<const std::string>(std::move(encoded));
    item.revision = m_revision;
    if (item.createdRevision == 0)
        item.createdRevision = m_revision;
    m_history.push_back({ key, item });
}

void Store::put(const std::string& key, const std::string& value)
{
    ++m_revision;
    write(key, encodeBase64(value));
    m_changed.notifyAll();
}

void Store::remove(const std::string& key)
{
    m_items.erase(key);
    m_history.push_back({ key, { nullptr, ++m_revision, 0 } });
    m_changed.notifyAll();
}

std::string Store::valueOf(const std::string& key) const
{
    auto it = m_items.find(key);
    return it == m_items.end() ? std::string() : decodeBase64(*it->second.encoded);
}

void Store::setDown(bool isDown)
{
    m_isDown = isDown;
    m_record.write(isDown ? "platform: the store is down" : "platform: the store is back");
    m_changed.notifyAll();
}

Json Store::itemOf(const std::string& key, const Item& item)
{
    return { { "key", key }, { "value", *item.encoded }, { "rev", item.revision }, { "createdRev", item.createdRevision }, { "lease", 0 } };
}

void Store::handle(const HttpRequest& request, ResponseWriter& writer)
{
    sleepFiber(answerTime);
    if (m_isDown)
        return sendJson(writer, 503, Json::object());
    std::string_view path = request.path();
    if (path == "/-/kv-key")
        return get(request, writer);
    if (path == "/-/kv-range")
        return range(request, writer);
    if (path == "/-/kv-watch")
        return watch(request, writer);
    if (path == "/-/kv-txn")
        return transact(request, writer);
    sendJson(writer, 404, Json::object());
}

void Store::get(const HttpRequest& request, ResponseWriter& writer) const
{
    auto it = m_items.find(parameter(request, "key"));
    if (it == m_items.end())
        return sendJson(writer, 404, Json::object());
    Json json = itemOf(it->first, it->second);
    json["at"] = m_revision;
    sendJson(writer, 200, json);
}

void Store::range(const HttpRequest& request, ResponseWriter& writer) const
{
    std::string prefix = parameter(request, "prefix");
    std::string after = parameter(request, "after");
    Json items = Json::array();
    std::size_t bytes = 0;
    bool hasMore = false;
    for (auto it = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); it != m_items.end() && it->first.starts_with(prefix); ++it) {
        if (items.size() == maxPageItems || bytes >= maxPageBytes) {
            hasMore = true;
            break;
        }
        items.push_back(itemOf(it->first, it->second));
        bytes += it->second.encoded->size();
    }
    sendJson(writer, 200, { { "items", std::move(items) }, { "hasMore", hasMore }, { "at", m_revision } });
}

void Store::watch(const HttpRequest& request, ResponseWriter& writer)
{
    std::string prefix = parameter(request, "prefix");
    std::int64_t after = std::stoll(parameter(request, "after"));
    auto end = std::chrono::steady_clock::now() + Milliseconds(std::stoi(parameter(request, "waitMs")));
    for (;;) {
        if (m_isDown)
            return sendJson(writer, 503, Json::object());
        Json events = Json::array();
        for (const Event& it : m_history) {
            if (it.item.revision <= after || !it.key.starts_with(prefix))
                continue;
            events.push_back(it.item.encoded ? itemOf(it.key, it.item) : Json { { "key", it.key }, { "rev", it.item.revision }, { "tombstone", true } });
        }
        auto now = std::chrono::steady_clock::now();
        if (!events.empty() || now >= end)
            return sendJson(writer, 200, { { "events", std::move(events) }, { "at", m_revision } });
        m_changed.waitFor(std::chrono::ceil<Milliseconds>(end - now));
    }
}

void Store::transact(const HttpRequest& request, ResponseWriter& writer)
{
    Json body = Json::parse(request.body);
    Json expected = body.value("expected", Json::array());
    Json puts = body.value("puts", Json::array());
    Json deletes = body.value("deletes", Json::array());
    bool isTooLarge = expected.size() + puts.size() + deletes.size() > maxEntries;
    for (const Json& it : puts)
        isTooLarge = isTooLarge || decodeBase64(it.at("value").get<std::string>()).size() > maxValueBytes;
    if (isTooLarge)
        return sendJson(writer, 400, Json::object());
    bool holds = true;
    Json current = Json::array();
    for (const Json& it : expected) {
        auto item = m_items.find(it.at("key").get<std::string>());
        holds = holds && it.at("rev").get<std::int64_t>() == (item == m_items.end() ? 0 : item->second.revision);
        if (item != m_items.end())
            current.push_back(itemOf(item->first, item->second));
    }
    if (!holds)
        return sendJson(writer, 412, { { "items", std::move(current) } });
    ++m_revision;
    for (const Json& it : puts)
        write(it.at("key").get<std::string>(), it.at("value").get<std::string>());
    for (const Json& it : deletes) {
        m_items.erase(it.get<std::string>());
        m_history.push_back({ it.get<std::string>(), { nullptr, m_revision, 0 } });
    }
    m_changed.notifyAll();
    sendJson(writer, 200, { { "rev", m_revision } });
}

Replica::Replica(boost::asio::io_context& io, Record& record, std::string id, std::string service)
    : m_record(record)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_server(io, { "127.0.0.1", 0 }, serverLimits(), [this](const HttpRequest& request, ResponseWriter& writer) { handle(request, writer); })
{
    m_server.start();
}

std::string Replica::registration() const
{
    return Json { { "service", m_service }, { "addr", m_server.endpoint().text() }, { "zone", "bp-a" }, { "version", "v1" }, { "slots", 16 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "seq", 1 }, { "born", 1'700'000'000'000 } }.dump();
}

std::vector<std::string> Replica::eventsOf(const std::string& request)
{
    std::vector<std::string> events;
    events.reserve(eventsPerTurn);
    for (int n = 1; n <= eventsPerTurn; ++n)
        events.push_back(fmt::format("event {} of {}", n, request));
    return events;
}

void Replica::handle(const HttpRequest& request, ResponseWriter& writer)
{
    if (request.target == "/health")
        return writer.send({ 200, { { "x-basilpoint-instance-id", m_id } }, {} });
    if (request.header("x-basilpoint-expect-instance") != m_id)
        return writer.send({ 421, { { "x-basilpoint-instance-id", m_id } }, {} });
    std::string id(request.header("x-basilpoint-request-id"));
    m_runs.push_back({ id, request.body });
    m_record.write(fmt::format("run: {} at {}, body of {} bytes", id, m_id, request.body.size()));
    HttpHeaders headers { { "x-basilpoint-request-id", id }, { "x-basilpoint-server-stamp", "stamp-" + id } };
    if (!request.target.starts_with("/turns/")) {
        sleepFiber(workTime);
        return writer.send({ 200, headers, "answer to " + id });
    }
    headers["content-type"] = "text/event-stream";
    writer.begin(200, headers);
    int number = 0;
    for (const std::string& it : eventsOf(id)) {
        writer.write(fmt::format("id: {}\ndata: {}\n\n", ++number, it));
        sleepFiber(timeBetweenEvents);
    }
    writer.end();
}

} // namespace basilpoint::review
