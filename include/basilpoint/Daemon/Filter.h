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
    /// Shard that creates the program: its parent's, or one given by a hash of the idempotency key.
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

/// Operation that a caller requests.
using Operation = std::variant<OpenProgramOperation, ShowProgramOperation, CloseProgramOperation, ModelCallOperation, ToolCallOperation>;

/// A caller's request while the filters handle it.
struct RequestContext {
    HttpRequest request;
    ResponseWriter& writer;
    Operation operation;
    /// W3C traceparent: the caller's trace or a new one, with a new span. Set by TraceFilter.
    std::string traceParent;
};

/// One step of handling a request. Calls next, answers the request, or throws an Error.
class Filter {
public:
    using Next = std::function<void(RequestContext&)>;

    virtual ~Filter() = default;

    virtual void handle(RequestContext&, const Next& next) = 0;
};

/// Applies filters in order, then the terminal handler.
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
