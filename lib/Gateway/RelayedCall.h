#pragma once

#include "basilpoint/Forwarding/RouteTable.h"
#include "basilpoint/Forwarding/TargetSelector.h"
#include "basilpoint/Net/HttpTypes.h"
#include "basilpoint/Support/Error.h"
#include "basilpoint/Support/Hash.h"

namespace basilpoint {

/// A call that one gateway hands to another, which can reach its targets.
struct RelayedCall {
    /// As the target is to receive it, but for the attributes that depend on the target.
    HttpRequest request;
    ForwardingRoute route;
    TargetQuery query;
    Milliseconds timeLeft { 0 };
    /// Identifies the request across its caller's attempts.
    Digest content {};
    /// Likewise, whatever program and host the attempts name; unset in messages of releases that count a call's runs where they
    /// have its caller.
    std::optional<Digest> repetition {};
    /// Name and priority of the caller's organisation; empty if it has none.
    std::optional<Organisation> organisation {};
};

/// Encode to and decode from CBOR. \throws InvalidInputError if \p bytes are not a valid call.
std::string encodeRelayedCall(const RelayedCall&);
RelayedCall decodeRelayedCall(const std::string& bytes);

// Headers of the answers to relayed calls. Callers do not get them.
namespace relayheaders {
    /// Lifetime of the target whose answer this is; on an answer of the relay itself, the last target that may have run the call.
    inline constexpr const char* target = "basilpoint-relay-target";
    /// Present if the relay shuts down and takes only calls that end before it does.
    inline constexpr const char* leaving = "basilpoint-relay-leaving";
    /// Present if nothing but the end of its connection has shown where the target's answer ends.
    inline constexpr const char* endsWithConnection = "basilpoint-relay-ends-with-connection";
    /// Milliseconds since the connection was established on which the target has answered.
    inline constexpr const char* connectedFor = "basilpoint-relay-connected-for";
    /// Why the relay has refused a call for which the engines have no room.
    inline constexpr const char* noRoom = "basilpoint-relay-no-room";
    /// Milliseconds after which the caller of such a call should try again.
    inline constexpr const char* retryAfter = "basilpoint-relay-retry-after";
    /// How the call ended, if the relay has no answer of a target.
    inline constexpr const char* end = "basilpoint-relay-end";
}

/// How a relayed call ended without a target's answer, as a value of \ref relayheaders::end.
namespace relayends {
    /// The relay has not tried a target. Another gateway may.
    inline constexpr const char* notTaken = "not-taken";
    /// No target has run the call or will run it.
    inline constexpr const char* notRun = "not-run";
    inline constexpr const char* mayHaveRun = "may-have-run";
}

} // namespace basilpoint
