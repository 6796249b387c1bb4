#include "Caller.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberSignal.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace basilpoint::test {

using Json = nlohmann::json;

static constexpr Milliseconds retryDelay { 50 };
static constexpr Milliseconds responseTimeout { 5'000 };
static constexpr unsigned maxAttempts = 400;
static constexpr int statusOk = 200;
static constexpr int statusUnavailable = 503;

// Replaces BOOST_REQUIRE, whose exception would end the process: callers run in detached fibers.
static void requireOrThrow(bool holds, const std::string& what)
{
    BOOST_TEST(holds, what);
    if (!holds)
        throw CallerFailed();
}

Caller::Caller(HttpClient& client, TestFleet& fleet, unsigned seed)
    : m_client(client)
    , m_fleet(fleet)
    , m_random(seed)
{
}

const Endpoint& Caller::anyDaemon()
{
    return m_fleet.callerAddress(static_cast<unsigned>(m_random() % m_fleet.daemonCount()));
}

HttpResponse Caller::send(const HttpRequest& request)
{
    HttpCallOptions options;
    options.reuseConnection = false;
    options.connectTimeout = Milliseconds(500);
    // A paused daemon accepts the connection but never responds.
    options.readTimeout = responseTimeout;
    for (unsigned n = 0; n < maxAttempts; ++n) {
        try {
            HttpResponse response = m_client.call(anyDaemon(), request, options);
            if (response.status != statusUnavailable)
                return response;
        } catch (const TargetError&) {
            // The daemon is unavailable; the idempotency key makes the next attempt a repeat.
        }
        ++m_retries;
        sleepFiber(retryDelay);
    }
    requireOrThrow(false, "no daemon answered " + request.target + "\n" + m_fleet.logs());
    return {};
}

std::string Caller::open(const std::string& key, unsigned budgetTokens)
{
    Json body { { "environment", "test" }, { "budgetTokens", budgetTokens } };
    HttpResponse response = send({ "POST", "/v1/programs", { { "idempotency-key", key } }, body.dump() });
    requireOrThrow(response.status / 100 == 2, response.body);
    return Json::parse(response.body).at("id");
}

static std::string contentOf(const std::string& events, bool& closed)
{
    std::string content;
    std::istringstream in(events);
    for (std::string line; std::getline(in, line);) {
        if (line == "data: [DONE]")
            closed = true;
        else if (line.starts_with("data: "))
            content += Json::parse(line.substr(6))["choices"][0]["delta"].value("content", "");
    }
    return content;
}

std::string Caller::chat(const std::string& program, const std::string& key, const std::string& question)
{
    Json body { { "model", "m" }, { "stream", true }, { "messages", Json::array({ { { "role", "user" }, { "content", question } } }) } };
    HttpRequest request { "POST", "/v1/chat/completions", { { "idempotency-key", key }, { "basilpoint-program", program } }, body.dump() };
    for (unsigned n = 0; n < maxAttempts; ++n) {
        HttpResponse response = send(request);
        bool closed = false;
        if (response.status == statusOk) {
            std::string content = contentOf(response.body, closed);
            requireOrThrow(closed, "stream ended without its closing event");
            return content;
        }
        requireOrThrow(response.status == 409 || response.status == 502, response.body);
        ++m_retries;
        sleepFiber(retryDelay);
    }
    requireOrThrow(false, "model call did not succeed within the maximum number of attempts");
    return {};
}

ToolResult Caller::pay(const std::string& program, const std::string& key)
{
    HttpResponse response = send({ "POST", "/v1/programs/" + program + "/tools/pay", { { "idempotency-key", key } }, Json { { "amount", key } }.dump() });
    if (response.status == statusOk)
        return ToolResult::Ran;
    auto executed = Json::parse(response.body).value("executed", "");
    requireOrThrow(executed == "no" || executed == "unknown", response.body);
    return executed == "no" ? ToolResult::NotRun : ToolResult::Unknown;
}

Json Caller::show(const std::string& program)
{
    return Json::parse(send({ "GET", "/v1/programs/" + program, {}, {} }).body);
}

void Caller::close(const std::string& program)
{
    HttpResponse response = send({ "DELETE", "/v1/programs/" + program, {}, {} });
    BOOST_TEST(response.status == statusOk, response.body);
}

std::string labelOf(const std::string& content)
{
    return content.substr(0, content.find('-'));
}

bool isCompleteAnswer(const std::string& content, unsigned tokens)
{
    std::string expected;
    for (unsigned n = 0; n < tokens; ++n)
        expected += labelOf(content) + "-" + std::to_string(n) + " ";
    return content == expected;
}

} // namespace basilpoint::test
