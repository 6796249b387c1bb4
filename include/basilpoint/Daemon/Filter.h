#pragma once

#include "basilpoint/Config/Environment.h"
#include "basilpoint/Net/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace basilpoint {

/// POST /v1/programs
struct OpenProgramOperation { };
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
    const HttpRequest& request;
    ResponseWriter& writer;
    Operation operation;
    /// W3C traceparent, taken from the caller or made here.
    std::string traceParent;
    /// Set once the request's environment is known.
    std::shared_ptr<const Environment> environment;
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
