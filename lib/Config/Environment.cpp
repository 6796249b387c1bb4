#include "basilpoint/Config/Environment.h"

#include "ObjectReader.h"

namespace basilpoint {

static constexpr std::uint64_t maxBudgetTokens = 1'000'000'000;
static constexpr std::int64_t maxDeadlineSeconds = 7 * 24 * 3'600;
static constexpr std::uint64_t maxTimeoutMilliseconds = 3'600'000;
static constexpr std::uint64_t maxRate = 1'000'000'000;
static constexpr unsigned maxPriority = 9;
static constexpr unsigned hoursPerDay = 24;
static constexpr std::uint64_t maxUtcOffsetHours = 14;

bool ToolService::isIdempotent(const std::string& call) const
{
    auto it = calls.find(call);
    return it == calls.end() ? idempotent : it->second;
}

bool HourWeights::covers(unsigned hour) const
{
    return fromHour < toHour ? hour >= fromHour && hour < toHour : hour >= fromHour || hour < toHour;
}

PolicyWeights EnvironmentRules::weightsAt(WallTimePoint now) const
{
    auto hours = std::chrono::floor<std::chrono::hours>(now.time_since_epoch()).count() + utcOffsetHours;
    auto hour = static_cast<unsigned>((hours % hoursPerDay + hoursPerDay) % hoursPerDay);
    for (const HourWeights& it : weightsByHour) {
        if (it.covers(hour))
            return it.weights;
    }
    return { latencyWeight, cacheWeight };
}

const EnvironmentRules& Environment::rulesFor(const std::string& programClass) const
{
    auto it = programs.find(programClass);
    return it == programs.end() ? rules : it->second.rules;
}

static ModelPool readModel(ObjectReader& reader)
{
    ModelPool model;
    model.name = reader.name("name");
    model.replicas = reader.endpoints("replicas");
    model.honoursFencing = reader.flag("honoursFencing", model.honoursFencing);
    model.checksSender = reader.flag("checksSender", model.checksSender);
    reader.rejectUnknownFields();
    return model;
}

static ToolService readTool(ObjectReader& reader)
{
    ToolService tool;
    tool.name = reader.name("name");
    tool.addresses = reader.endpoints("addresses");
    tool.idempotent = reader.flag("idempotent", tool.idempotent);
    tool.queryableByKey = reader.flag("askableByKey", tool.queryableByKey);
    tool.honoursFencing = reader.flag("honoursFencing", tool.honoursFencing);
    tool.checksSender = reader.flag("checksSender", tool.checksSender);
    tool.timeout = Milliseconds(reader.number("timeoutMilliseconds", static_cast<std::uint64_t>(tool.timeout.count()), 1, maxTimeoutMilliseconds));
    reader.each("calls", [&](ObjectReader entry) {
        std::string name = entry.name("name");
        if (!tool.calls.emplace(name, entry.flag("idempotent", tool.idempotent)).second)
            entry.fail("name", "a name that no other call has");
        entry.rejectUnknownFields();
    });
    reader.rejectUnknownFields();
    return tool;
}

static HourWeights readHourWeights(ObjectReader& reader, const PolicyWeights& fallback)
{
    HourWeights result;
    result.fromHour = static_cast<unsigned>(reader.number("fromHour", 0, 0, hoursPerDay - 1));
    result.toHour = static_cast<unsigned>(reader.number("toHour", hoursPerDay, 0, hoursPerDay));
    result.weights.latency = reader.weight("latencyWeight", fallback.latency);
    result.weights.cache = reader.weight("cacheWeight", fallback.cache);
    reader.rejectUnknownFields();
    return result;
}

// Reads rules; those that the document does not set keep their value from \p rules.
static EnvironmentRules readRules(ObjectReader& reader, EnvironmentRules rules)
{
    rules.budgetTokens = reader.number("budgetTokens", rules.budgetTokens, 1, maxBudgetTokens);
    rules.maxTurns = reader.number("maxTurns", rules.maxTurns, 1, 100'000);
    rules.maxRepeatedCalls = static_cast<unsigned>(reader.number("maxRepeatedCalls", rules.maxRepeatedCalls, 2, 1'000));
    rules.deadline = std::chrono::seconds(reader.number("deadlineSeconds", static_cast<std::uint64_t>(rules.deadline.count()), 1, maxDeadlineSeconds));
    rules.maxOutputTokens = reader.number("maxOutputTokens", rules.maxOutputTokens, 1, 1'000'000);
    rules.latencyWeight = reader.weight("latencyWeight", rules.latencyWeight);
    rules.cacheWeight = reader.weight("cacheWeight", rules.cacheWeight);
    rules.maxConcurrentCalls = static_cast<unsigned>(reader.number("maxConcurrentCalls", rules.maxConcurrentCalls, 1, 1'000'000));
    rules.priority = static_cast<unsigned>(reader.number("priority", rules.priority, 0, maxPriority));
    rules.utcOffsetHours = static_cast<int>(reader.number("hoursEastOfUtc", static_cast<std::uint64_t>(rules.utcOffsetHours), 0, maxUtcOffsetHours));
    if (reader.find("weightsByHour"))
        rules.weightsByHour.clear();
    reader.each("weightsByHour", [&](ObjectReader entry) {
        rules.weightsByHour.push_back(readHourWeights(entry, { rules.latencyWeight, rules.cacheWeight }));
    });
    return rules;
}

static EnvironmentRules readRulesAt(const Json& json, const std::string& path, const EnvironmentRules& fallback)
{
    ObjectReader reader(json, path);
    EnvironmentRules rules = readRules(reader, fallback);
    reader.rejectUnknownFields();
    return rules;
}

static OperatorLimits readLimits(ObjectReader reader)
{
    OperatorLimits limits;
    limits.requestsPerSecond = reader.number("requestsPerSecond", limits.requestsPerSecond, 1, maxRate);
    limits.tokensPerMinute = reader.number("tokensPerMinute", limits.tokensPerMinute, 1, maxRate);
    limits.maxPrograms = reader.number("maxPrograms", limits.maxPrograms, 1, maxRate);
    reader.rejectUnknownFields();
    return limits;
}

// Reads a list of items with unique names.
template <typename Item, typename Read>
static void readNamed(ObjectReader& reader, const std::string& key, std::map<std::string, Item>& into, Read read)
{
    reader.each(key, [&](ObjectReader entry) {
        Item item = read(entry);
        if (!into.emplace(item.name, item).second)
            entry.fail("name", "a name that stands once in the list");
    });
}

static void readTargets(ObjectReader& reader, std::map<std::string, ModelPool>& models, std::map<std::string, ToolService>& tools)
{
    readNamed(reader, "models", models, readModel);
    readNamed(reader, "tools", tools, readTool);
}

static TrialStage readTrial(const Json& json, const Environment& environment)
{
    ObjectReader reader(json, "/trial");
    TrialStage trial;
    trial.callers = reader.names("callers");
    const Json* rules = reader.find("rules");
    trial.rules = rules ? readRulesAt(*rules, "/trial/rules", environment.rules) : environment.rules;
    if (const Json* limits = reader.find("limits"))
        trial.limits = readLimits(ObjectReader(*limits, "/trial/limits"));
    readTargets(reader, trial.models, trial.tools);
    reader.rejectUnknownFields();
    return trial;
}

Environment parseEnvironment(const std::string& json)
{
    Json document = Json::parse(json, nullptr, false);
    ObjectReader reader(document, "");
    Environment environment;
    environment.id = EnvironmentId(reader.name("environment"));
    environment.owner = OperatorId(reader.name("operator"));
    if (const Json* rules = reader.find("rules"))
        environment.rules = readRulesAt(*rules, "/rules", environment.rules);
    if (const Json* limits = reader.find("limits"))
        environment.limits = readLimits(ObjectReader(*limits, "/limits"));
    readNamed(reader, "programs", environment.programs, [&](ObjectReader& entry) {
        ProgramClass result { entry.name("name"), readRules(entry, environment.rules) };
        entry.rejectUnknownFields();
        return result;
    });
    readTargets(reader, environment.models, environment.tools);
    if (const Json* trial = reader.find("trial"))
        environment.trial = readTrial(*trial, environment);
    reader.rejectUnknownFields();
    return environment;
}

Environment trialView(const Environment& environment)
{
    Environment view = environment;
    view.rules = environment.trial.rules;
    view.limits = environment.trial.limits;
    view.models = environment.trial.models;
    view.tools = environment.trial.tools;
    return view;
}

} // namespace basilpoint
