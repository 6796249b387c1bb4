#include "Operations.h"

#include "basilpoint/Net/Errors.h"

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

Operation parseOperation(const HttpRequest& request)
{
    std::string_view path = request.path();
    if (request.method == "POST" && path == programsPath)
        return OpenProgramOperation {};
    if (request.method == "POST" && path == "/v1/chat/completions")
        return ModelCallOperation { checkedProgram(request.header("basilpoint-program")) };
    if (path.size() > programsPath.size() + 1 && path.starts_with(programsPath) && path[programsPath.size()] == '/')
        return parseProgramPath(request.method, path);
    throw RouteNotFoundError(request.method, std::string(path));
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

ShardId shardOf(const ProgramId& program)
{
    const std::string& text = program.text();
    std::uint64_t n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end == text.data() + text.size() || *end != '-')
        throw InvalidInputError("program", text, "an id that this service gave");
    return ShardId(n);
}

} // namespace basilpoint
