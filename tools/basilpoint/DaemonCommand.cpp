#include "DaemonCommand.h"

#include "Table.h"

#include "basilpoint/Net/Errors.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr Milliseconds answerTimeout { 5'000 };
static constexpr std::size_t maxStateBytes = 64 * 1024 * 1024;

namespace {

    struct DaemonAnswer {
        Endpoint daemon;
        /// The answer, or null.
        Json json;
        /// Why there is none.
        std::string failure;
    };

} // namespace

static DaemonAnswer ask(HttpClient& client, const DaemonAccess& access, const Endpoint& daemon, const std::string& method, const std::string& path)
{
    HttpRequest request { method, path, { { "content-type", "application/json" } }, method == "POST" ? "{}" : "" };
    if (!access.token.empty())
        request.headers["authorization"] = "Bearer " + access.token;
    HttpCallOptions options;
    options.readTimeout = answerTimeout;
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

static std::vector<DaemonAnswer> askAll(HttpClient& client, const DaemonAccess& access, const std::string& method, const std::string& path)
{
    if (access.daemons.empty())
        throw InvalidInputError("--daemons", "", "a list of ADDRESS:PORT");
    std::vector<DaemonAnswer> answers;
    for (const Endpoint& daemon : access.daemons)
        answers.push_back(ask(client, access, daemon, method, path));
    return answers;
}

static int exitCodeOf(const std::vector<DaemonAnswer>& answers)
{
    return std::all_of(answers.begin(), answers.end(), [](const DaemonAnswer& answer) { return answer.failure.empty(); }) ? 0 : 1;
}

static void printJson(const std::vector<DaemonAnswer>& answers, int indent)
{
    Json all = Json::object();
    for (const DaemonAnswer& answer : answers)
        all[answer.daemon.text()] = answer.failure.empty() ? answer.json : Json { { "failure", answer.failure } };
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

static void printStatus(const std::vector<DaemonAnswer>& answers)
{
    Table table({ "DAEMON", "READY", "STOPPING", "ENVIRONMENTS", "SHARDS", "REQUESTS", "FAILURE" });
    for (const DaemonAnswer& it : answers)
        table.add({ it.daemon.text(), cell(it.json, "ready"), cell(it.json, "stopping"), cell(it.json, "environments"), cell(it.json, "shards"), cell(it.json, "activeRequests"), it.failure });
    fmt::print("{}", table.text());
}

static std::string detailOf(const Json& entry)
{
    std::string text;
    for (const auto& [name, value] : entry.items()) {
        if (name != "time" && name != "event" && name != "daemon")
            text += name + "=" + (value.is_string() ? value.get<std::string>() : value.dump()) + " ";
    }
    return text;
}

// The decisions of all daemons that had a part in the program, in the order of their time.
static Json mergeEvents(const std::vector<DaemonAnswer>& answers)
{
    Json events = Json::array();
    for (const DaemonAnswer& answer : answers) {
        for (Json entry : answer.json.is_array() ? answer.json : Json::array()) {
            if (!entry.is_object())
                continue;
            entry["daemon"] = answer.daemon.text();
            events.push_back(std::move(entry));
        }
    }
    std::stable_sort(events.begin(), events.end(), [](const Json& a, const Json& b) { return a.value("time", Json()) < b.value("time", Json()); });
    return events;
}

static int explain(const std::vector<DaemonAnswer>& answers, const OutputOptions& options)
{
    Json events = mergeEvents(answers);
    if (options.json) {
        fmt::print("{}\n", events.dump(-1, ' ', false, Json::error_handler_t::replace));
        return exitCodeOf(answers);
    }
    Table table({ "TIME", "DAEMON", "EVENT", "DETAIL" });
    for (const Json& entry : events)
        table.add({ cell(entry, "time"), cell(entry, "daemon"), cell(entry, "event"), detailOf(entry) });
    fmt::print("{}", table.text());
    for (const DaemonAnswer& answer : answers) {
        if (!answer.failure.empty())
            fmt::print(stderr, "basilpoint: {}: {}\n", answer.daemon.text(), answer.failure);
    }
    return exitCodeOf(answers);
}

int runDaemonCommand(HttpClient& client, const DaemonAccess& access, const std::vector<std::string>& words, const OutputOptions& options)
{
    if (words[0] == "explain" && words.size() == 2)
        return explain(askAll(client, access, "GET", "/debug/programs/" + words[1]), options);
    if (words.size() != 1)
        throw InvalidInputError("command", words[0], "a command with its words as --help lists them");
    if (words[0] == "drain") {
        auto answers = askAll(client, access, "POST", "/drain");
        printJson(answers, options.json ? -1 : 2);
        return exitCodeOf(answers);
    }
    auto answers = askAll(client, access, "GET", "/debug/state");
    if (words[0] == "dump" || options.json)
        printJson(answers, options.json ? -1 : 2);
    else
        printStatus(answers);
    return exitCodeOf(answers);
}

} // namespace basilpoint
