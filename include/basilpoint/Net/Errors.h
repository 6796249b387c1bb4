#pragma once

#include "basilpoint/Net/HttpTypes.h"
#include "basilpoint/Support/Error.h"

namespace basilpoint {

/// The listener could not be bound.
class ListenError final : public Error {
public:
    ListenError(const Endpoint&, const std::string& reason);
};

/// The peer of a connection is gone or too slow.
class ConnectionLostError final : public Error {
public:
    explicit ConnectionLostError(const std::string& reason);
};

/// A back end could not be reached or its answer broke off.
class TargetError final : public Error {
public:
    /// \param executed No only if not one byte of the request was sent.
    /// \param answered whether the target lives and has answered with a failure.
    TargetError(const Endpoint&, Executed executed, const std::string& reason, bool answered = false);

    bool answered() const noexcept { return m_answered; }

private:
    bool m_answered;
};

/// A message is larger than its limit.
class TooLargeError final : public Error {
public:
    TooLargeError(std::string what, std::size_t limitBytes);
};

/// No such resource, or not with this method.
class RouteNotFoundError final : public Error {
public:
    RouteNotFoundError(std::string method, std::string path);
};

/// Problem document (RFC 9457) for \p error, with `executed` and `retryAfter`.
HttpResponse toProblem(const Error& error);

} // namespace basilpoint
