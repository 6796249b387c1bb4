#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace basilpoint {

/// One pool of targets that serve the same calls.
using ServiceId = TextId<struct ServiceTag>;

/// What may be repeated of a call.
enum class CallKind {
    Idempotent,
    NonIdempotent,
    /// A stream of events; it runs at most once.
    Stream,
};

/// Part of a route's calls that goes to one service.
struct ServiceShare {
    ServiceId service;
    unsigned weight = 1;

    bool operator==(const ServiceShare&) const = default;
};

/// How calls of one host and path prefix are forwarded.
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
    /// Targets that may run one call.
    unsigned maxAttempts = 1;
    /// How long a turn is kept after its end; zero if the route keeps none.
    Milliseconds turnRetention { 0 };

    bool keepsTurns() const { return turnRetention.count() > 0; }
    bool operator==(const ForwardingRoute&) const = default;
};

/// Properties of a service whose targets are model engines.
struct EngineTraits {
    unsigned slots = 1;
    /// Memory of one replica.
    TokenCount memoryTokens = 0;
    /// Tokens that one event of a stream stands for.
    TokenCount tokensPerEvent = 1;

    bool operator==(const EngineTraits&) const = default;
};

/// One service and what its targets have in common.
struct ForwardingService {
    ServiceId name;
    std::string healthPath;
    std::optional<EngineTraits> engine;

    bool operator==(const ForwardingService&) const = default;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Milliseconds readTimeout { 10'000 };
    Milliseconds idleTimeout { 60'000 };

    bool operator==(const CallerLimits&) const = default;
};

/// One version of everything that decides where calls go.
struct ForwardingConfiguration {
    std::uint64_t version = 0;
    std::vector<ForwardingRoute> routes;
    std::vector<ForwardingService> services;
    CallerLimits limits;

    bool operator==(const ForwardingConfiguration&) const = default;
};

} // namespace basilpoint
