#include "Operations.h"

#include "JsonBody.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Support/Hash.h"

#include <charconv>

namespace basilpoint {

static constexpr std::string_view programsPath = "/v1/programs";
static constexpr std::size_t maxIdLength = 96;

static ProgramId checkedProgram(std::string_view text)
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
    ProgramId program = checkedProgram(rest.substr(0, slash));
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

// A repeat by the same key must come to the same shard; a sub-agent belongs to its parent's.
static OpenProgramOperation parseOpening(const HttpRequest& request, std::uint64_t shardCount)
{
    ProgramId parent(jsonMember<std::string>(parseJsonBody(request), "parent", "", "a program id"));
    if (!parent.empty())
        return { shardOf(checkedProgram(parent.text())) };
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
        return parseOpening(request, shardCount);
    if (request.method == "POST" && path == "/v1/chat/completions")
        return ModelCallOperation { checkedProgram(request.header("basilpoint-program")) };
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

    // SHARD-EPOCH-RANDOM
    struct IdParts {
        std::uint64_t shard = 0;
        std::uint64_t epoch = 0;
    };

} // namespace

static IdParts partsOf(const ProgramId& program)
{
    const std::string& text = program.text();
    const char* last = text.data() + text.size();
    IdParts parts;
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
    return ShardId(partsOf(program).shard);
}

Epoch epochOf(const ProgramId& program)
{
    return Epoch(partsOf(program).epoch);
}

} // namespace basilpoint
