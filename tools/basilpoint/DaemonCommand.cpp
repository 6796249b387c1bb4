#include "DaemonCommand.h"

#include "Table.h"

#include "basilpoint/Net/Errors.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr Milliseconds responseTimeout { 5'000 };
static constexpr std::size_t maxStateBytes = 64 * 1024 * 1024;

namespace {

    struct DaemonResult {
        Endpoint daemon;
        /// Body of the response; null after a failure.
        Json json;
        /// Reason of the failure; empty on success.
        std::string failure;
    };

} // namespace

static DaemonResult callDaemon(HttpClient& client, const DaemonAccess& access, const Endpoint& daemon, const std::string& method, const std::string& path)
{
    HttpRequest request { method, path, { { "content-type", "application/json" } }, method == "POST" ? "{}" : "" };
    if (!access.token.empty())
        request.headers["authorization"] = "Bearer " + access.token;
    HttpCallOptions options;
    options.readTimeout = responseTimeout;
    options.maxBodyBytes = maxStateBytes;
    try {
        HttpResponse response = client.call(daemon, request, options);
        if (response.status >= 300)
            return { daemon, {}, "status " + std::to_string(response.status) };
        Json json = Json::parse(response.body, nullptr, false);
        return { daemon, json.is_discarded() ? Json(response.body) : std::move(json), {} };
    } catch (const Error& error) {
        return { daemon, {}, error.what() };
    }
}

static std::vector<DaemonResult> callAllDaemons(HttpClient& client, const DaemonAccess& access, const std::string& method, const std::string& path)
{
    if (access.daemons.empty())
        throw InvalidInputError("--daemons", "", "a list of ADDRESS:PORT");
    std::vector<DaemonResult> results;
    for (const Endpoint& daemon : access.daemons)
        results.push_back(callDaemon(client, access, daemon, method, path));
    return results;
}

static int exitCodeOf(const std::vector<DaemonResult>& results)
{
    return std::all_of(results.begin(), results.end(), [](const DaemonResult& result) { return result.failure.empty(); }) ? 0 : 1;
}

static void printJson(const std::vector<DaemonResult>& results, int indent)
{
    Json all = Json::object();
    for (const DaemonResult& result : results)
        all[result.daemon.text()] = result.failure.empty() ? result.json : Json { { "failure", result.failure } };
    fmt::print("{}\n", all.dump(indent, ' ', false, Json::error_handler_t::replace));
}

static std::string cell(const Json& state, const char* name)
{
    auto it = state.is_object() ? state.find(name) : state.end();
    if (!state.is_object() || it == state.end())
        return "-";
    if (it->is_string())
        return it->get<std::string>();
    return it->is_structured() ? std::to_string(it->size()) : it->dump();
}

static void printStatus(const std::vector<DaemonResult>& results)
{
    Table table({ "DAEMON", "READY", "STOPPING", "ENVIRONMENTS", "SHARDS", "REQUESTS", "FAILURE" });
    for (const DaemonResult& it : results)
        table.add({ it.daemon.text(), cell(it.json, "ready"), cell(it.json, "stopping"), cell(it.json, "environments"), cell(it.json, "shards"), cell(it.json, "activeRequests"), it.failure });
    fmt::print("{}", table.text());
}

static std::string formatDetail(const Json& entry)
{
    std::string text;
    for (const auto& [name, value] : entry.items()) {
        if (name != "time" && name != "event" && name != "daemon")
            text += name + "=" + (value.is_string() ? value.get<std::string>() : value.dump()) + " ";
    }
    return text;
}

// Merges the daemons' decision events for one program, ordered by time.
static Json mergeEvents(const std::vector<DaemonResult>& results)
{
    Json events = Json::array();
    for (const DaemonResult& result : results) {
        for (Json entry : result.json.is_array() ? result.json : Json::array()) {
            if (!entry.is_object())
                continue;
            entry["daemon"] = result.daemon.text();
            events.push_back(std::move(entry));
        }
    }
    std::stable_sort(events.begin(), events.end(), [](const Json& a, const Json& b) { return a.value("time", Json()) < b.value("time", Json()); });
    return events;
}

static int explain(const std::vector<DaemonResult>& results, const OutputOptions& options)
{
    Json events = mergeEvents(results);
    if (options.json) {
        fmt::print("{}\n", events.dump(-1, ' ', false, Json::error_handler_t::replace));
        return exitCodeOf(results);
    }
    Table table({ "TIME", "DAEMON", "EVENT", "DETAIL" });
    for (const Json& entry : events)
        table.add({ cell(entry, "time"), cell(entry, "daemon"), cell(entry, "event"), formatDetail(entry) });
    fmt::print("{}", table.text());
    for (const DaemonResult& result : results) {
        if (!result.failure.empty())
            fmt::print(stderr, "basilpoint: {}: {}\n", result.daemon.text(), result.failure);
    }
    return exitCodeOf(results);
}

int runDaemonCommand(HttpClient& client, const DaemonAccess& access, const std::vector<std::string>& command, const OutputOptions& options)
{
    if (command[0] == "explain" && command.size() == 2)
        return explain(callAllDaemons(client, access, "GET", "/debug/programs/" + command[1]), options);
    if (command.size() != 1)
        throw InvalidInputError("command", command[0], "a command with its words as --help lists them");
    if (command[0] == "drain") {
        auto results = callAllDaemons(client, access, "POST", "/drain");
        printJson(results, options.json ? -1 : 2);
        return exitCodeOf(results);
    }
    auto results = callAllDaemons(client, access, "GET", "/debug/state");
    if (command[0] == "dump" || options.json)
        printJson(results, options.json ? -1 : 2);
    else
        printStatus(results);
    return exitCodeOf(results);
}

} // namespace basilpoint
