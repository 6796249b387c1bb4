#include "ProgramController.h"

#include "ChatStream.h"
#include "Operations.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Program/Errors.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr int statusOk = 200;
static constexpr int statusCreated = 201;
static constexpr std::size_t maxKeyLength = 255;

static void sendJson(ResponseWriter& writer, int status, const Json& json)
{
    writer.send({ status, { { "content-type", "application/json" } }, json.dump(-1, ' ', false, Json::error_handler_t::replace) });
}

static Json parseBody(const HttpRequest& request)
{
    Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        throw InvalidInputError("body", request.body.substr(0, 80), "a JSON object");
    return body;
}

template <typename Value>
static Value member(const Json& body, const char* name, Value fallback, const char* allowed)
{
    auto it = body.find(name);
    if (it == body.end())
        return fallback;
    bool fits = std::is_same_v<Value, std::string> ? it->is_string() : std::is_same_v<Value, bool> ? it->is_boolean()
                                                                                                   : it->is_number_unsigned();
    if (!fits)
        throw InvalidInputError(std::string("/") + name, it->dump().substr(0, 80), allowed);
    return it->get<Value>();
}

static RequestKey keyOf(const HttpRequest& request)
{
    std::string_view text = request.header("idempotency-key");
    if (text.size() > maxKeyLength)
        throw InvalidInputError("Idempotency-Key", std::string(text.substr(0, 80)), "at most 255 bytes");
    return RequestKey(std::string(text));
}

static Json summaryToJson(const ProgramSummary& summary)
{
    return { { "id", summary.program.text() }, { "environment", summary.environment.text() }, { "budgetTokens", summary.budget }, { "spentTokens", summary.spent }, { "reservedTokens", summary.reserved }, { "turns", summary.turns }, { "chain", summary.chain.text() }, { "open", summary.open } };
}

static std::string eventOf(std::string_view data)
{
    return "data: " + std::string(data) + "\n\n";
}

static Json completionOf(const std::string& model, const std::string& message)
{
    Json choice { { "index", 0 }, { "message", Json::parse(message) }, { "finish_reason", "stop" } };
    return { { "object", "chat.completion" }, { "model", model }, { "choices", Json::array({ std::move(choice) }) } };
}

// A recorded answer goes out in the form that the caller asks for this time.
static void sendRecordedTurn(ResponseWriter& writer, bool stream, const std::string& model, const std::string& message)
{
    if (!stream)
        return sendJson(writer, statusOk, completionOf(model, message));
    Json chunk { { "object", "chat.completion.chunk" }, { "model", model }, { "choices", Json::array({ { { "index", 0 }, { "delta", Json::parse(message) }, { "finish_reason", "stop" } } }) } };
    writer.begin(statusOk, { { "content-type", "text/event-stream" } });
    writer.write(eventOf(chunk.dump()));
    writer.write(eventOf("[DONE]"));
    writer.end();
}

ProgramController::ProgramController(const Clock& clock, RandomEngine& random, HttpClient& client, EnvironmentController& environments, ShardController& shards)
    : m_clock(clock)
    , m_random(random)
    , m_client(client)
    , m_environments(environments)
    , m_shards(shards)
{
}

void ProgramController::handle(RequestContext& context)
{
    std::visit([&](const auto& operation) { run(context, operation); }, context.operation);
}

std::shared_ptr<const Environment> ProgramController::environmentOf(const ProgramId& program)
{
    return m_environments.find(m_shards.table(shardOf(program)).summary(program).environment);
}

void ProgramController::run(RequestContext& context, const OpenProgramOperation&)
{
    Json body = parseBody(context.request);
    ProgramId parent(member<std::string>(body, "parent", "", "a program id"));
    auto environment = parent.empty() ? m_environments.find(EnvironmentId(member<std::string>(body, "environment", "", "an environment's name"))) : environmentOf(parent);
    const EnvironmentRules& rules = environment->rules;
    ProgramOpened opened;
    opened.program = parent.empty() ? m_shards.mint(m_random) : m_shards.mintChild(parent, m_random);
    opened.environment = environment->id;
    opened.owner = environment->owner;
    opened.openKey = keyOf(context.request);
    opened.parent = parent;
    opened.budget = std::min(member<TokenCount>(body, "budgetTokens", rules.budgetTokens, "a number of tokens"), rules.budgetTokens);
    opened.openedAt = m_clock.wallNow();
    auto deadline = std::min<std::uint64_t>(member<std::uint64_t>(body, "deadlineSeconds", static_cast<std::uint64_t>(rules.deadline.count()), "a number of seconds"), static_cast<std::uint64_t>(rules.deadline.count()));
    opened.deadline = opened.openedAt + std::chrono::seconds(deadline);

    ShardId shard = shardOf(opened.program);
    ProgramTable& table = m_shards.table(shard);
    if (!opened.openKey.empty()) {
        if (auto known = table.findByOpenKey(opened.environment, opened.openKey))
            return sendJson(context.writer, statusOk, summaryToJson(table.summary(*known)));
    }
    m_shards.commit(shard, table.open(opened));
    sendJson(context.writer, statusCreated, summaryToJson(m_shards.table(shard).summary(opened.program)));
}

void ProgramController::run(RequestContext& context, const ShowProgramOperation& operation)
{
    sendJson(context.writer, statusOk, summaryToJson(m_shards.table(shardOf(operation.program)).summary(operation.program)));
}

void ProgramController::run(RequestContext& context, const CloseProgramOperation& operation)
{
    ShardId shard = shardOf(operation.program);
    m_shards.commit(shard, m_shards.table(shard).close(operation.program, CloseReason::Caller));
    sendJson(context.writer, statusOk, summaryToJson(m_shards.table(shard).summary(operation.program)));
}

void ProgramController::run(RequestContext& context, const ModelCallOperation& operation)
{
    Json body = parseBody(context.request);
    auto environment = environmentOf(operation.program);
    auto model = member<std::string>(body, "model", "", "a model's name");
    auto pool = environment->models.find(model);
    if (pool == environment->models.end())
        throw InvalidInputError("/model", model, "a model of the environment");
    TokenCount maxOutput = std::min(member<TokenCount>(body, "max_tokens", environment->rules.maxOutputTokens, "a number of tokens"), environment->rules.maxOutputTokens);
    bool stream = member<bool>(body, "stream", false, "true or false");
    ShardId shard = shardOf(operation.program);
    TurnRequest turn { operation.program, keyOf(context.request), body.value("messages", Json()).dump(), maxOutput };
    CallDecision decision = m_shards.table(shard).startTurn(turn, m_clock.wallNow());
    if (const auto* recorded = std::get_if<RecordedAnswer>(&decision))
        return sendRecordedTurn(context.writer, stream, model, recorded->body);
    body["max_tokens"] = maxOutput;
    m_shards.commit(shard, std::get<ProgramRecord>(decision));
    runModelCall(context, operation.program, pool->second, body);
}

void ProgramController::runModelCall(RequestContext& context, const ProgramId& program, const ModelPool& pool, const Json& body)
{
    ShardId shard = shardOf(program);
    bool streaming = body.value("stream", false);
    Json request = body;
    request["stream"] = true;
    request["messages"] = Json::parse(m_shards.table(shard).promptOfOpenTurn(program));
    const Endpoint& replica = pool.replicas[m_nextReplica++ % pool.replicas.size()];
    bool callerGone = false;
    ChatStream answer([&](std::string_view data) {
        if (!streaming || callerGone)
            return;
        try {
            if (!context.writer.started())
                context.writer.begin(statusOk, { { "content-type", "text/event-stream" } });
            context.writer.write(eventOf(data));
        } catch (const ConnectionLostError&) {
            // The answer still belongs to the history; the caller fetches it by asking again.
            callerGone = true;
        }
    });
    HttpRequest engineRequest { "POST", "/v1/chat/completions", { { "content-type", "application/json" }, { "traceparent", context.traceParent } }, request.dump() };
    try {
        HttpResponse response = m_client.stream(replica, engineRequest, [&](std::string_view bytes) { answer.feed(bytes); });
        if (response.status != statusOk || !answer.done())
            throw TargetError(replica, Executed::Unknown, "status " + std::to_string(response.status));
    } catch (const Error&) {
        ProgramTable& table = m_shards.table(shard);
        m_shards.commit(shard, table.failTurn(program, answer.parts() > 0 ? std::numeric_limits<TokenCount>::max() : 0));
        throw;
    }
    ProgramTable& table = m_shards.table(shard);
    std::string message = answer.message();
    m_shards.commit(shard, table.finishTurn(program, message, answer.totalTokens().value_or(std::numeric_limits<TokenCount>::max())));
    if (callerGone)
        return;
    if (!streaming)
        return sendJson(context.writer, statusOk, completionOf(pool.name, message));
    // The last event says that the answer is whole and kept.
    context.writer.write(eventOf("[DONE]"));
    context.writer.end();
}

void ProgramController::run(RequestContext& context, const ToolCallOperation& operation)
{
    auto environment = environmentOf(operation.program);
    auto tool = environment->tools.find(operation.tool);
    if (tool == environment->tools.end())
        throw InvalidInputError("tool", operation.tool, "a tool of the environment");
    RequestKey key = keyOf(context.request);
    if (!tool->second.idempotent && key.empty())
        throw InvalidInputError("Idempotency-Key", "", "a key, since the tool's calls must not be repeated");
    if (tool->second.idempotent)
        return context.writer.send(callTool(context, tool->second, key));
    runTool(context, operation.program, tool->second, key);
}

HttpResponse ProgramController::callTool(const RequestContext& context, const ToolService& tool, const RequestKey& key)
{
    HttpRequest request { "POST", "/" + tool.name, { { "content-type", "application/json" }, { "traceparent", context.traceParent } }, context.request.body };
    if (!key.empty())
        request.headers["idempotency-key"] = key.text();
    HttpCallOptions options;
    options.readTimeout = tool.timeout;
    options.reuseConnection = tool.idempotent;
    return m_client.call(tool.addresses[m_nextReplica++ % tool.addresses.size()], request, options);
}

void ProgramController::runTool(RequestContext& context, const ProgramId& program, const ToolService& tool, const RequestKey& key)
{
    ShardId shard = shardOf(program);
    CallDecision decision = m_shards.table(shard).recordIntent({ program, key, tool.name, context.request.body }, m_clock.wallNow());
    if (const auto* recorded = std::get_if<RecordedAnswer>(&decision))
        return context.writer.send({ recorded->status, { { "content-type", "application/json" } }, recorded->body });
    m_shards.commit(shard, std::get<ProgramRecord>(decision));
    HttpResponse response;
    try {
        response = callTool(context, tool, key);
    } catch (const TargetError& error) {
        ProgramTable& table = m_shards.table(shard);
        m_shards.commit(shard, table.recordOutcome(program, key, error.executed(), 0, {}));
        if (error.executed() == Executed::No)
            throw;
        throw OutcomeUnknownError(program, key);
    }
    ProgramTable& table = m_shards.table(shard);
    m_shards.commit(shard, table.recordOutcome(program, key, Executed::Yes, response.status, response.body));
    context.writer.send(response);
}

} // namespace basilpoint
