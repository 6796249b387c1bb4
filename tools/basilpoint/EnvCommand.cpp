#include "EnvCommand.h"

#include "Table.h"

#include "basilpoint/Support/ParseNumber.h"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace basilpoint {

using Json = nlohmann::json;

static std::string readFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream buf;
    buf << in.rdbuf();
    if (!in)
        throw InvalidInputError("file", path, "a file that can be read");
    return buf.str();
}

static Revision parseRevision(const std::string& text)
{
    auto n = parseNumber<std::uint64_t>(text);
    if (!n)
        throw InvalidInputError("revision", text, "a whole number");
    return Revision(*n);
}

static Json toJson(const EnvironmentId& id, const StoredEnvironment& stored)
{
    Json json { { "environment", id.text() }, { "revision", stored.revision.value() }, { "action", stored.action } };
    json["digest"] = stored.document.empty() ? Json() : Json(stored.digest().text());
    json["trialDigest"] = stored.trialDocument.empty() ? Json() : Json(stored.trialDigest().text());
    return json;
}

static void printStored(const EnvironmentId& id, const StoredEnvironment& stored, const OutputOptions& options)
{
    if (options.json) {
        fmt::print("{}\n", toJson(id, stored).dump());
        return;
    }
    if (stored.action == "try")
        fmt::print("{}: revision {}, on trial, digest {}\n", id.text(), stored.revision.value(), stored.trialDigest().text());
    else
        fmt::print("{}: revision {} in force, digest {}\n", id.text(), stored.revision.value(), stored.digest().text());
}

static void validate(const std::string& file, const OutputOptions& options)
{
    EnvironmentSource source = readEnvironment(readFile(file));
    std::string digest = digestOf(source.document).text();
    if (options.json)
        fmt::print("{}\n", Json { { "environment", source.environment.id.text() }, { "valid", true }, { "digest", digest } }.dump());
    else
        fmt::print("{}: valid, digest {}\n", source.environment.id.text(), digest);
}

static void edit(EnvironmentStore& store, const std::string& file, Stage stage, const OutputOptions& options)
{
    EnvironmentSource source = readEnvironment(readFile(file));
    const EnvironmentId& id = source.environment.id;
    printStored(id, store.apply(id, source.document, stage, options.base), options);
}

static void diff(EnvironmentStore& store, const std::string& file)
{
    EnvironmentSource source = readEnvironment(readFile(file));
    std::string text = describeDifferences(store.get(source.environment.id).document, source.document);
    fmt::print("{}", text.empty() ? "no difference\n" : text);
}

static void show(EnvironmentStore& store, const EnvironmentId& id, const OutputOptions& options)
{
    StoredEnvironment stored = store.get(id);
    Json json = toJson(id, stored);
    json["production"] = stored.document.empty() ? Json() : Json::parse(stored.document);
    json["trial"] = stored.trialDocument.empty() ? Json() : Json::parse(stored.trialDocument);
    fmt::print("{}\n", json.dump(options.json ? -1 : 2));
}

static void printHistory(EnvironmentStore& store, const EnvironmentId& id, const OutputOptions& options)
{
    Json list = Json::array();
    Table table({ "REVISION", "ACTION", "PRODUCTION", "TRIAL" });
    for (const StoredEnvironment& stored : store.history(id)) {
        list.push_back(toJson(id, stored));
        table.add({ std::to_string(stored.revision.value()), stored.action, stored.document.empty() ? "-" : stored.digest().text(), stored.trialDocument.empty() ? "-" : stored.trialDigest().text() });
    }
    if (list.empty())
        throw EnvironmentMissingError(id, "environment");
    fmt::print("{}", options.json ? list.dump() + "\n" : table.text());
}

void runEnvCommand(KeyValueStore& keyValue, const std::vector<std::string>& arguments, const OutputOptions& options)
{
    EnvironmentStore store(keyValue, std::random_device {}());
    const std::string verb = arguments.empty() ? "" : arguments[0];
    if (verb == "validate" && arguments.size() == 2)
        return validate(arguments[1], options);
    if (verb == "apply" && arguments.size() == 2)
        return edit(store, arguments[1], Stage::Production, options);
    if (verb == "try" && arguments.size() == 2)
        return edit(store, arguments[1], Stage::Trial, options);
    if (verb == "diff" && arguments.size() == 2)
        return diff(store, arguments[1]);
    if (verb == "show" && arguments.size() == 2)
        return show(store, EnvironmentId(arguments[1]), options);
    if (verb == "history" && arguments.size() == 2)
        return printHistory(store, EnvironmentId(arguments[1]), options);
    if (verb == "promote" && arguments.size() == 3)
        return printStored(EnvironmentId(arguments[1]), store.promote(EnvironmentId(arguments[1]), parseDigest(arguments[2])), options);
    if (verb == "rollback" && arguments.size() == 3)
        return printStored(EnvironmentId(arguments[1]), store.rollback(EnvironmentId(arguments[1]), parseRevision(arguments[2])), options);
    throw InvalidInputError("command", "env " + verb, "a command with its words as --help lists them");
}

} // namespace basilpoint
