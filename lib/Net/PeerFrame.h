#pragma once

#include "basilpoint/Net/PeerLink.h"

#include <string_view>

namespace basilpoint {

/// Kind of a frame between daemons.
enum class PeerFrameKind : std::uint8_t {
    OneWay = 0,
    Call = 1,
    Answer = 2,
    /// The call failed; the body is the error text.
    Failure = 3,
};

/// One frame between daemons, encoded as a CBOR array of version, channel, kind, call id and body.
struct PeerFrame {
    PeerChannel channel = PeerChannel::Membership;
    PeerFrameKind kind = PeerFrameKind::OneWay;
    /// Unique among the calls that one side sends on a connection; 0 for one-way frames.
    std::uint64_t callId = 0;
    std::string body;

    bool operator==(const PeerFrame&) const = default;
};

/// Upper bound of the bytes that encoding adds to the body.
constexpr std::size_t maxPeerFrameOverheadBytes = 32;

std::string encodePeerFrame(const PeerFrame&);

/// \throws InvalidInputError if \p bytes are not exactly one frame of this version.
PeerFrame decodePeerFrame(std::string_view bytes);

} // namespace basilpoint
