#include "basilpoint/Config/Environment.h"

#include "basilpoint/Support/Error.h"

#include <nlohmann/json.hpp>
#include <set>

namespace basilpoint {

using Json = nlohmann::json;

const std::string environmentKeyPrefix = "/basilpoint/environments/";

static constexpr std::size_t maxNameLength = 63;
static constexpr std::uint64_t maxBudgetTokens = 1'000'000'000;
static constexpr std::int64_t maxDeadlineSeconds = 7 * 24 * 3'600;

namespace {

    // One JSON object of the document together with the path that errors name.
    class ObjectReader {
    public:
        ObjectReader(const Json& json, std::string path)
            : m_json(json)
            , m_path(std::move(path))
        {
            if (!json.is_object())
                fail("", "an object");
        }

        [[noreturn]] void fail(const std::string& name, const std::string& allowed) const
        {
            std::string path = name.empty() ? m_path : m_path + "/" + name;
            const Json& value = name.empty() || !m_json.contains(name) ? m_json : m_json[name];
            throw InvalidInputError(path.empty() ? "/" : path, value.dump().substr(0, 80), allowed);
        }

        // Every name that no reader asked for is a mistake of the operator's.
        void refuseOthers() const
        {
            for (const auto& [name, value] : m_json.items()) {
                if (!m_known.contains(name))
                    fail(name, "a known name");
            }
        }

        const Json* find(const std::string& name)
        {
            m_known.insert(name);
            auto it = m_json.find(name);
            return it == m_json.end() ? nullptr : &*it;
        }

        std::string name(const std::string& key)
        {
            const Json* value = find(key);
            if (!value || !value->is_string())
                fail(key, "a name");
            auto text = value->get<std::string>();
            bool allowed = !text.empty() && text.size() <= maxNameLength && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.") == std::string::npos;
            if (!allowed)
                fail(key, "1 to 63 of a-z, 0-9, '-' and '.'");
            return text;
        }

        std::uint64_t number(const std::string& key, std::uint64_t fallback, std::uint64_t least, std::uint64_t most)
        {
            const Json* value = find(key);
            if (!value)
                return fallback;
            std::string allowed = "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
            if (!value->is_number_unsigned())
                fail(key, allowed);
            auto n = value->get<std::uint64_t>();
            if (n < least || n > most)
                fail(key, allowed);
            return n;
        }

        double weight(const std::string& key, double fallback)
        {
            const Json* value = find(key);
            if (!value)
                return fallback;
            if (!value->is_number() || value->get<double>() < 0 || value->get<double>() > 1)
                fail(key, "a number from 0 to 1");
            return value->get<double>();
        }

        bool flag(const std::string& key, bool fallback)
        {
            const Json* value = find(key);
            if (!value)
                return fallback;
            if (!value->is_boolean())
                fail(key, "true or false");
            return value->get<bool>();
        }

        std::vector<Endpoint> endpoints(const std::string& key)
        {
            const Json* value = find(key);
            if (!value || !value->is_array() || value->empty())
                fail(key, "a list of at least one ADDRESS:PORT");
            std::vector<Endpoint> result;
            for (std::size_t n = 0; n < value->size(); ++n) {
                const Json& entry = (*value)[n];
                std::string path = m_path + "/" + key + "/" + std::to_string(n);
                result.push_back(parseEndpoint(path, entry.is_string() ? entry.get<std::string>() : entry.dump()));
            }
            return result;
        }

        template <typename Read>
        void each(const std::string& key, Read read)
        {
            const Json* list = find(key);
            if (!list)
                return;
            if (!list->is_array())
                fail(key, "a list");
            for (std::size_t n = 0; n < list->size(); ++n)
                read(ObjectReader((*list)[n], m_path + "/" + key + "/" + std::to_string(n)));
        }

        const std::string& path() const { return m_path; }

    private:
        const Json& m_json;
        std::string m_path;
        std::set<std::string> m_known;
    };

} // namespace

static ModelPool readModel(ObjectReader& reader)
{
    ModelPool model;
    model.name = reader.name("name");
    model.replicas = reader.endpoints("replicas");
    model.honoursFencing = reader.flag("honoursFencing", model.honoursFencing);
    model.checksSender = reader.flag("checksSender", model.checksSender);
    reader.refuseOthers();
    return model;
}

static ToolService readTool(ObjectReader& reader)
{
    ToolService tool;
    tool.name = reader.name("name");
    tool.addresses = reader.endpoints("addresses");
    tool.idempotent = reader.flag("idempotent", tool.idempotent);
    tool.askableByKey = reader.flag("askableByKey", tool.askableByKey);
    tool.timeout = Milliseconds(reader.number("timeoutMilliseconds", static_cast<std::uint64_t>(tool.timeout.count()), 1, 3'600'000));
    reader.refuseOthers();
    return tool;
}

static EnvironmentRules readRules(ObjectReader reader)
{
    EnvironmentRules rules;
    rules.budgetTokens = reader.number("budgetTokens", rules.budgetTokens, 1, maxBudgetTokens);
    rules.maxTurns = reader.number("maxTurns", rules.maxTurns, 1, 100'000);
    rules.maxRepeatedCalls = static_cast<unsigned>(reader.number("maxRepeatedCalls", rules.maxRepeatedCalls, 2, 1'000));
    rules.deadline = std::chrono::seconds(reader.number("deadlineSeconds", static_cast<std::uint64_t>(rules.deadline.count()), 1, maxDeadlineSeconds));
    rules.maxOutputTokens = reader.number("maxOutputTokens", rules.maxOutputTokens, 1, 1'000'000);
    rules.latencyWeight = reader.weight("latencyWeight", rules.latencyWeight);
    rules.cacheWeight = reader.weight("cacheWeight", rules.cacheWeight);
    rules.maxConcurrentCalls = static_cast<unsigned>(reader.number("maxConcurrentCalls", rules.maxConcurrentCalls, 1, 1'000'000));
    reader.refuseOthers();
    return rules;
}

Environment parseEnvironment(const std::string& json)
{
    Json document = Json::parse(json, nullptr, false);
    ObjectReader reader(document, "");
    Environment environment;
    environment.id = EnvironmentId(reader.name("environment"));
    environment.owner = OperatorId(reader.name("operator"));
    if (const Json* rules = reader.find("rules"))
        environment.rules = readRules(ObjectReader(*rules, "/rules"));
    reader.each("models", [&](ObjectReader entry) {
        ModelPool model = readModel(entry);
        if (!environment.models.emplace(model.name, model).second)
            entry.fail("name", "a name that no other model has");
    });
    reader.each("tools", [&](ObjectReader entry) {
        ToolService tool = readTool(entry);
        if (!environment.tools.emplace(tool.name, tool).second)
            entry.fail("name", "a name that no other tool has");
    });
    reader.refuseOthers();
    return environment;
}

std::string environmentKey(const EnvironmentId& id)
{
    return environmentKeyPrefix + id.text();
}

std::string encodeStoredEnvironment(const StoredEnvironment& stored)
{
    return Json { { "revision", stored.revision.value() }, { "document", stored.document } }.dump();
}

StoredEnvironment decodeStoredEnvironment(const std::string& text)
{
    try {
        Json json = Json::parse(text);
        return { Revision(json.at("revision").get<std::uint64_t>()), json.at("document").get<std::string>() };
    } catch (const Json::exception&) {
        throw InvalidInputError("stored environment", text.substr(0, 80), "revision and document");
    }
}

} // namespace basilpoint
