#include "PeerCall.h"

#include "basilpoint/Net/Errors.h"

#include <algorithm>
#include <fmt/format.h>

namespace basilpoint {

static constexpr Milliseconds connectTimeout { 120 };
static constexpr int statusOk = 200;
static constexpr int statusNotFound = 404;

PeerUnavailableError::PeerUnavailableError(const std::string& reason, std::string peerCode)
    : Error({ "peer-unavailable", 503, Executed::Unknown }, { { "reason", reason } })
    , m_peerCode(std::move(peerCode))
{
}

std::string callPeer(HttpClient& client, const Endpoint& peer, const char* path, std::string body, Milliseconds limit)
{
    HttpCallOptions options;
    options.connectTimeout = std::min(connectTimeout, limit);
    options.readTimeout = limit;
    options.deadline = std::chrono::steady_clock::now() + limit;
    try {
        HttpResponse response = client.call(peer, { "POST", path, {}, std::move(body) }, options);
        if (response.status == statusNotFound)
            return {};
        if (response.status != statusOk) {
            auto code = response.headers.find(peerErrorCodeHeader);
            throw PeerUnavailableError(fmt::format("status {}", response.status), code == response.headers.end() ? std::string() : code->second);
        }
        return std::move(response.body);
    } catch (const TargetError& error) {
        throw PeerUnavailableError(error.what());
    }
}

} // namespace basilpoint
