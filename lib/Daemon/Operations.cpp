#include "Operations.h"

#include "JsonBody.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Support/Hash.h"

#include <charconv>

namespace basilpoint {

static constexpr std::string_view programsPath = "/v1/programs";
static constexpr std::size_t maxIdLength = 96;

static ProgramId parseProgramId(std::string_view text)
{
    bool allowed = !text.empty() && text.size() <= maxIdLength && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
    if (!allowed)
        throw InvalidInputError("program", std::string(text.substr(0, maxIdLength)), "an id that this service gave");
    return ProgramId(std::string(text));
}

static Operation parseProgramPath(const std::string& method, std::string_view path)
{
    std::string_view rest = path.substr(programsPath.size() + 1);
    auto slash = rest.find('/');
    ProgramId program = parseProgramId(rest.substr(0, slash));
    if (slash == std::string_view::npos) {
        if (method == "GET")
            return ShowProgramOperation { program };
        if (method == "DELETE")
            return CloseProgramOperation { program };
        throw RouteNotFoundError(method, std::string(path));
    }
    static constexpr std::string_view toolsPart = "/tools/";
    std::string_view tail = rest.substr(slash);
    if (method != "POST" || !tail.starts_with(toolsPart) || tail.size() == toolsPart.size())
        throw RouteNotFoundError(method, std::string(path));
    return ToolCallOperation { program, std::string(tail.substr(toolsPart.size())) };
}

// A repeat with the same key must reach the same shard. A sub-agent belongs to its parent's shard.
static OpenProgramOperation parseOpenProgram(const HttpRequest& request, std::uint64_t shardCount)
{
    ProgramId parent(jsonMember<std::string>(parseJsonBody(request), "parent", "", "a program id"));
    if (!parent.empty())
        return { shardOf(parseProgramId(parent.text())) };
    return { ShardId(hash64(idempotencyKeyOf(request).text()) % shardCount) };
}

ShardId shardOf(const Operation& operation)
{
    if (const auto* opening = std::get_if<OpenProgramOperation>(&operation))
        return opening->shard;
    return shardOf(*programOf(operation));
}

static Operation parseRoute(const HttpRequest& request, std::uint64_t shardCount)
{
    std::string_view path = request.path();
    if (request.method == "POST" && path == programsPath)
        return parseOpenProgram(request, shardCount);
    if (request.method == "POST" && path == "/v1/chat/completions")
        return ModelCallOperation { parseProgramId(request.header("basilpoint-program")) };
    if (path.size() > programsPath.size() + 1 && path.starts_with(programsPath) && path[programsPath.size()] == '/')
        return parseProgramPath(request.method, path);
    throw RouteNotFoundError(request.method, std::string(path));
}

Operation parseOperation(const HttpRequest& request, std::uint64_t shardCount)
{
    Operation operation = parseRoute(request, shardCount);
    if (shardOf(operation).value() >= shardCount)
        throw InvalidInputError("program", programOf(operation) ? programOf(operation)->text() : "", "an id that this service gave");
    return operation;
}

const ProgramId* programOf(const Operation& operation)
{
    return std::visit([](const auto& it) -> const ProgramId* {
        if constexpr (requires { it.program; })
            return &it.program;
        else
            return nullptr;
    },
        operation);
}

namespace {

    // Numeric parts of an id of the form SHARD-EPOCH-RANDOM.
    struct ProgramIdParts {
        std::uint64_t shard = 0;
        std::uint64_t epoch = 0;
    };

} // namespace

static ProgramIdParts parseIdParts(const ProgramId& program)
{
    const std::string& text = program.text();
    const char* last = text.data() + text.size();
    ProgramIdParts parts;
    auto shard = std::from_chars(text.data(), last, parts.shard);
    bool valid = shard.ec == std::errc() && shard.ptr != last && *shard.ptr == '-';
    if (valid) {
        auto epoch = std::from_chars(shard.ptr + 1, last, parts.epoch);
        valid = epoch.ec == std::errc() && epoch.ptr != last && *epoch.ptr == '-';
    }
    if (!valid)
        throw InvalidInputError("program", text, "an id that this service gave");
    return parts;
}

ShardId shardOf(const ProgramId& program)
{
    return ShardId(parseIdParts(program).shard);
}

Epoch epochOf(const ProgramId& program)
{
    return Epoch(parseIdParts(program).epoch);
}

} // namespace basilpoint
