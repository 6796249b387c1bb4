#include "Harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

static const SteadyClock::time_point startOfProgram = SteadyClock::now();

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

double secondsNow()
{
    return std::chrono::duration<double>(SteadyClock::now() - startOfProgram).count();
}

std::string Request::header(const std::string& name) const
{
    auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

Record::Record(const std::string& path)
    : m_file(path)
{
}

void Record::write(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%8.3f ", secondsNow());
    m_file << time.data() << line << std::endl;
}

Channel::Channel(int descriptor)
    : m_descriptor(descriptor)
{
    int one = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

Channel::~Channel()
{
    ::close(m_descriptor);
}

std::unique_ptr<Channel> Channel::connect(unsigned port, milliseconds limit)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto channel = std::make_unique<Channel>(descriptor);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        pollfd ready { descriptor, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&ready, 1, static_cast<int>(limit.count())) != 1 || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, 0);
    return channel;
}

bool Channel::send(const std::string& bytes) const
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        ssize_t n = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool Channel::fill(SteadyClock::time_point end)
{
    auto left = std::chrono::ceil<milliseconds>(end - SteadyClock::now()).count();
    pollfd ready { m_descriptor, POLLIN, 0 };
    if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) != 1)
        return false;
    std::array<char, 65'536> buffer {};
    ssize_t n = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (n <= 0)
        return false;
    m_buffer.append(buffer.data(), static_cast<std::size_t>(n));
    return true;
}

bool Channel::readLine(std::string& line, SteadyClock::time_point end)
{
    for (;;) {
        auto at = m_buffer.find("\r\n");
        if (at != std::string::npos) {
            line = m_buffer.substr(0, at);
            m_buffer.erase(0, at + 2);
            return true;
        }
        if (!fill(end))
            return false;
    }
}

bool Channel::readBytes(std::string& bytes, std::size_t count, SteadyClock::time_point end)
{
    while (m_buffer.size() < count)
        if (!fill(end)) {
            bytes.append(std::exchange(m_buffer, {}));
            return false;
        }
    bytes.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
}

bool Channel::readHeaders(Headers& headers, SteadyClock::time_point end)
{
    for (std::string line; readLine(line, end);) {
        if (line.empty())
            return true;
        auto colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        auto begin = line.find_first_not_of(' ', colon + 1);
        headers[name] = begin == std::string::npos ? "" : line.substr(begin);
    }
    return false;
}

bool Channel::readBody(const Headers& headers, bool endsWithConnection, std::string& body, SteadyClock::time_point end)
{
    auto length = headers.find("content-length");
    if (length != headers.end())
        return readBytes(body, std::stoul(length->second), end);
    auto encoding = headers.find("transfer-encoding");
    if (encoding != headers.end() && encoding->second == "chunked") {
        for (std::string line; readLine(line, end);) {
            std::size_t size = std::stoul(line, nullptr, 16);
            if (!readBytes(body, size, end) || !readLine(line, end))
                return false;
            if (size == 0)
                return true;
        }
        return false;
    }
    if (endsWithConnection)
        while (fill(end)) { }
    body.append(std::exchange(m_buffer, {}));
    return true;
}

bool Channel::readRequest(Request& request, milliseconds limit)
{
    auto end = SteadyClock::now() + limit;
    std::string line;
    if (!readLine(line, end))
        return false;
    std::istringstream words(line);
    words >> request.method >> request.target;
    return readHeaders(request.headers, end) && readBody(request.headers, false, request.body, end);
}

Answer Channel::readAnswer(milliseconds limit)
{
    auto end = SteadyClock::now() + limit;
    Answer answer;
    std::string line;
    if (!readLine(line, end) || line.size() < 12)
        return answer;
    answer.status = std::stoi(line.substr(9, 3));
    answer.isWhole = readHeaders(answer.headers, end) && readBody(answer.headers, true, answer.body, end);
    return answer;
}

bool Channel::isClosed() const
{
    char byte = 0;
    ssize_t n = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Server::Server(Handler handler)
    : m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    static_cast<void>(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size));
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    ::listen(m_listener, 1'024);
    m_thread = std::thread([this] { acceptAll(); });
}

Server::~Server()
{
    m_stopped = true;
    m_thread.join();
    ::close(m_listener);
    while (m_open > 0)
        sleepFor(milliseconds(10));
}

void Server::stopListening() const
{
    ::shutdown(m_listener, SHUT_RDWR);
}

void Server::acceptAll()
{
    while (!m_stopped) {
        pollfd ready { m_listener, POLLIN, 0 };
        if (::poll(&ready, 1, 50) != 1)
            continue;
        int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        ++m_open;
        std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
}

void Server::serve(int descriptor)
{
    {
        Channel channel(descriptor);
        while (!m_stopped) {
            pollfd ready { descriptor, POLLIN, 0 };
            int n = ::poll(&ready, 1, 100);
            if (n == 0)
                continue;
            Request request;
            if (n < 0 || channel.isClosed() || !channel.readRequest(request, milliseconds(5'000)) || !m_handler(request, channel))
                break;
        }
    }
    --m_open;
}

bool sendAnswer(Channel& channel, int status, const Headers& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return channel.send(text);
}

static std::string unescape(const std::string& text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
            n += 2;
        } else
            out += text[n];
    }
    return out;
}

static std::string parameter(const Request& request, const std::string& name)
{
    std::string query = "&" + request.target.substr(std::min(request.target.size(), request.target.find('?') + 1));
    auto at = query.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    auto begin = at + name.size() + 2;
    return unescape(query.substr(begin, query.find('&', begin) - begin));
}

// Values are kept as the base64 text in which they are written.
static std::string toBase64(const std::string& bytes)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        std::size_t count = std::min<std::size_t>(3, bytes.size() - n);
        for (std::size_t k = 0; k < 3; ++k)
            group = (group << 8U) | (k < count ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= count ? digits[(group >> (18U - 6U * k)) & 63U] : '=';
    }
    return out;
}

static std::string fromBase64(const std::string& text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (char c : text) {
        auto digit = digits.find(c);
        if (digit == std::string::npos)
            break;
        group = (group << 6U) | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return out;
}

Store::Store(Record& record)
    : m_record(record)
    , m_server(std::make_unique<Server>([this](const Request& request, Channel& channel) { return handle(request, channel); }))
{
}

void Store::put(const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    Item& item = m_items[key];
    ++m_revision;
    if (!item.exists)
        item.created = m_revision;
    item = { toBase64(value), m_revision, item.created, true };
    m_changed.notify_all();
}

void Store::remove(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    m_items[key] = { {}, ++m_revision, 0, false };
    m_changed.notify_all();
}

bool Store::has(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    auto it = m_items.find(key);
    return it != m_items.end() && it->second.exists;
}

std::string Store::valueOf(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    auto it = m_items.find(key);
    return it == m_items.end() ? std::string() : fromBase64(it->second.value);
}

Json Store::itemOf(const std::string& key, const Item& item) const
{
    if (!item.exists)
        return { { "key", key }, { "rev", item.revision }, { "tombstone", true } };
    return { { "key", key }, { "value", item.value }, { "rev", item.revision }, { "createdRev", item.created }, { "lease", 0 } };
}

std::pair<int, Json> Store::range(const std::string& prefix, const std::string& after)
{
    static constexpr std::size_t pageItems = 500;
    static constexpr std::size_t pageBytes = 1'000'000;
    std::lock_guard lock(m_mutex);
    Json items = Json::array();
    std::size_t bytes = 0;
    bool hasMore = false;
    for (auto it = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); it != m_items.end() && it->first.starts_with(prefix); ++it) {
        if (!it->second.exists)
            continue;
        if (items.size() >= pageItems || (!items.empty() && bytes + it->second.value.size() > pageBytes)) {
            hasMore = true;
            break;
        }
        bytes += it->second.value.size();
        items.push_back(itemOf(it->first, it->second));
    }
    return { 200, { { "items", std::move(items) }, { "hasMore", hasMore }, { "at", m_revision } } };
}

std::pair<int, Json> Store::transact(const Json& body)
{
    static constexpr std::size_t maxEntries = 32;
    std::lock_guard lock(m_mutex);
    Json deletes = body.value("deletes", Json::array());
    if (body.at("expected").size() + body.at("puts").size() + deletes.size() > maxEntries)
        return { 400, Json::object() };
    for (const Json& it : body.at("puts")) {
        if (fromBase64(it.at("value").get<std::string>()).size() <= valueBytes)
            continue;
        ++tooLarge;
        return { 400, Json::object() };
    }
    bool holds = true;
    Json current = Json::array();
    for (const Json& it : body.at("expected")) {
        std::string key = it.at("key");
        auto item = m_items.find(key);
        bool exists = item != m_items.end() && item->second.exists;
        holds = holds && (exists ? item->second.revision : 0) == it.at("rev").get<std::int64_t>();
        current.push_back(exists ? itemOf(key, item->second) : Json { { "key", key }, { "rev", 0 } });
    }
    if (!holds)
        return { 412, { { "items", std::move(current) } } };
    ++m_revision;
    for (const Json& it : body.at("puts")) {
        Item& item = m_items[it.at("key").get<std::string>()];
        if (!item.exists)
            item.created = m_revision;
        item = { it.at("value").get<std::string>(), m_revision, item.created, true };
        m_record.write("store put " + it.at("key").get<std::string>() + " revision " + std::to_string(m_revision));
    }
    for (const Json& it : deletes)
        m_items[it.get<std::string>()] = { {}, m_revision, 0, false };
    m_changed.notify_all();
    return { 200, { { "rev", m_revision } } };
}

bool Store::watch(const std::string& prefix, std::int64_t after, int waitMs, Channel& channel)
{
    auto end = SteadyClock::now() + milliseconds(waitMs);
    Json events = Json::array();
    std::int64_t revision = 0;
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            if (isSilent)
                return false;
            for (const auto& [key, item] : m_items)
                if (item.revision > after && key.starts_with(prefix))
                    events.push_back(itemOf(key, item));
            revision = m_revision;
            if (!events.empty() || SteadyClock::now() >= end)
                break;
            m_changed.wait_for(lock, milliseconds(20));
        }
    }
    return sendAnswer(channel, 200, { { "content-type", "application/json" } }, Json { { "events", std::move(events) }, { "at", revision } }.dump());
}

bool Store::handle(const Request& request, Channel& channel)
{
    std::string path = request.target.substr(0, request.target.find('?'));
    bool wasSilent = isSilent;
    // A channel on which an answer is lost returns nothing further.
    while (isSilent && !channel.isClosed())
        sleepFor(milliseconds(10));
    if (wasSilent)
        return false;
    if (path == "/-/kv-watch")
        return watch(parameter(request, "prefix"), std::stoll(parameter(request, "after")), std::stoi(parameter(request, "waitMs")), channel) || !channel.isClosed();
    sleepFor(milliseconds(answerMs / 2));
    std::pair<int, Json> answer { 404, Json::object() };
    if (path == "/-/kv-range")
        answer = range(parameter(request, "prefix"), parameter(request, "after"));
    else if (path == "/-/kv-txn")
        answer = transact(Json::parse(request.body));
    else if (path == "/-/kv-key") {
        std::lock_guard lock(m_mutex);
        auto it = m_items.find(parameter(request, "key"));
        if (it != m_items.end() && it->second.exists)
            answer = { 200, itemOf(it->first, it->second) };
    }
    sleepFor(milliseconds(answerMs - answerMs / 2));
    return sendAnswer(channel, answer.first, { { "content-type", "application/json" } }, answer.second.dump());
}

Replica::Replica(Record& record, std::string id, std::string service, std::string zone, unsigned slots)
    : m_record(record)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_slots(slots)
    , m_server(std::make_unique<Server>([this](const Request& request, Channel& channel) { return handle(request, channel); }))
{
}

std::string Replica::registration(const char* state) const
{
    return Json { { "service", m_service }, { "addr", m_server->address() }, { "zone", m_zone }, { "version", "v1" }, { "slots", m_slots }, { "state", state }, { "coldLeftMs", 0 }, { "seq", 1 }, { "born", std::int64_t { 1'700'000'000'000 } + m_lifetime } }.dump();
}

std::vector<Replica::Run> Replica::runs()
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

void Replica::crash()
{
    m_record.write("replica " + m_id + " crashes");
    m_server->stopListening();
    m_isDown = true;
    m_server.reset();
}

void Replica::goDark()
{
    m_record.write("replica " + m_id + " goes dark");
    m_isDark = true;
}

void Replica::restart()
{
    m_isDown = true;
    m_isDark = false;
    m_server.reset();
    ++m_lifetime;
    m_isDown = false;
    m_server = std::make_unique<Server>([this](const Request& request, Channel& channel) { return handle(request, channel); });
    m_record.write("replica " + m_id + " is back");
}

bool Replica::work(int ms) const
{
    auto end = SteadyClock::now() + milliseconds(ms);
    while (!m_isDown && (m_isDark || SteadyClock::now() < end))
        sleepFor(milliseconds(2));
    return !m_isDown;
}

unsigned Replica::runsOf(const std::string& request)
{
    std::lock_guard lock(m_mutex);
    return static_cast<unsigned>(std::count_if(m_runs.begin(), m_runs.end(), [&](const Run& it) { return it.request == request; }));
}

bool Replica::handle(const Request& request, Channel& channel)
{
    std::string id = request.header("x-basilpoint-request-id");
    Headers headers { { "x-basilpoint-request-id", id } };
    if (m_isDark) {
        work(0);
        return false;
    }
    if (request.target == "/health")
        return sendAnswer(channel, 200, { { "x-basilpoint-instance-id", m_id } }, {});
    std::string expected = request.header("x-basilpoint-expect-instance");
    if (!expected.empty() && expected != m_id) {
        headers["x-basilpoint-instance-id"] = m_id;
        return sendAnswer(channel, 421, headers, {});
    }
    {
        std::lock_guard lock(m_mutex);
        m_runs.push_back({ id, request.body, secondsNow() });
    }
    m_record.write("replica " + m_id + " runs " + id + " " + request.target + ", body of " + std::to_string(request.body.size()) + " bytes");
    if (!crashesOn.empty() && request.body.find(crashesOn) != std::string::npos) {
        ++crashes;
        goDark();
    }
    if (!work(firstMs))
        return false;
    if (request.target.starts_with("/turn/"))
        return stream(id, channel);
    headers["x-basilpoint-server-stamp"] = "stamp-" + m_id;
    return sendAnswer(channel, 200, headers, "done " + id);
}

bool Replica::stream(const std::string& request, Channel& channel) const
{
    std::string head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nx-basilpoint-request-id: " + request + "\r\nx-basilpoint-server-stamp: stamp-" + m_id + "\r\n\r\n";
    if (!channel.send(head))
        return false;
    for (int n = 1; n <= events; ++n) {
        std::string event = "id: " + std::to_string(n) + "\ndata: " + eventText + std::to_string(n) + "-" + request + "\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n"
              << event << "\r\n";
        if (!channel.send(chunk.str()))
            return false;
        if (!work(stepMs))
            return false;
    }
    return channel.send("0\r\n\r\n");
}

static unsigned freePort()
{
    static std::set<unsigned> used;
    for (;;) {
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        static_cast<void>(::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size));
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        ::close(descriptor);
        if (used.insert(ntohs(address.sin_port)).second)
            return ntohs(address.sin_port);
    }
}

Deployment::Deployment(Record& record, Store& store)
    : m_record(record)
    , m_store(store)
    , m_folder(std::filesystem::temp_directory_path() / ("basilpoint-review-" + std::to_string(::getpid())))
{
    std::filesystem::create_directories(m_folder);
}

Deployment::~Deployment()
{
    for (auto& [name, machine] : m_machines)
        if (machine.process > 0) {
            ::kill(machine.process, SIGKILL);
            ::waitpid(machine.process, nullptr, 0);
        }
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(m_folder);
}

void Deployment::startAll(unsigned gateways, unsigned keepers)
{
    static const std::vector<std::string> zones { "za", "zb", "zc" };
    auto add = [&](const std::string& name, unsigned n, bool isGateway) {
        m_machines[name] = { name, zones[n % zones.size()], isGateway, isGateway ? freePort() : 0, isGateway ? freePort() : 0, freePort() };
    };
    for (unsigned n = 0; n < keepers; ++n)
        add("store-" + std::to_string(n + 1), n, false);
    for (unsigned n = 0; n < gateways; ++n)
        add("front-" + std::to_string(n + 1), n, true);
    for (const auto& [name, machine] : m_machines)
        start(name);
}

void Deployment::start(const std::string& name)
{
    Machine& machine = m_machines.at(name);
    std::string path = m_folder + "/" + name + ".conf";
    std::ofstream file(path);
    file << "node=" << name << "\nrole=" << (machine.isGateway ? "gateway" : "keeper") << "\nclass=" << (machine.isGateway ? "front" : "store") << "\nserves=" << (machine.isGateway ? "front" : "store") << "\nip=127.0.0.1\nzone=" << machine.zone
         << "\nregion=r\nzones.za=r\nzones.zb=r\nzones.zc=r\nportRange=" << machine.peers << "," << machine.peers << "\nbootstrap=" << (machine.starts++ == 0 ? "true" : "false") << "\ninTolerance=" << (machine.isGateway ? "false" : "true")
         << "\nlimits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb=" << memoryMb << "\nlimits.maxFds=1024\ndiscovery=platform\nentry=vip\nbeatMs=1200\ncontracts=base,drain,config,cost,recover,agent,stream,engine,platform\ntolerate.machines=1\ntolerate.zones=0\n"
         << "bounds.stableWindowMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4.4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configMs=2000\nbounds.recoverS=12\n"
         << "provider.addr=" << m_store.address() << "\nprovider.form=kv\nprovider.writesPerS=400\nprovider.readsPerS=2000\nprovider.historyS=20\nprovider.valueBytes=1048576\nprovider.ttlMinMs=1000\n";
    if (machine.isGateway)
        file << "listen.front=127.0.0.1:" << machine.callers << "\nlisten.ready=127.0.0.1:" << machine.readiness << "\n";
    else
        file << "dataDir=" << m_folder << "/" << name << "\n";
    file.close();
    std::string log = m_folder + "/" + name + ".log";
    std::string variable = "BASILPOINT_BOOT=" + path;
    m_record.write("start " + name);
    pid_t process = ::fork();
    if (process == 0) {
        int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::close(out);
        std::array<char*, 2> arguments { const_cast<char*>("target/bin/basilpoint-platform"), nullptr };
        std::array<char*, 2> environment { variable.data(), nullptr };
        ::execve(arguments[0], arguments.data(), environment.data());
        ::_exit(127);
    }
    machine.process = process;
}

void Deployment::signal(const std::string& name, int number)
{
    m_record.write("signal " + std::to_string(number) + " to " + name);
    if (m_machines.at(name).process > 0)
        ::kill(m_machines.at(name).process, number);
}

void Deployment::kill(const std::string& name)
{
    Machine& machine = m_machines.at(name);
    m_record.write("kill " + name);
    if (machine.process <= 0)
        return;
    ::kill(machine.process, SIGKILL);
    ::waitpid(machine.process, nullptr, 0);
    machine.process = 0;
}

bool Deployment::isRunning(const std::string& name, std::string* how)
{
    Machine& machine = m_machines.at(name);
    int status = 0;
    if (machine.process <= 0)
        return false;
    if (::waitpid(machine.process, &status, WNOHANG) == 0)
        return true;
    machine.process = 0;
    std::string text = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status)) : "with status " + std::to_string(WEXITSTATUS(status));
    m_record.write("the process of " + name + " has ended " + text);
    if (how)
        *how = text;
    return false;
}

bool Deployment::isReady(const std::string& name)
{
    return call(m_machines.at(name).readiness, "GET", "/-/ready", { { "host", "ready" } }, {}, milliseconds(500)).status == 200;
}

bool Deployment::awaitReady(milliseconds limit)
{
    auto end = SteadyClock::now() + limit;
    auto allReady = [&] {
        return std::all_of(m_machines.begin(), m_machines.end(), [&](const auto& it) { return m_store.has("daemons/" + it.first) && (!it.second.isGateway || isReady(it.first)); });
    };
    while (!allReady()) {
        if (SteadyClock::now() > end)
            return false;
        sleepFor(milliseconds(50));
    }
    return true;
}

long Deployment::residentMb(const std::string& name)
{
    std::ifstream status("/proc/" + std::to_string(m_machines.at(name).process) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmRSS:"))
            return std::strtol(line.c_str() + 6, nullptr, 10) / 1'024;
    return 0;
}

std::vector<std::string> Deployment::gateways() const
{
    std::vector<std::string> names;
    for (const auto& [name, machine] : m_machines)
        if (machine.isGateway)
            names.push_back(name);
    return names;
}

std::vector<std::string> Deployment::keepers() const
{
    std::vector<std::string> names;
    for (const auto& [name, machine] : m_machines)
        if (!machine.isGateway)
            names.push_back(name);
    return names;
}

std::string Deployment::logOf(const std::string& name) const
{
    std::ifstream file(m_folder + "/" + name + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string manifest(int version)
{
    Json routes = Json::array();
    routes.push_back({ { "name", "turns" }, { "host", "h.example" }, { "prefix", "/turn/" }, { "kind", "stream" }, { "timeoutMs", 4'000 }, { "targetLatencyMs", 250 }, { "priority", 0 }, { "service", "models" }, { "maxAttempts", 2 }, { "stateful", true }, { "retainS", 60.0 }, { "sticky", true }, { "resumable", false }, { "gapAimMs", 200 } });
    routes.push_back({ { "name", "pay" }, { "host", "h.example" }, { "prefix", "/pay/" }, { "kind", "non_idempotent" }, { "timeoutMs", 3'000 }, { "targetLatencyMs", 400 }, { "priority", 1 }, { "service", "tools" }, { "maxAttempts", 1 } });
    routes.push_back({ { "name", "get" }, { "host", "h.example" }, { "prefix", "/get/" }, { "kind", "idempotent" }, { "timeoutMs", 1'200 }, { "targetLatencyMs", 120 }, { "priority", 2 }, { "service", "tools" }, { "maxAttempts", 2 } });
    Json services = Json::array();
    services.push_back({ { "name", "models" }, { "healthPath", "/health" }, { "maxConns", 170 }, { "proto", "h1" }, { "tls", false }, { "engine", { { "slots", 16 }, { "kvTokens", 127'477 }, { "kvBytes", 35'136 }, { "stride", 11 }, { "most", 12 } } } });
    services.push_back({ { "name", "tools" }, { "healthPath", "/health" }, { "maxConns", 100 }, { "proto", "h1" }, { "tls", false } });
    Json limits { { "maxHeaderBytes", 16'384 }, { "maxBodyBytes", 4'194'304 }, { "headerTimeoutMs", 3'000 }, { "idleTimeoutMs", 15'000 } };
    return Json { { "version", version }, { "routes", routes }, { "services", services }, { "limits", limits } }.dump();
}

std::string encode(const std::string& method, const std::string& target, const Headers& headers, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (method != "GET" || !body.empty())
        text += "content-length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

Answer call(unsigned port, const std::string& method, const std::string& target, const Headers& headers, const std::string& body, milliseconds limit)
{
    auto channel = Channel::connect(port, milliseconds(1'000));
    if (!channel || !channel->send(encode(method, target, headers, body)))
        return {};
    return channel->readAnswer(limit);
}

Answer sendTurn(unsigned port, const TurnCall& turn)
{
    Headers headers { { "host", "h.example" }, { "x-basilpoint-request-id", turn.id }, { "x-basilpoint-program-id", turn.program }, { "x-basilpoint-session-id", turn.session.empty() ? "s-" + turn.program : turn.session }, { "x-basilpoint-model", "m" },
        { "x-basilpoint-finish-ms", std::to_string(turn.finishMs) }, { "x-basilpoint-token-budget", std::to_string(turn.budget) }, { "x-basilpoint-token-count", std::to_string(turn.promptTokens) + "," + std::to_string(turn.maxTokens) }, { "x-basilpoint-deadline-ms", std::to_string(turn.deadlineMs) } };
    if (!turn.previous.empty())
        headers["x-basilpoint-previous-turn"] = turn.previous;
    return call(port, "POST", "/turn/x", headers, turn.input, milliseconds(turn.patienceMs));
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    std::lock_guard lock(mutex);
    std::ostringstream text;
    text << std::hex << random();
    return text.str();
}

} // namespace review
