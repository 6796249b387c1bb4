#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Endpoint.h"

#include <map>
#include <string>
#include <string_view>

namespace basilpoint {

/// Header values by name in lower case.
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/// One request with its complete body.
struct HttpRequest {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
    /// Time from its first bytes to its last, if it was received.
    std::chrono::nanoseconds readFor { 0 };

    /// Value of header \p name (lower case), or empty.
    std::string_view header(std::string_view name) const;
    /// Path of the target without its query.
    std::string_view path() const;
};

/// One response with its complete body.
struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
    /// Whether nothing but the end of the connection shows where the body of a received response ends.
    bool endsWithConnection = false;
    /// When the connection of a received response was established, on the steady clock.
    TimePoint connectedAt = TimePoint::max();

    /// Value of header \p name (lower case), or empty.
    std::string_view header(std::string_view name) const;
};

/// Limits that a listener imposes on callers.
struct HttpLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxConnections = 4096;
    Milliseconds idleTimeout { 60'000 };
    /// Longest time from the first bytes of a request to its last.
    Milliseconds readTimeout { 60'000 };
    Milliseconds writeTimeout { 30'000 };
};

} // namespace basilpoint
