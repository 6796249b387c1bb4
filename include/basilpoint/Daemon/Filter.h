#pragma once

#include "basilpoint/Net/HttpServer.h"
#include "basilpoint/Support/Ids.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace basilpoint {

/// POST /v1/programs
struct OpenProgramOperation {
    /// Shard in which the program is minted: its parent's, or one that the idempotency key names.
    ShardId shard;
};
/// GET /v1/programs/{id}
struct ShowProgramOperation {
    ProgramId program;
};
/// DELETE /v1/programs/{id}
struct CloseProgramOperation {
    ProgramId program;
};
/// POST /v1/chat/completions with the header Basilpoint-Program
struct ModelCallOperation {
    ProgramId program;
};
/// POST /v1/programs/{id}/tools/{name}
struct ToolCallOperation {
    ProgramId program;
    std::string tool;
};

/// What a caller asks for.
using Operation = std::variant<OpenProgramOperation, ShowProgramOperation, CloseProgramOperation, ModelCallOperation, ToolCallOperation>;

/// One caller's request on its way through the filters.
struct RequestContext {
    HttpRequest request;
    ResponseWriter& writer;
    Operation operation;
    /// W3C traceparent, taken from the caller or made here.
    std::string traceParent;
};

/// One step of the way; passes the request on by calling next, or answers it, or throws a typed error.
class Filter {
public:
    using Next = std::function<void(RequestContext&)>;

    virtual ~Filter() = default;

    virtual void handle(RequestContext&, const Next& next) = 0;
};

/// Filters in order, and what stands at their end.
class FilterChain {
public:
    FilterChain(std::vector<std::unique_ptr<Filter>>, Filter::Next terminal);

    void handle(RequestContext&) const;

private:
    void handleFrom(std::size_t index, RequestContext&) const;

    std::vector<std::unique_ptr<Filter>> m_filters;
    Filter::Next m_terminal;
};

} // namespace basilpoint
