#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Random.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <variant>

namespace basilpoint {

enum class KeyValueCallKind {
    Read,
    Write,
    /// Has priority, since an expired lease costs the daemon its ownership.
    LeaseRenewal,
    Watch,
};

inline constexpr std::size_t keyValueCallKindCount = 4;

struct KeyValueGovernorSettings {
    /// Rate shared by all daemons; well below the capacity of the service.
    double fleetCallsPerSecond = 600;
    /// Lower bound of the token bucket's size, in calls.
    double minBurst = 6;
    /// Tokens of the bucket that only lease renewals may use.
    double reservedBurst = 3;
    /// Consecutive failures that open the circuit breaker.
    unsigned breakerFailures = 5;
    Milliseconds minBackoff { 200 };
    Milliseconds maxBackoff { 15'000 };
};

/// Make the call, then report its end by finished().
struct MakeCall {
    bool operator==(const MakeCall&) const = default;
};

/// The same read is in flight; share its result.
struct ShareAnswer {
    bool operator==(const ShareAnswer&) const = default;
};

/// Do not make the call; ask for admission again after the delay.
struct RefuseCall {
    Milliseconds retryAfter { 0 };

    bool operator==(const RefuseCall&) const = default;
};

using KeyValueDecision = std::variant<MakeCall, ShareAnswer, RefuseCall>;

/// Calls by outcome, for metrics.
struct KeyValueCallCounters {
    std::uint64_t made = 0;
    std::uint64_t shared = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

/// Admission control for calls to the key-value service: token bucket, circuit breaker, shared reads.
class KeyValueGovernor {
public:
    KeyValueGovernor(const KeyValueGovernorSettings&, RandomEngine::result_type seed);

    KeyValueDecision admit(KeyValueCallKind, const std::string& key, TimePoint now);

    /// Reports the end of a call. \p answered is false if the service did not answer or reported an internal failure.
    void finished(KeyValueCallKind, const std::string& key, bool answered, TimePoint now);

    /// Sets this daemon's share of the rate, and a bucket that holds one second of it. The default is one member.
    void setMembers(std::size_t members, TimePoint now);

    /// Whether the circuit breaker is open, so that only single trial calls are admitted.
    bool isBreakerOpen() const { return m_failures >= m_settings.breakerFailures; }

    const KeyValueCallCounters& counters(KeyValueCallKind kind) const { return m_counters[static_cast<std::size_t>(kind)]; }

private:
    KeyValueDecision decide(KeyValueCallKind, const std::string& key, TimePoint now);
    void refill(TimePoint now);
    void drawBackoff(TimePoint now);

    KeyValueGovernorSettings m_settings;
    RandomEngine m_random;
    double m_callsPerSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_lastRefill;
    unsigned m_failures = 0;
    Milliseconds m_backoff;
    TimePoint m_trialAt;
    bool m_trialInFlight = false;
    std::set<std::string> m_readsInFlight;
    std::array<KeyValueCallCounters, keyValueCallKindCount> m_counters {};
};

} // namespace basilpoint
