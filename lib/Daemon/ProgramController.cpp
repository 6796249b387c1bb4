#include "ProgramController.h"

#include "JsonBody.h"
#include "Operations.h"

#include "basilpoint/Program/Errors.h"

namespace basilpoint {

using Json = nlohmann::json;

static constexpr int statusOk = 200;
static constexpr int statusCreated = 201;
static constexpr int statusConflict = 409;
static constexpr int statusGone = 410;
// Set by the daemon that received the request if it generated the key, which no earlier request can have used.
static constexpr auto generatedKeyHeader = "basilpoint-generated-key";
// Set by a caller that has never used its key before.
static constexpr auto newKeyHeader = "basilpoint-new-key";

namespace {

    /// All journal holders of the program's shard were lost, and with them its history.
    class HistoryUnavailableError final : public Error {
    public:
        explicit HistoryUnavailableError(const ProgramId& program)
            : Error({ "history-unavailable", statusGone, Executed::Unknown }, { { "program", program.text() } })
        {
        }
    };

    /// The shard's journal was lost, so it is not known whether the key has already opened a program.
    class KeyMaybeKnownError final : public Error {
    public:
        explicit KeyMaybeKnownError(const RequestKey& key)
            : Error({ "key-may-be-known", statusConflict, Executed::Unknown }, { { "key", key.text() } })
        {
        }
    };

} // namespace

static Json summaryToJson(const ProgramSummary& summary)
{
    return { { "id", summary.program.text() }, { "environment", summary.environment.text() }, { "budgetTokens", summary.budget }, { "spentTokens", summary.spent }, { "reservedTokens", summary.reserved }, { "turns", summary.turns }, { "chain", summary.chain.text() }, { "open", summary.open } };
}

ProgramController::ProgramController(const Clock& clock, RandomEngine& random, EnvironmentController& environments, ShardController& shards, ProgramLocks& locks, ModelDispatcher& dispatcher, ModelCallController& modelCalls, ToolCallController& toolCalls, DecisionLog& log)
    : m_clock(clock)
    , m_random(random)
    , m_environments(environments)
    , m_shards(shards)
    , m_locks(locks)
    , m_dispatcher(dispatcher)
    , m_modelCalls(modelCalls)
    , m_toolCalls(toolCalls)
    , m_log(log)
{
}

void ProgramController::handle(RequestContext& context)
{
    try {
        std::visit([&](const auto& operation) { run(context, operation); }, context.operation);
    } catch (const ProgramNotFoundError&) {
        throwIfHistoryLost(context.operation);
        throw;
    } catch (const ProgramEndedError& error) {
        if (const ProgramId* program = programOf(context.operation))
            closeTree(*program, error.reason());
        throw;
    }
}

// A program of an epoch whose journal was lost must not be reported as not found: it may have executed calls.
void ProgramController::throwIfHistoryLost(const Operation& operation) const
{
    const ProgramId* program = programOf(operation);
    if (program && m_shards.owns(shardOf(*program)) && epochOf(*program) <= m_shards.lostThrough(shardOf(*program)))
        throw HistoryUnavailableError(*program);
}

// Called if a limit of the program was reached: closes the program and its sub-agents and frees their resources.
void ProgramController::closeTree(const ProgramId& program, CloseReason reason)
{
    ShardId shard = shardOf(program);
    commitClosing(shard, m_shards.table(shard).closeTree(program, reason, m_clock.wallNow()));
}

void ProgramController::commitClosing(ShardId shard, const std::vector<ProgramRecord>& records)
{
    for (const ProgramRecord& record : records) {
        m_shards.commit(shard, record);
        const auto* closed = std::get_if<ProgramClosed>(&record);
        if (!closed)
            continue;
        m_modelCalls.cancel(closed->program);
        m_dispatcher.programEnded(closed->program);
        m_log.record(closed->program, DecisionKind::Closed, std::to_string(static_cast<int>(closed->reason)));
    }
}

void ProgramController::sweep()
{
    for (ShardId shard : m_shards.owned()) {
        try {
            commitClosing(shard, m_shards.table(shard).closeOverdue(m_clock.wallNow()));
            for (const ProgramRecord& record : m_shards.table(shard).forgetExpired(m_clock.wallNow()))
                m_shards.commit(shard, record);
        } catch (const ShardLostError&) {
            continue;
        }
    }
}

ProgramOpened ProgramController::makeOpenedRecord(const RequestContext& context, const OpenProgramOperation& operation)
{
    Json body = parseJsonBody(context.request);
    ProgramOpened opened;
    opened.parent = ProgramId(jsonMember<std::string>(body, "parent", "", "a program id"));
    EnvironmentId id(jsonMember<std::string>(body, "environment", "", "an environment's name"));
    if (!opened.parent.empty())
        id = m_shards.table(shardOf(opened.parent)).openingRecord(opened.parent).environment;
    auto environment = m_environments.find(id);
    const EnvironmentRules& rules = environment->rules;
    opened.program = m_shards.newProgramId(operation.shard, m_random);
    opened.environment = environment->id;
    opened.owner = environment->owner;
    opened.openKey = idempotencyKeyOf(context.request);
    opened.budget = std::min(jsonMember<TokenCount>(body, "budgetTokens", rules.budgetTokens, "a number of tokens"), rules.budgetTokens);
    opened.limits = ProgramLimits { rules.maxTurns, rules.maxRepeatedCalls };
    opened.openedAt = m_clock.wallNow();
    auto maxSeconds = static_cast<std::uint64_t>(rules.deadline.count());
    opened.deadline = opened.openedAt + std::chrono::seconds(std::min(jsonMember<std::uint64_t>(body, "deadlineSeconds", maxSeconds, "a number of seconds"), maxSeconds));
    return opened;
}

void ProgramController::run(RequestContext& context, const OpenProgramOperation& operation)
{
    auto activeRequest = m_shards.startRequest(operation.shard);
    ProgramOpened opened = makeOpenedRecord(context, operation);
    if (!opened.openKey.empty()) {
        const ProgramTable& table = m_shards.table(operation.shard);
        if (auto known = table.findByOpenKey(opened))
            return sendJson(context.writer, statusOk, summaryToJson(table.summary(*known)));
    }
    bool maybeKnown = m_shards.lostThrough(operation.shard) > Epoch(0) && !opened.openKey.empty();
    if (maybeKnown && context.request.header(generatedKeyHeader).empty() && context.request.header(newKeyHeader).empty())
        throw KeyMaybeKnownError(opened.openKey);
    m_shards.commit(operation.shard, m_shards.table(operation.shard).open(opened));
    m_log.record(opened.program, DecisionKind::Opened, opened.environment.text());
    sendJson(context.writer, statusCreated, summaryToJson(m_shards.table(operation.shard).summary(opened.program)));
}

void ProgramController::run(RequestContext& context, const ShowProgramOperation& operation)
{
    sendJson(context.writer, statusOk, summaryToJson(m_shards.table(shardOf(operation.program)).summary(operation.program)));
}

void ProgramController::run(RequestContext& context, const CloseProgramOperation& operation)
{
    ShardId shard = shardOf(operation.program);
    auto activeRequest = m_shards.startRequest(shard);
    m_modelCalls.cancel(operation.program);
    auto guard = m_locks.lock(operation.program, LockMode::Exclusive);
    // A repeated request gets the same answer.
    if (!m_shards.table(shard).summary(operation.program).open)
        return sendJson(context.writer, statusOk, summaryToJson(m_shards.table(shard).summary(operation.program)));
    m_shards.commit(shard, m_shards.table(shard).close(operation.program, CloseReason::Caller, m_clock.wallNow()));
    m_dispatcher.programEnded(operation.program);
    m_log.record(operation.program, DecisionKind::Closed, "caller");
    sendJson(context.writer, statusOk, summaryToJson(m_shards.table(shard).summary(operation.program)));
}

void ProgramController::run(RequestContext& context, const ModelCallOperation& operation)
{
    m_modelCalls.handle(context, operation.program);
}

void ProgramController::run(RequestContext& context, const ToolCallOperation& operation)
{
    m_toolCalls.handle(context, operation);
}

} // namespace basilpoint
