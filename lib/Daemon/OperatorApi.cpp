#include "OperatorApi.h"

#include "JsonBody.h"

#include "basilpoint/Net/Errors.h"

#include <openssl/crypto.h>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr int statusOk = 200;
static constexpr int statusAccepted = 202;
static constexpr int statusUnauthorized = 401;
static constexpr int statusUnavailable = 503;
static constexpr std::string_view explainPrefix = "/debug/programs/";
static constexpr std::string_view bearerPrefix = "Bearer ";

UnauthorizedError::UnauthorizedError()
    : Error({ "unauthorized", statusUnauthorized, Executed::No }, {})
{
}

OperatorApi::OperatorApi(std::string token, const DecisionLog& log, Metrics& metrics, OperatorHooks hooks)
    : m_token(std::move(token))
    , m_log(log)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
}

static void sendText(ResponseWriter& writer, int status, std::string text)
{
    writer.send({ status, { { "content-type", "text/plain; version=0.0.4" } }, std::move(text) });
}

void OperatorApi::authenticate(const HttpRequest& request) const
{
    if (m_token.empty())
        return;
    std::string_view credentials = request.header("authorization");
    if (!credentials.starts_with(bearerPrefix))
        throw UnauthorizedError();
    credentials.remove_prefix(bearerPrefix.size());
    // Compares in constant time, so that response times do not reveal how many bytes match.
    if (credentials.size() != m_token.size() || CRYPTO_memcmp(credentials.data(), m_token.data(), m_token.size()) != 0)
        throw UnauthorizedError();
}

Json OperatorApi::explain(const ProgramId& program) const
{
    Json events = Json::array();
    for (const Decision& decision : m_log.find(program)) {
        auto time = std::chrono::duration_cast<Milliseconds>(decision.time.time_since_epoch()).count();
        events.push_back({ { "time", time }, { "event", toString(decision.kind) }, { "detail", decision.subject } });
    }
    return events;
}

void OperatorApi::handlePost(const HttpRequest& request, ResponseWriter& writer) const
{
    if (request.path() == "/drain") {
        m_hooks.drain();
        return sendJson(writer, statusAccepted, { { "draining", true } });
    }
    if (request.path() == "/targets/leave" || request.path() == "/targets/return") {
        Endpoint target = parseEndpoint("/address", jsonMember<std::string>(parseJsonBody(request), "address", "", "ADDRESS:PORT"));
        bool leaving = request.path() == "/targets/leave";
        (leaving ? m_hooks.targetLeaving : m_hooks.targetReturned)(target);
        return sendJson(writer, statusOk, { { "target", target.text() }, { "leaving", leaving } });
    }
    throw RouteNotFoundError(request.method, std::string(request.path()));
}

void OperatorApi::handle(const HttpRequest& request, ResponseWriter& writer) const
{
    std::string_view path = request.path();
    if (path == "/healthz")
        return sendText(writer, statusOk, "ok\n");
    if (path == "/readyz") {
        bool ready = m_hooks.ready();
        return sendText(writer, ready ? statusOk : statusUnavailable, ready ? "ready\n" : "not ready\n");
    }
    authenticate(request);
    if (request.method == "POST")
        return handlePost(request, writer);
    if (path == "/metrics") {
        m_hooks.refreshMetrics(m_metrics);
        return sendText(writer, statusOk, m_metrics.render());
    }
    if (path == "/debug/state")
        return sendJson(writer, statusOk, m_hooks.state());
    if (path.starts_with(explainPrefix))
        return sendJson(writer, statusOk, explain(ProgramId(std::string(path.substr(explainPrefix.size())))));
    throw RouteNotFoundError(request.method, std::string(path));
}

} // namespace basilpoint
