#include "basilpoint/Net/Errors.h"

#include <cassert>
#include <nlohmann/json.hpp>

namespace basilpoint {

static constexpr int statusListenFailed = 500;
static constexpr int statusClientClosed = 499;
static constexpr int statusBadGateway = 502;
static constexpr int statusTooLarge = 413;
static constexpr int statusNotFound = 404;

ListenError::ListenError(const Endpoint& endpoint, const std::string& reason)
    : Error({ "listen-failed", statusListenFailed, Executed::No }, { { "address", endpoint.text() }, { "reason", reason } })
{
}

ConnectionLostError::ConnectionLostError(const std::string& reason)
    : Error({ "connection-lost", statusClientClosed, Executed::Unknown }, { { "reason", reason } })
{
}

TargetError::TargetError(const Endpoint& endpoint, Executed executed, const std::string& reason, bool answered)
    : Error({ "target-failed", statusBadGateway, executed }, { { "target", endpoint.text() }, { "reason", reason } })
    , m_answered(answered)
{
}

TargetError::TargetError(const Endpoint& endpoint, Executed executed, const std::string& reason, TargetFailure failure)
    : TargetError(endpoint, executed, reason)
{
    m_failure = failure;
}

const char* toString(TargetFailure failure)
{
    switch (failure) {
    case TargetFailure::ConnectionRefused:
        return "connection-refused";
    case TargetFailure::Unreachable:
        return "unreachable";
    case TargetFailure::OutOfResources:
        return "out-of-resources";
    case TargetFailure::ConnectionLost:
        return "connection-lost";
    case TargetFailure::TimedOut:
        return "timed-out";
    case TargetFailure::Cancelled:
        return "cancelled";
    case TargetFailure::InvalidResponse:
        return "invalid-response";
    }
    assert(false && "unhandled enumerator");
    return "";
}

TooLargeError::TooLargeError(std::string what, std::size_t limitBytes)
    : Error({ "too-large", statusTooLarge, Executed::No }, { { "what", std::move(what) }, { "limitBytes", std::to_string(limitBytes) } })
{
}

RouteNotFoundError::RouteNotFoundError(std::string method, std::string path)
    : Error({ "no-such-resource", statusNotFound, Executed::No }, { { "method", std::move(method) }, { "path", std::move(path) } })
{
}

HttpResponse toProblem(const Error& error)
{
    nlohmann::json json { { "type", "urn:basilpoint:" + std::string(error.code()) }, { "title", error.code() }, { "status", error.httpStatus() }, { "executed", toString(error.executed()) } };
    for (const ErrorField& field : error.fields())
        json[field.name] = field.value;
    HttpResponse response { error.httpStatus(), { { "content-type", "application/problem+json" } }, {} };
    if (auto delay = error.retryAfter()) {
        json["retryAfter"] = delay->count();
        response.headers["retry-after"] = std::to_string(std::chrono::ceil<std::chrono::seconds>(*delay).count());
    }
    response.body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace basilpoint
