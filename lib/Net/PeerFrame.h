#pragma once

#include "basilpoint/Net/PeerLink.h"

#include <string_view>

namespace basilpoint {

/// What a frame between daemons is.
enum class PeerFrameKind : std::uint8_t {
    OneWay = 0,
    Call = 1,
    Answer = 2,
    /// The call's handler failed; the body is the error's text.
    Failure = 3,
};

/// One frame between daemons: a CBOR list of version, channel, kind, call id and body.
struct PeerFrame {
    PeerChannel channel = PeerChannel::Membership;
    PeerFrameKind kind = PeerFrameKind::OneWay;
    /// Unique on its connection and side; 0 for one-way frames.
    std::uint64_t callId = 0;
    std::string body;

    bool operator==(const PeerFrame&) const = default;
};

/// Most bytes that a frame adds to its body.
constexpr std::size_t maxPeerFrameOverheadBytes = 32;

std::string encodePeerFrame(const PeerFrame&);

/// \throws InvalidInputError if \p bytes are not one whole frame of this version.
PeerFrame decodePeerFrame(std::string_view bytes);

} // namespace basilpoint
