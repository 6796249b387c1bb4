#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace basilpoint {

/// A pool of targets that serve the same calls.
using ServiceId = TextId<struct ServiceTag>;

/// Whether a call may be repeated.
enum class CallKind {
    Idempotent,
    NonIdempotent,
    /// A call answered by a stream of events; it runs at most once.
    Stream,
};

/// Share of a route's calls that goes to one service.
struct ServiceShare {
    ServiceId service;
    unsigned weight = 1;

    bool operator==(const ServiceShare&) const = default;
};

/// How to forward calls with one host and path prefix.
struct ForwardingRoute {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    CallKind kind = CallKind::NonIdempotent;
    Milliseconds timeout { 30'000 };
    Milliseconds latencyTarget { 1'000 };
    /// 0 is the most urgent.
    unsigned priority = 0;
    std::vector<ServiceShare> services;
    /// Maximum number of targets that may run one call; refusals do not count.
    unsigned maxAttempts = 1;
    /// How long a turn is kept after its end; zero if the route keeps none.
    Milliseconds turnRetention { 0 };
    /// Whether callers need no key.
    bool isPublic = false;
    /// Whether a stream that broke off may be continued at another target.
    bool isResumable = false;
    /// Whether a target that has handled an object or prompt lately serves it faster.
    bool isSticky = false;

    bool keepsTurns() const { return turnRetention.count() > 0; }
    bool operator==(const ForwardingRoute&) const = default;
};

/// Properties of a service whose targets are model engines.
struct EngineTraits {
    unsigned slots = 1;
    /// Capacity of the KV cache of one replica.
    TokenCount memoryTokens = 0;
    /// Number of tokens per event of a stream.
    TokenCount tokensPerEvent = 1;
    /// Longest time for which a slot and memory can be reserved; zero if engines take no reservations.
    Milliseconds maxReservation { 0 };

    bool operator==(const EngineTraits&) const = default;
};

/// A service and the common properties of its targets.
struct ForwardingService {
    ServiceId name;
    std::string healthPath;
    std::optional<EngineTraits> engine;

    bool operator==(const ForwardingService&) const = default;
};

/// A customer of the deployment, whose callers identify themselves by keys.
struct Organisation {
    std::string name;
    std::vector<std::string> keys;
    /// Precedes the priority of routes; 0 is the most urgent. Empty if the organisation has none.
    std::optional<unsigned> priority;
    /// Allowance over all gateways together; 0 if it is not limited.
    double requestsPerSecond = 0;
    /// Requests that may exceed \ref requestsPerSecond at once.
    double burst = 0;

    bool isLimited() const { return requestsPerSecond > 0; }
    bool operator==(const Organisation&) const = default;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Milliseconds readTimeout { 10'000 };
    Milliseconds idleTimeout { 60'000 };

    bool operator==(const CallerLimits&) const = default;
};

/// One version of all settings that determine where calls are forwarded.
struct ForwardingConfiguration {
    std::uint64_t version = 0;
    std::vector<ForwardingRoute> routes;
    std::vector<ForwardingService> services;
    CallerLimits limits;
    /// Empty if callers are not identified.
    std::optional<std::vector<Organisation>> organisations {};

    bool operator==(const ForwardingConfiguration&) const = default;
};

/// \throws InvalidInputError if the organisations are invalid: one without a name, a name or key that occurs twice, an empty key,
/// or a rate or burst that is no number of at least 0. The error names the organisation but never a key.
void validateOrganisations(const std::vector<Organisation>&);

} // namespace basilpoint
