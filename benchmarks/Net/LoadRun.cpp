#include "LoadRun.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace basilpoint::bench {

using Json = nlohmann::json;

static constexpr int statusOk = 200;
static constexpr int statusCreated = 201;
static constexpr std::string_view eventPrefix = "data: ";

namespace {

    struct Run {
        const LoadSettings& settings;
        HttpClient client;
        LoadResult result {};
        unsigned running = 0;
        FiberSignal ended {};
    };

    // Records the time to the first token and between the tokens of one call.
    class TokenTimer {
    public:
        explicit TokenTimer(LoadResult& result)
            : m_result(result)
            , m_last(std::chrono::steady_clock::now())
        {
        }

        void add(std::string_view chunk)
        {
            m_buf.append(chunk);
            for (auto end = m_buf.find("\n\n"); end != std::string::npos; end = m_buf.find("\n\n")) {
                addEvent(std::string_view(m_buf).substr(0, end));
                m_buf.erase(0, end + 2);
            }
        }

        bool isComplete() const { return m_isComplete; }

    private:
        void addEvent(std::string_view event)
        {
            // Other fields, such as the event's id, may precede the data.
            auto at = event.find(eventPrefix);
            if (at == std::string_view::npos)
                return;
            std::string_view data = event.substr(at + eventPrefix.size());
            m_isComplete = m_isComplete || data.starts_with("[DONE]");
            if (data.find("\"content\":\"") == std::string_view::npos)
                return;
            auto now = std::chrono::steady_clock::now();
            (m_hasToken ? m_result.betweenTokens : m_result.firstToken).add(now - m_last);
            m_last = now;
            m_hasToken = true;
            ++m_result.tokens;
        }

        LoadResult& m_result;
        TimePoint m_last;
        std::string m_buf;
        bool m_hasToken = false;
        bool m_isComplete = false;
    };

} // namespace

static std::string openProgram(Run& run)
{
    if (run.settings.environment.empty())
        return {};
    Json body { { "environment", run.settings.environment } };
    HttpResponse response = run.client.call(run.settings.address, { "POST", "/v1/programs", {}, body.dump() });
    if (response.status != statusOk && response.status != statusCreated)
        throw TargetError(run.settings.address, Executed::Unknown, response.body);
    return Json::parse(response.body).at("id").get<std::string>();
}

static void callOnce(Run& run, const std::string& program, unsigned index)
{
    Json message { { "role", "user" }, { "content", "call " + std::to_string(index) } };
    Json body { { "model", run.settings.model }, { "stream", true }, { "max_tokens", run.settings.tokensPerCall }, { "messages", Json::array({ message }) } };
    HttpRequest request { "POST", "/v1/chat/completions", { { "content-type", "application/json" } }, body.dump() };
    if (!program.empty())
        request.headers["basilpoint-program"] = program;
    TokenTimer timer(run.result);
    try {
        HttpResponse response = run.client.stream(run.settings.address, request, [&](std::string_view chunk) { timer.add(chunk); });
        run.result.failures += response.status != statusOk || !timer.isComplete() ? 1 : 0;
    } catch (const Error&) {
        ++run.result.failures;
    }
}

static void runStream(Run& run, const std::string& program, unsigned index)
{
    sleepFiber(run.settings.ramp * index / run.settings.streams);
    for (unsigned n = 0; n < run.settings.callsPerStream; ++n)
        callOnce(run, program, n);
    --run.running;
    run.ended.notifyAll();
}

LoadResult runLoad(boost::asio::io_context& io, const LoadSettings& settings)
{
    Run run { settings, HttpClient(io) };
    std::vector<std::string> programs;
    for (unsigned n = 0; n < settings.streams; ++n)
        programs.push_back(openProgram(run));
    TimePoint start = std::chrono::steady_clock::now();
    run.running = settings.streams;
    for (unsigned n = 0; n < settings.streams; ++n)
        spawnFiber([&run, &programs, n] { runStream(run, programs[n], n); });
    while (run.running > 0)
        run.ended.wait();
    run.result.duration = std::chrono::steady_clock::now() - start;
    return std::move(run.result);
}

} // namespace basilpoint::bench
