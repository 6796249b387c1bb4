#include "ToolRules.h"

#include "TurnRules.h"

#include "basilpoint/Program/Errors.h"

namespace basilpoint {

std::optional<RecordedAnswer> findRecordedCall(const ProgramState& state, const ToolRequest& request, const Digest& body)
{
    auto it = state.tools.find(request.key);
    if (it == state.tools.end())
        return std::nullopt;
    const ToolCall& call = it->second;
    if (call.tool != request.tool || call.request != body)
        throw ConflictError(request.program, request.key);
    if (!call.executed)
        throw ProgramBusyError(request.program);
    switch (*call.executed) {
    case Executed::No:
        return std::nullopt;
    case Executed::Yes:
        return RecordedAnswer { call.status, call.body };
    case Executed::Unknown:
        throw OutcomeUnknownError(request.program, request.key);
    }
    return std::nullopt;
}

// Only Executed::Yes settles an unknown outcome: that the target has not received the call proves nothing
// while a former owner may still send it.
bool mayFollow(const std::optional<Executed>& present, Executed next)
{
    return !present || (present == Executed::Unknown && next == Executed::Yes);
}

std::uint64_t toolHash(const std::string& tool, const Digest& body)
{
    return nonZeroHash(tool + '\n' + body.text());
}

} // namespace basilpoint
