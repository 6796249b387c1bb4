#include "FakePlatform.h"

#include "../Net/TestRuntime.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Support/Base64.h"

#include <algorithm>

namespace basilpoint::test {

using Json = nlohmann::json;

static constexpr int pollMilliseconds = 5;

static std::string unescape(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            out += static_cast<char>(std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16));
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

FakeStore::FakeStore(boost::asio::io_context& io)
    : m_io(io)
    , m_server(io, { "127.0.0.1", 0 }, HttpLimits {}, [this](const HttpRequest& request, ResponseWriter& writer) { handle(request, writer, nullptr); })
{
    m_server.start();
}

Endpoint FakeStore::addView(const View& view)
{
    m_views.push_back(std::make_unique<HttpServer>(m_io, Endpoint { "127.0.0.1", 0 }, HttpLimits {}, [this, view](const HttpRequest& request, ResponseWriter& writer) { handle(request, writer, view); }));
    m_views.back()->start();
    return m_views.back()->endpoint();
}

void FakeStore::put(const std::string& key, const std::string& value)
{
    m_items[key] = { encodeBase64(value), ++m_revision, true };
}

void FakeStore::remove(const std::string& key)
{
    m_items[key] = { {}, ++m_revision, false };
}

std::string FakeStore::valueOf(const std::string& key) const
{
    return decodeBase64(m_items.at(key).encoded);
}

Json FakeStore::itemOf(const std::string& key, const Item& item, const View& view)
{
    if (!item.exists)
        return { { "key", key }, { "rev", item.revision }, { "tombstone", true } };
    return { { "key", key }, { "value", view ? encodeBase64(view(decodeBase64(item.encoded))) : item.encoded }, { "rev", item.revision }, { "createdRev", item.revision }, { "lease", 0 } };
}

void FakeStore::range(const std::string& prefix, ResponseWriter& writer, const View& view) const
{
    Json items = Json::array();
    for (const auto& [key, item] : m_items)
        if (item.exists && key.starts_with(prefix))
            items.push_back(itemOf(key, item, view));
    sendJson(writer, 200, { { "items", std::move(items) }, { "hasMore", false }, { "at", m_revision } });
}

void FakeStore::changes(const std::string& prefix, std::int64_t after, int waitMs, ResponseWriter& writer, const View& view)
{
    for (int waited = 0;; waited += pollMilliseconds) {
        if (isDown)
            throw ConnectionLostError("outage");
        Json events = Json::array();
        for (const auto& [key, item] : m_items)
            if (item.revision > after && key.starts_with(prefix))
                events.push_back(itemOf(key, item, view));
        if (!events.empty() || waited >= waitMs)
            return sendJson(writer, 200, { { "events", std::move(events) }, { "at", m_revision } });
        pause(std::chrono::milliseconds(pollMilliseconds));
    }
}

void FakeStore::transact(const Json& body, ResponseWriter& writer)
{
    for (const Json& it : body.at("puts")) {
        std::string value = decodeBase64(it.at("value").get<std::string>());
        bool hasRejectedText = !rejectedText.empty() && value.find(rejectedText) != std::string::npos;
        if (value.size() > maxValueBytes || hasRejectedText) {
            ++rejected;
            return sendJson(writer, 400, Json::object());
        }
    }
    bool holds = true;
    Json current = Json::array();
    for (const Json& it : body.at("expected")) {
        const Item& item = m_items[it.at("key").get<std::string>()];
        std::int64_t revision = item.exists ? item.revision : 0;
        holds = holds && revision == it.at("rev").get<std::int64_t>();
        if (item.exists)
            current.push_back(itemOf(it.at("key"), item, nullptr));
    }
    if (!holds)
        return sendJson(writer, 412, { { "items", std::move(current) } });
    ++m_revision;
    for (const Json& it : body.at("puts"))
        m_items[it.at("key").get<std::string>()] = { it.at("value").get<std::string>(), m_revision, true };
    for (const Json& it : body.value("deletes", Json::array()))
        m_items[it.get<std::string>()] = { {}, m_revision, false };
    sendJson(writer, 200, { { "rev", m_revision } });
}

void FakeStore::handle(const HttpRequest& request, ResponseWriter& writer, const View& view)
{
    if (isDown)
        throw ConnectionLostError("outage");
    std::string_view path = request.path();
    if (path != "/-/kv-watch" && latency.count() > 0)
        pause(latency);
    if (path == "/-/kv-range")
        return range(parameter(request, "prefix"), writer, view);
    if (path == "/-/kv-watch")
        return changes(parameter(request, "prefix"), std::stoll(parameter(request, "after")), std::stoi(parameter(request, "waitMs")), writer, view);
    if (path == "/-/kv-txn")
        return transact(Json::parse(request.body), writer);
    std::string key = parameter(request, "key");
    if (!has(key))
        return sendJson(writer, 404, Json::object());
    sendJson(writer, 200, itemOf(key, m_items.at(key), view));
}

FakeTarget::FakeTarget(boost::asio::io_context& io, std::string id, std::string service)
    : m_io(io)
    , m_id(std::move(id))
    , m_service(std::move(service))
{
    restart();
}

void FakeTarget::stop()
{
    m_isStopped = true;
    if (m_server)
        m_server->stop();
    for (const auto& [lifetime, server] : m_silent)
        server->stop();
}

void FakeTarget::crash()
{
    if (m_isDown)
        return;
    ++m_crashes;
    m_isDown = true;
    switch (ending) {
    case TargetEnd::Refusing:
        m_server->stop();
        return;
    case TargetEnd::Silent:
        m_endpoint = m_server->endpoint();
        m_silent[m_lifetime] = std::move(m_server);
        return;
    }
}

// A connection of a silent process stays open until the other side closes it.
void FakeTarget::failIfEnded(unsigned lifetime) const
{
    while (m_silent.contains(lifetime) && !m_isStopped)
        pause(std::chrono::milliseconds(pollMilliseconds));
    if (m_isDown || lifetime != m_lifetime)
        throw ConnectionLostError("crashed");
}

void FakeTarget::restartInPlace()
{
    if (m_silent.contains(m_lifetime))
        m_silent.at(m_lifetime)->stop();
    startAt(m_endpoint);
}

void FakeTarget::startAt(const Endpoint& address)
{
    ++m_lifetime;
    m_isDown = false;
    m_server = std::make_unique<HttpServer>(m_io, address, HttpLimits {}, [this, lifetime = m_lifetime](const HttpRequest& request, ResponseWriter& writer) { handle(request, writer, lifetime); });
    m_server->start();
    m_endpoint = m_server->endpoint();
}

std::string FakeTarget::registration(const char* state) const
{
    return Json { { "service", m_service }, { "addr", m_endpoint.text() }, { "zone", "z" }, { "slots", 4 }, { "state", state }, { "coldLeftMs", 0 }, { "seq", 1 }, { "born", 1'700'000'000'000 + m_lifetime } }.dump();
}

std::size_t FakeTarget::openReservations() const
{
    auto now = std::chrono::steady_clock::now();
    return static_cast<std::size_t>(std::count_if(m_reservations.begin(), m_reservations.end(), [&](const auto& it) { return it.second > now; }));
}

void FakeTarget::reserve(const HttpRequest& request, ResponseWriter& writer)
{
    ++reservationRequests;
    if (ignoresReservations)
        pause(std::chrono::milliseconds(500));
    if (!room || openReservations() + running >= *room)
        return sendJson(writer, room ? 503 : 404, Json::object());
    std::string id = m_id + "-" + std::to_string(++m_lastReservation);
    m_reservations[id] = std::chrono::steady_clock::now() + std::chrono::milliseconds(Json::parse(request.body).at("ttlMs").get<int>());
    sendJson(writer, 200, { { "hold", id } });
}

void FakeTarget::handle(const HttpRequest& request, ResponseWriter& writer, unsigned lifetime)
{
    failIfEnded(lifetime);
    static constexpr std::string_view dropPath = "/-/hold-drop/";
    if (request.target == "/-/hold-take")
        return reserve(request, writer);
    if (request.target.starts_with(dropPath)) {
        reservationsDropped += static_cast<unsigned>(m_reservations.erase(request.target.substr(dropPath.size())));
        return sendJson(writer, 200, Json::object());
    }
    std::string reservation(request.header("x-basilpoint-hold"));
    auto it = m_reservations.find(reservation);
    if (!reservation.empty() && (it == m_reservations.end() || it->second < std::chrono::steady_clock::now()))
        return writer.send({ 503, { { "x-basilpoint-not-run", "reservation" }, { "x-basilpoint-request-id", std::string(request.header("x-basilpoint-request-id")) } }, {} });
    if (it != m_reservations.end())
        m_reservations.erase(it);
    maxRunning = std::max(maxRunning, ++running);
    try {
        run(request, writer, lifetime);
    } catch (const Error&) {
        --running;
        throw;
    }
    --running;
}

void FakeTarget::run(const HttpRequest& request, ResponseWriter& writer, unsigned lifetime)
{
    std::string call(request.header("x-basilpoint-request-id"));
    if (request.header("x-basilpoint-expect-instance") != m_id)
        return writer.send({ 421, { { "x-basilpoint-instance-id", m_id } }, {} });
    runs.push_back({ call, request.body, request.headers, request.target.find("/stream/") == std::string::npos && !request.target.starts_with("/pay/"), std::chrono::steady_clock::now() });
    writer.notifyOnDisconnect([this] { ++abandoned; });
    if (!crashesOn.empty() && request.body.ends_with(crashesOn))
        crash();
    failIfEnded(lifetime);
    if (losesAnswers)
        throw ConnectionLostError("answer lost");
    if (delay.count() > 0) {
        pause(delay);
        failIfEnded(lifetime);
    }
    HttpHeaders headers { { "x-basilpoint-request-id", call }, { "x-basilpoint-server-stamp", "stamp-" + m_id } };
    headers.insert(answerHeaders.begin(), answerHeaders.end());
    if (request.target.find("/stream/") == std::string::npos)
        return writer.send({ 200, headers, "done " + call });
    headers["content-type"] = "text/event-stream";
    writer.begin(200, headers);
    for (const char* word : { "one", "two" }) {
        writer.write(std::string("id: ") + word + "\ndata: " + word + "-" + call + "\n\n");
        pause(std::chrono::milliseconds(pollMilliseconds));
        failIfEnded(lifetime);
        if (breaksStreams)
            throw ConnectionLostError("broken off");
    }
    writer.end();
}

} // namespace basilpoint::test
