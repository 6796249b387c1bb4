#include "ModelCallController.h"

#include "ChatStream.h"
#include "JsonBody.h"
#include "Operations.h"
#include "SchedulerDriver.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Program/Errors.h"
#include "basilpoint/Support/ParseNumber.h"

#include <spdlog/spdlog.h>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr int statusOk = 200;
static constexpr int statusBadRequest = 400;
static constexpr int statusServerError = 500;
static constexpr int statusTooManyRequests = 429;
static constexpr unsigned maxAttempts = 3;
static constexpr TokenCount wholeReservation = std::numeric_limits<TokenCount>::max();
static constexpr auto resumeField = "basilpoint_resume";

namespace {

    /// The engine rejected the request itself; another replica would reject it as well.
    class EngineRefusedError final : public Error {
    public:
        EngineRefusedError(int status, const std::string& body)
            : Error({ "engine-refused", statusBadRequest, Executed::No }, { { "status", std::to_string(status) }, { "answer", body.substr(0, 200) } })
        {
        }
    };

    /// The program was closed while its call was running.
    class CallCancelledError final : public Error {
    public:
        explicit CallCancelledError(const ProgramId& program)
            : Error({ "cancelled", 409, Executed::Unknown }, { { "program", program.text() } })
        {
        }
    };

} // namespace

static std::size_t parseLastEventId(const HttpRequest& request)
{
    std::string_view text = request.header("last-event-id");
    auto n = parseNumber<std::size_t>(text);
    if (!text.empty() && !n)
        throw InvalidInputError("Last-Event-ID", std::string(text.substr(0, 40)), "the id of an event of this answer");
    return n.value_or(0);
}

ModelCallController::ModelCallController(const Clock& clock, HttpClient& client, EnvironmentController& environments, ShardController& shards, ProgramLocks& locks, ModelDispatcher& dispatcher, DecisionLog& log)
    : m_clock(clock)
    , m_client(client)
    , m_environments(environments)
    , m_shards(shards)
    , m_locks(locks)
    , m_dispatcher(dispatcher)
    , m_log(log)
{
}

void ModelCallController::handle(RequestContext& context, const ProgramId& program)
{
    Json body = parseJsonBody(context.request);
    ShardId shard = shardOf(program);
    auto environment = m_environments.find(m_shards.table(shard).openingRecord(program).environment);
    ChatResponseFormat format { jsonMember<std::string>(body, "model", "", "a model's name"), jsonMember<bool>(body, "stream", false, "true or false"), parseLastEventId(context.request) };
    if (!environment->models.contains(format.model))
        throw InvalidInputError("/model", format.model, "a model of the environment");
    TokenCount limit = environment->rules.maxOutputTokens;
    TokenCount maxOutput = std::min(jsonMember<TokenCount>(body, "max_tokens", limit, "a number of tokens"), limit);
    TurnRequest request { program, idempotencyKeyOf(context.request), body.value("messages", Json()).dump(-1, ' ', false, Json::error_handler_t::replace), maxOutput };
    Digest digest = digestOf(request.messages);

    auto running = m_running.find(program);
    if (running != m_running.end() && !request.key.empty() && running->second->request.key == request.key) {
        if (running->second->digest != digest)
            throw ConflictError(program, request.key);
        auto turn = running->second;
        return sendRunningTurn(context.writer, format, turn->stream);
    }

    auto activeRequest = m_shards.startRequest(shard);
    auto guard = std::shared_ptr<ProgramLocks::Guard>(m_locks.lock(program, LockMode::Exclusive));
    CallDecision decision = m_shards.table(shard).startTurn(request, m_clock.wallNow());
    if (const auto* recorded = std::get_if<RecordedAnswer>(&decision)) {
        m_log.record(program, DecisionKind::AnsweredFromJournal, request.key.text());
        return sendFinishedTurn(context.writer, format, recorded->body);
    }
    std::string resumed = jsonMember<std::string>(body, resumeField, "", "content that was delivered");
    if (format.offset > resumed.size())
        throw InvalidInputError("Last-Event-ID", std::to_string(format.offset), "at most the content of an answer that this service still has");
    body.erase(resumeField);
    body["max_tokens"] = maxOutput;
    auto turn = std::make_shared<RunningTurn>(std::move(resumed));
    turn->request = std::move(request);
    turn->digest = digest;
    turn->body = std::move(body);
    turn->traceParent = context.traceParent;
    turn->environment = environment;
    turn->model = format.model;
    m_running[program] = turn;
    // The call continues if its caller disconnects, since its answer becomes part of the program's history.
    spawnFiber([this, turn, guard, activeRequest] { executeTurn(turn); });
    sendRunningTurn(context.writer, format, turn->stream);
}

void ModelCallController::executeTurn(const std::shared_ptr<RunningTurn>& turn)
{
    const ProgramId& program = turn->request.program;
    try {
        turn->stream.finish(runTurn(*turn));
        m_log.record(program, DecisionKind::Finished, turn->model);
    } catch (const Error& error) {
        m_log.record(program, DecisionKind::Failed, std::string(error.code()));
        turn->stream.fail(std::current_exception());
    }
    m_running.erase(program);
}

CallEnd ModelCallController::callEndFor(const RunningTurn& turn, const TargetError& error)
{
    if (turn.cancelled)
        return CallEnd::Cancelled;
    // A replica that accepted no connection cannot have crashed because of this request.
    bool inFlight = !error.answered() && error.executed() != Executed::No;
    return inFlight ? CallEnd::TargetCrashed : CallEnd::Failed;
}

std::string ModelCallController::runTurn(RunningTurn& turn)
{
    const ProgramId& program = turn.request.program;
    ShardId shard = shardOf(program);
    m_log.record(program, DecisionKind::Queued, turn.model);
    std::string message;
    TokenCount used = wholeReservation;
    for (unsigned attempt = 1;; ++attempt) {
        DispatchGrant grant;
        try {
            grant = m_dispatcher.acquire(describeCall(turn));
        } catch (const CallRefusedError& error) {
            m_log.record(program, DecisionKind::Refused, std::string(error.code()));
            if (turn.started)
                commitFailure(turn);
            throw;
        }
        ChatStream answer;
        try {
            if (!turn.started) {
                CallDecision decision = m_shards.table(shard).startTurn(turn.request, m_clock.wallNow());
                m_shards.commit(shard, std::get<ProgramRecord>(decision));
                turn.started = std::get<TurnStarted>(std::get<ProgramRecord>(decision));
            }
            m_log.record(program, DecisionKind::Dispatched, grant.replica.text());
            runAttempt(turn, grant, answer);
            m_dispatcher.ended(grant.call, CallEnd::Finished, answer.contentParts());
            message = answer.messageWith(turn.stream.content());
            used = answer.totalTokens().value_or(wholeReservation);
            break;
        } catch (const TargetError& error) {
            if (error.executed() == Executed::No)
                m_dispatcher.unreachable(grant.call);
            m_dispatcher.ended(grant.call, callEndFor(turn, error), answer.contentParts());
            if (!turn.cancelled && attempt < maxAttempts) {
                m_log.record(program, DecisionKind::Retried, grant.replica.text());
                continue;
            }
            commitFailure(turn);
            if (turn.cancelled)
                throw CallCancelledError(program);
            throw;
        } catch (const ShardLostError&) {
            m_dispatcher.ended(grant.call, CallEnd::Cancelled, answer.contentParts());
            throw;
        } catch (const Error&) {
            m_dispatcher.ended(grant.call, CallEnd::Failed, answer.contentParts());
            if (turn.started)
                commitFailure(turn);
            throw;
        }
    }
    try {
        m_shards.commit(shard, m_shards.table(shard).finishTurn(*turn.started, message, used));
    } catch (const ShardLostError&) {
        throw ShardLostError(shard, Executed::Unknown);
    }
    return message;
}

void ModelCallController::commitFailure(const RunningTurn& turn)
{
    ShardId shard = shardOf(turn.request.program);
    // Once content was received, the tokens that the engines generated are not known exactly.
    TokenCount charged = turn.stream.content().empty() ? 0 : wholeReservation;
    m_shards.commit(shard, m_shards.table(shard).failTurn(*turn.started, charged));
}

ModelCall ModelCallController::describeCall(const RunningTurn& turn)
{
    const ProgramOpened& opened = m_shards.table(shardOf(turn.request.program)).openingRecord(turn.request.program);
    const EnvironmentRules& rules = turn.environment->rules;
    ModelCall call;
    call.program = turn.request.program;
    call.root = opened.parent.empty() ? opened.program : opened.parent;
    call.owner = opened.owner;
    call.environment = opened.environment;
    call.model = poolName(turn.environment->models.at(turn.model));
    call.promptTokens = m_shards.table(shardOf(call.program)).contextTokens(call.program) + turn.request.messages.size() / 4;
    call.maxOutput = turn.request.maxOutput;
    call.content = turn.digest;
    if (opened.deadline)
        call.deadline = m_clock.now() + std::chrono::duration_cast<Milliseconds>(*opened.deadline - m_clock.wallNow());
    PolicyWeights weights = rules.weightsAt(m_clock.wallNow());
    call.latencyWeight = weights.latency;
    call.cacheWeight = weights.cache;
    return call;
}

HttpRequest ModelCallController::engineRequest(const RunningTurn& turn, const DispatchGrant& grant)
{
    const ProgramId& program = turn.request.program;
    Json body = turn.body;
    body["stream"] = true;
    body["stream_options"] = { { "include_usage", true } };
    body["priority"] = grant.priority;
    body["messages"] = Json::parse(m_shards.table(shardOf(program)).promptOfOpenTurn(program));
    if (!turn.stream.content().empty()) {
        // The engine continues the content that was delivered; it must not generate it again.
        body["messages"].push_back({ { "role", "assistant" }, { "content", turn.stream.content() } });
        body["continue_final_message"] = true;
        body["add_generation_prompt"] = false;
    }
    HttpHeaders headers { { "content-type", "application/json" }, { "traceparent", turn.traceParent }, { "basilpoint-program", program.text() } };
    return { "POST", "/v1/chat/completions", std::move(headers), body.dump() };
}

void ModelCallController::runAttempt(RunningTurn& turn, const DispatchGrant& grant, ChatStream& answer)
{
    bool first = true;
    std::size_t appended = 0;
    auto onBytes = [&](std::string_view bytes) {
        answer.feed(bytes);
        if (first) {
            first = false;
            m_dispatcher.firstToken(grant.call);
        }
        turn.stream.append(std::string_view(answer.content()).substr(appended));
        appended = answer.content().size();
    };
    HttpCallOptions options;
    // On a reused connection, a target that crashed because of this request could not be told from one that closed an
    // idle connection.
    options.reuseConnection = false;
    HttpResponse response = m_client.stream(grant.replica, engineRequest(turn, grant), onBytes, options, &turn.cancellation);
    if (response.status == statusOk && answer.done())
        return;
    bool retryable = response.status == statusOk || response.status >= statusServerError || response.status == statusTooManyRequests;
    if (!retryable)
        throw EngineRefusedError(response.status, response.body);
    throw TargetError(grant.replica, Executed::Unknown, "status " + std::to_string(response.status), response.status != statusOk);
}

void ModelCallController::cancel(const ProgramId& program)
{
    auto it = m_running.find(program);
    if (it == m_running.end())
        return;
    it->second->cancelled = true;
    it->second->cancellation.cancel();
}

} // namespace basilpoint
