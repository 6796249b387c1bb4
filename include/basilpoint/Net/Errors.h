#pragma once

#include "basilpoint/Net/HttpTypes.h"
#include "basilpoint/Support/Error.h"

namespace basilpoint {

/// The listening socket could not be bound.
class ListenError final : public Error {
public:
    ListenError(const Endpoint&, const std::string& reason);
};

/// The peer closed the connection or exceeded a timeout.
class ConnectionLostError final : public Error {
public:
    explicit ConnectionLostError(const std::string& reason);
};

/// How a call to a target failed.
enum class TargetFailure {
    /// No process listens at the target's address.
    ConnectionRefused,
    /// No connection was established for another reason.
    Unreachable,
    /// No connection was attempted, since this daemon lacks descriptors or ports.
    OutOfResources,
    /// The connection was closed or reset during the call.
    ConnectionLost,
    /// The target did not send or acknowledge anything in time.
    TimedOut,
    /// This daemon aborted the call.
    Cancelled,
    /// The response is malformed or too large, belongs to another call, or reports a failure.
    InvalidResponse,
};

const char* toString(TargetFailure);

/// A target could not be reached, failed, or sent an incomplete response.
class TargetError final : public Error {
public:
    /// \param executed No only if no byte of the request was sent.
    /// \param answered whether the target responded with a failure status, so that the call is not running there any more.
    TargetError(const Endpoint&, Executed executed, const std::string& reason, bool answered = false);
    TargetError(const Endpoint&, Executed executed, const std::string& reason, TargetFailure);

    bool answered() const noexcept { return m_answered; }
    TargetFailure failure() const noexcept { return m_failure; }

private:
    bool m_answered = false;
    TargetFailure m_failure = TargetFailure::InvalidResponse;
};

/// A message exceeds its size limit.
class TooLargeError final : public Error {
public:
    TooLargeError(std::string what, std::size_t limitBytes);
};

/// There is no resource with this path and method.
class RouteNotFoundError final : public Error {
public:
    RouteNotFoundError(std::string method, std::string path);
};

/// Converts \p error to a problem document (RFC 9457) with the extra members `executed` and `retryAfter`.
HttpResponse toProblem(const Error& error);

/// A defect of this program has ended the request, which may have run.
class InternalError final : public Error {
public:
    InternalError()
        : Error({ "internal-error", 500, Executed::Unknown }, {})
    {
    }
};

} // namespace basilpoint
