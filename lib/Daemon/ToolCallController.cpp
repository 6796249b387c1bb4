#include "ToolCallController.h"

#include "JsonBody.h"
#include "Operations.h"
#include "ShardDriver.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Program/Errors.h"

namespace basilpoint {

static constexpr unsigned maxIdempotentAttempts = 2;
static constexpr int statusOk = 200;
static constexpr int statusServerError = 500;

namespace {

    // Tells the dispatcher when a program's tool call starts and, in the destructor, that it has ended.
    class ToolCallScope {
    public:
        ToolCallScope(ModelDispatcher& dispatcher, const ProgramId& program, const std::string& tool)
            : m_dispatcher(dispatcher)
            , m_program(program)
        {
            m_dispatcher.toolStarted(program, tool);
        }

        ~ToolCallScope() { m_dispatcher.toolEnded(m_program); }

        ToolCallScope(const ToolCallScope&) = delete;
        ToolCallScope& operator=(const ToolCallScope&) = delete;

    private:
        ModelDispatcher& m_dispatcher;
        const ProgramId& m_program;
    };

} // namespace

ToolCallController::ToolCallController(const Clock& clock, HttpClient& client, EnvironmentController& environments, ShardController& shards, ProgramLocks& locks, ModelDispatcher& dispatcher, const LeavingTargetTracker& leaving, DecisionLog& log)
    : m_clock(clock)
    , m_client(client)
    , m_environments(environments)
    , m_shards(shards)
    , m_locks(locks)
    , m_dispatcher(dispatcher)
    , m_leaving(leaving)
    , m_log(log)
{
}

void ToolCallController::handle(RequestContext& context, const ToolCallOperation& operation)
{
    const ProgramId& program = operation.program;
    auto environment = m_environments.find(m_shards.table(shardOf(program)).openingRecord(program).environment);
    // The path is "/tools/SERVICE" or "/tools/SERVICE/CALL".
    auto slash = operation.tool.find('/');
    std::string call = slash == std::string::npos ? "" : operation.tool.substr(slash + 1);
    auto tool = environment->tools.find(operation.tool.substr(0, slash));
    if (tool == environment->tools.end())
        throw InvalidInputError("tool", operation.tool, "a tool of the environment");
    RequestKey key = idempotencyKeyOf(context.request);
    bool idempotent = tool->second.isIdempotent(call);
    if (!idempotent && key.empty())
        throw InvalidInputError("Idempotency-Key", "", "a key, since the tool's calls must not be repeated");
    auto activeRequest = m_shards.startRequest(shardOf(program));
    auto guard = m_locks.lock(program, LockMode::Shared);
    ToolCallScope toolCallScope(m_dispatcher, program, operation.tool);
    ToolCall toolCall { program, tool->second, operation.tool, key, idempotent };
    if (idempotent)
        runIdempotent(context, toolCall);
    else
        runNonIdempotent(context, toolCall);
}

void ToolCallController::runIdempotent(RequestContext& context, const ToolCall& call)
{
    m_log.record(call.program, DecisionKind::Dispatched, call.path);
    for (unsigned attempt = 1;; ++attempt) {
        try {
            return context.writer.send(send(context, call));
        } catch (const TargetError&) {
            if (attempt >= maxIdempotentAttempts)
                throw;
            m_log.record(call.program, DecisionKind::Retried, call.path);
        }
    }
}

HttpResponse ToolCallController::send(const RequestContext& context, const ToolCall& call)
{
    HttpRequest request { "POST", "/" + call.path, { { "content-type", "application/json" }, { "traceparent", context.traceParent } }, context.request.body };
    if (!call.key.empty())
        request.headers["idempotency-key"] = call.key.text();
    HttpCallOptions options;
    options.readTimeout = call.tool.timeout;
    // If a reused connection is closed while the request is sent, it is not known whether the call was executed.
    options.reuseConnection = call.idempotent;
    return m_client.call(pickAddress(call.tool), request, options);
}

const Endpoint& ToolCallController::pickAddress(const ToolService& tool)
{
    for (std::size_t n = 0; n < tool.addresses.size(); ++n) {
        const Endpoint& address = tool.addresses[m_nextAddress++ % tool.addresses.size()];
        if (m_leaving.admitsWork(TargetId(address.text())))
            return address;
    }
    throw TargetError(tool.addresses.front(), Executed::No, "every address is leaving");
}

void ToolCallController::runNonIdempotent(RequestContext& context, const ToolCall& call)
{
    const auto& [program, tool, path, key, idempotent] = call;
    CallKey callKey { program, key };
    while (auto running = m_running.contains(callKey) ? m_running[callKey] : nullptr)
        running->wait();
    ShardId shard = shardOf(program);
    CallDecision decision = m_shards.table(shard).recordIntent({ program, key, path, context.request.body }, m_clock.wallNow());
    if (const auto* recorded = std::get_if<RecordedAnswer>(&decision)) {
        m_log.record(program, DecisionKind::AnsweredFromJournal, key.text());
        return context.writer.send({ recorded->status, { { "content-type", "application/json" } }, recorded->body });
    }
    auto signal = std::make_shared<FiberSignal>();
    m_running[callKey] = signal;
    struct EndOnExit {
        ~EndOnExit()
        {
            running.erase(callKey);
            signal->notifyAll();
        }
        std::map<CallKey, std::shared_ptr<FiberSignal>>& running;
        const CallKey& callKey;
        std::shared_ptr<FiberSignal> signal;
    } endOnExit { m_running, callKey, signal };

    try {
        m_shards.commitForDispatch(shard, std::get<ProgramRecord>(decision));
    } catch (const ShardDegradedError&) {
        // Nothing was sent. The outcome is recorded as not executed, so that the caller may repeat the call later.
        m_shards.commit(shard, m_shards.table(shard).recordOutcome(program, key, Executed::No, 0, {}));
        throw;
    }
    m_log.record(program, DecisionKind::IntentRecorded, key.text());
    HttpResponse response;
    std::exception_ptr failure;
    try {
        response = send(context, call);
    } catch (const TargetError&) {
        failure = std::current_exception();
    }
    if (failure)
        response = resolveOutcome(call, failure);
    try {
        m_shards.commit(shard, m_shards.table(shard).recordOutcome(program, key, Executed::Yes, response.status, response.body));
        m_log.record(program, DecisionKind::OutcomeRecorded, key.text() + " yes");
    } catch (const ShardLostError&) {
        // The call was executed and this caller gets its answer. The next owner reports an unknown outcome to a repeat.
        m_log.record(program, DecisionKind::Failed, "outcome of " + key.text() + " not journalled");
    }
    context.writer.send(response);
}

// Determines the outcome of a call without an answer. Returns the answer if the tool reports it by the call's key;
// otherwise records the outcome as not executed or unknown, and throws. That the tool does not know the key does not
// prove that the call was not executed.
HttpResponse ToolCallController::resolveOutcome(const ToolCall& call, const std::exception_ptr& failure)
{
    const auto& [program, tool, path, key, idempotent] = call;
    ShardId shard = shardOf(program);
    try {
        std::rethrow_exception(failure);
    } catch (const TargetError& error) {
        if (error.executed() == Executed::No) {
            m_shards.commit(shard, m_shards.table(shard).recordOutcome(program, key, Executed::No, 0, {}));
            m_log.record(program, DecisionKind::OutcomeRecorded, key.text() + " no");
            throw;
        }
    }
    if (tool.queryableByKey) {
        if (auto answer = queryByKey(tool, key))
            return *answer;
    }
    try {
        m_shards.commit(shard, m_shards.table(shard).recordOutcome(program, key, Executed::Unknown, 0, {}));
    } catch (const ShardLostError&) {
        // The next owner finds the intent without an outcome and gives the same answer.
        throw OutcomeUnknownError(program, key);
    }
    m_log.record(program, DecisionKind::OutcomeRecorded, key.text() + " unknown");
    throw OutcomeUnknownError(program, key);
}

std::optional<HttpResponse> ToolCallController::queryByKey(const ToolService& tool, const RequestKey& key)
{
    HttpCallOptions options;
    options.readTimeout = tool.timeout;
    for (const Endpoint& address : tool.addresses) {
        try {
            HttpResponse answer = m_client.call(address, { "GET", "/calls/" + key.text(), {}, {} }, options);
            if (answer.status == statusOk)
                return answer;
            if (answer.status < statusServerError)
                return std::nullopt;
        } catch (const TargetError&) {
            continue;
        }
    }
    return std::nullopt;
}

} // namespace basilpoint
