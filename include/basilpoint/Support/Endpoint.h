#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace basilpoint {

/// IP address and port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    /// "HOST:PORT", with brackets around an IPv6 address.
    std::string text() const;

    /// Whether the address is a loopback address.
    bool isLoopback() const;

    auto operator<=>(const Endpoint&) const = default;
};

/// Parses "HOST:PORT", where HOST is an IP address.
/// \param field name for the error.
/// \throws InvalidInputError.
Endpoint parseEndpoint(const std::string& field, const std::string& text);

} // namespace basilpoint
