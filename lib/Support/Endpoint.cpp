#include "basilpoint/Support/Endpoint.h"

#include "basilpoint/Support/Error.h"

#include <arpa/inet.h>
#include <charconv>

namespace basilpoint {

static bool isAddress(const std::string& host)
{
    in6_addr buf;
    return inet_pton(AF_INET, host.c_str(), &buf) == 1 || inet_pton(AF_INET6, host.c_str(), &buf) == 1;
}

std::string Endpoint::text() const
{
    if (host.find(':') != std::string::npos)
        return "[" + host + "]:" + std::to_string(port);
    return host + ":" + std::to_string(port);
}

bool Endpoint::isLoopback() const
{
    return host == "::1" || host.starts_with("127.");
}

Endpoint parseEndpoint(const std::string& field, const std::string& text)
{
    static constexpr auto allowed = "ADDRESS:PORT with an IP address, such as 127.0.0.1:8080";
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        throw InvalidInputError(field, text, allowed);
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (!isAddress(host) || parsed.ec != std::errc() || parsed.ptr != end)
        throw InvalidInputError(field, text, allowed);
    return { host, port };
}

} // namespace basilpoint
