#include "basilpoint/Daemon/Daemon.h"

#include "MemoryJournal.h"
#include "Operations.h"
#include "ProgramController.h"
#include "TraceFilter.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberAwait.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/HttpKeyValueStore.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <random>
#include <spdlog/spdlog.h>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr Milliseconds refreshInterval { 500 };
static constexpr Milliseconds drainPollInterval { 20 };
static constexpr std::uint64_t localShardCount = 64;

const std::vector<SettingSpec>& daemonSettings()
{
    static const std::vector<SettingSpec> specs {
        { "listen", "127.0.0.1:8080", "Address for callers.", "ADDRESS:PORT" },
        { "operator-listen", "127.0.0.1:8081", "Address for operators.", "ADDRESS:PORT" },
        { "key-value", "127.0.0.1:2379", "Address of the key-value service's JSON gateway.", "ADDRESS:PORT" },
        { "log-level", "info", "Least severity that is logged.", "trace, debug, info, warn, error" },
        { "max-body-bytes", "4194304", "Largest request body in bytes.", "1024 to 67108864", { { 1'024, 67'108'864 } } },
        { "max-connections", "4096", "Most connections of callers at once.", "1 to 65536", { { 1, 65'536 } } },
        { "idle-timeout-ms", "60000", "Longest silence of a caller in milliseconds.", "100 to 3600000", { { 100, 3'600'000 } } },
    };
    return specs;
}

namespace {

    // Everything that one daemon is made of, in the order in which it depends on each other.
    class Daemon {
    public:
        Daemon(boost::asio::io_context&, const SettingValues&);

        void run();

    private:
        FilterChain makeChain();
        void serveCaller(const HttpRequest&, ResponseWriter&);
        void serveOperator(const HttpRequest&, ResponseWriter&);
        void refreshLoop();
        void stop();
        Json state() const;

        boost::asio::io_context& m_io;
        SystemClock m_clock;
        RandomEngine m_random;
        HttpClient m_client;
        HttpKeyValueStore m_store;
        EnvironmentController m_environments;
        MemoryJournal m_journal;
        ShardController m_shards;
        ProgramController m_programs;
        FilterChain m_chain;
        HttpServer m_callers;
        HttpServer m_operators;
        bool m_ready = false;
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

Daemon::Daemon(boost::asio::io_context& io, const SettingValues& values)
    : m_io(io)
    , m_random(std::random_device {}())
    , m_client(io)
    , m_store(m_client, values.endpoint("key-value"))
    , m_shards(m_journal)
    , m_programs(m_clock, m_random, m_client, m_environments, m_shards)
    , m_chain(makeChain())
    , m_callers(io, values.endpoint("listen"), callerLimits(values), [this](const HttpRequest& request, ResponseWriter& writer) { serveCaller(request, writer); })
    , m_operators(io, values.endpoint("operator-listen"), HttpLimits {}, [this](const HttpRequest& request, ResponseWriter& writer) { serveOperator(request, writer); })
{
}

FilterChain Daemon::makeChain()
{
    std::vector<std::unique_ptr<Filter>> filters;
    filters.push_back(std::make_unique<TraceFilter>(m_random));
    return FilterChain(std::move(filters), [this](RequestContext& context) { m_programs.handle(context); });
}

void Daemon::serveCaller(const HttpRequest& request, ResponseWriter& writer)
{
    RequestContext context { request, writer, parseOperation(request), {}, {} };
    m_chain.handle(context);
}

Json Daemon::state() const
{
    Json environments = Json::object();
    for (const auto& [id, stored] : m_environments.stored())
        environments[id.text()] = { { "revision", stored.revision.value() }, { "digest", stored.digest().text() } };
    Json shards = Json::array();
    for (ShardId shard : m_shards.owned())
        shards.push_back(shard.value());
    return { { "ready", m_ready }, { "stopping", m_stopping }, { "environments", environments }, { "shards", shards }, { "activeRequests", m_callers.activeRequests() } };
}

void Daemon::serveOperator(const HttpRequest& request, ResponseWriter& writer)
{
    std::string_view path = request.path();
    if (path == "/healthz")
        return writer.send({ 200, { { "content-type", "text/plain" } }, "ok\n" });
    if (path == "/readyz")
        return writer.send({ m_ready && !m_stopping ? 200 : 503, { { "content-type", "text/plain" } }, m_ready ? "ready\n" : "not ready\n" });
    if (path == "/debug/state")
        return writer.send({ 200, { { "content-type", "application/json" } }, state().dump() });
    throw RouteNotFoundError(request.method, std::string(path));
}

void Daemon::refreshLoop()
{
    while (!m_stopping) {
        try {
            m_environments.refresh(m_store);
            m_ready = true;
        } catch (const KeyValueUnavailableError& error) {
            spdlog::warn("{}", error.what());
        }
        boost::asio::steady_timer timer(m_io, refreshInterval);
        awaitIo([&](auto handler) { timer.async_wait(std::move(handler)); });
    }
}

void Daemon::run()
{
    for (std::uint64_t n = 0; n < localShardCount; ++n)
        m_shards.adopt(ShardId(n), Epoch(1), ProgramLimits {}, {});
    m_callers.start();
    m_operators.start();
    spdlog::warn("journal in memory only: programs do not outlive this process");
    spdlog::info("listening for callers on {}, for operators on {}", m_callers.endpoint().text(), m_operators.endpoint().text());
    spawnFiber([this] { refreshLoop(); });
    boost::asio::signal_set signals(m_io, SIGINT, SIGTERM);
    awaitSignal(signals);
    stop();
}

void Daemon::stop()
{
    spdlog::info("stopping");
    m_stopping = true;
    m_callers.stop();
    while (m_callers.activeRequests() > 0) {
        boost::asio::steady_timer timer(m_io, drainPollInterval);
        awaitIo([&](auto handler) { timer.async_wait(std::move(handler)); });
    }
    m_operators.stop();
    spdlog::info("stopped");
}

void runDaemon(boost::asio::io_context& io, const SettingValues& values)
{
    Daemon(io, values).run();
}

} // namespace basilpoint
