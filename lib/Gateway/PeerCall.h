#pragma once

#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Support/Error.h"

namespace basilpoint {

// URL paths of calls between daemons.
namespace peerpaths {
    inline constexpr const char* commit = "/store/commit";
    inline constexpr const char* snapshot = "/store/snapshot";
    inline constexpr const char* get = "/store/get";
    inline constexpr const char* recentGet = "/store/recent-get";
    inline constexpr const char* recall = "/store/recall";
    inline constexpr const char* changes = "/store/changes";
    inline constexpr const char* announce = "/daemons/announce";
    inline constexpr const char* removed = "/daemons/removed";
    inline constexpr const char* notices = "/daemons/notices";
    inline constexpr const char* forward = "/calls/forward";
    inline constexpr const char* lease = "/allowances/lease";
    inline constexpr const char* programRecords = "/turns/program";
    inline constexpr const char* attestation = "/turns/testimony";
    inline constexpr const char* handOver = "/turns/handover";
    inline constexpr const char* releaseHold = "/turns/release";
    inline constexpr const char* journalAppend = "/journal/append";
    inline constexpr const char* journalFind = "/journal/find";
    inline constexpr const char* journalGrant = "/journal/grant";
    inline constexpr const char* journalGrants = "/journal/grants";
    inline constexpr const char* journalOutstanding = "/journal/outstanding";
    inline constexpr const char* journalDrop = "/journal/drop";
    inline constexpr const char* journalAll = "/journal/all";
    inline constexpr const char* journalTransfer = "/journal/transfer";
    inline constexpr const char* keeperProbe = "/keepers/probe";
    inline constexpr const char* keeperInstall = "/keepers/install";
}

/// Another daemon did not answer, or refused the call.
class PeerUnavailableError final : public Error {
public:
    explicit PeerUnavailableError(const std::string& reason, std::string peerCode = {});

    /// Code of the error by which the other daemon refused the call; empty if it did not answer or is of a release that
    /// does not tell.
    const std::string& peerCode() const { return m_peerCode; }

private:
    std::string m_peerCode;
};

// Header of refused calls between daemons with the code of the error.
inline constexpr const char* peerErrorCodeHeader = "x-error-code";

/// Calls another daemon. \returns the body of its answer; empty if it found nothing.
/// \throws PeerUnavailableError, also if no answer arrives within \p limit.
std::string callPeer(HttpClient&, const Endpoint&, const char* path, std::string body, Milliseconds limit);

} // namespace basilpoint
