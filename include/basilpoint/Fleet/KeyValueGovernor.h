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
    /// Goes before the others, as a lapsed lease costs ownership.
    LeaseRenewal,
    Watch,
};

inline constexpr std::size_t keyValueCallKinds = 4;

struct KeyValueGovernorSettings {
    /// Rate that all daemons share; well below what the service handles.
    double fleetCallsPerSecond = 600;
    /// Least number of calls that a daemon may make at once after a quiet time.
    double minBurst = 6;
    /// Part of the burst that only lease renewals may use.
    double reservedBurst = 3;
    /// Failures in a row after which calls are refused for a time.
    unsigned breakerFailures = 5;
    Milliseconds minPause { 200 };
    Milliseconds maxPause { 15'000 };
};

/// Make the call, then report it by finished().
struct MakeCall {
    bool operator==(const MakeCall&) const = default;
};

/// The same read is under way; take its answer.
struct ShareAnswer {
    bool operator==(const ShareAnswer&) const = default;
};

/// Do not make the call; ask again after the delay.
struct RefuseCall {
    Milliseconds retryAfter { 0 };

    bool operator==(const RefuseCall&) const = default;
};

using KeyValueDecision = std::variant<MakeCall, ShareAnswer, RefuseCall>;

/// Calls by what became of them, for metrics.
struct KeyValueCallCounters {
    std::uint64_t made = 0;
    std::uint64_t shared = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

/// Decides which calls to the key-value service are made: rate budget, circuit breaker, shared reads.
class KeyValueGovernor {
public:
    KeyValueGovernor(const KeyValueGovernorSettings&, RandomEngine::result_type seed);

    KeyValueDecision admit(KeyValueCallKind, const std::string& key, TimePoint now);

    /// The call ended; \p answered is false if the service did not answer or reported a failure of its own.
    void finished(KeyValueCallKind, const std::string& key, bool answered, TimePoint now);

    /// Sets the daemon's share of the rate, and a burst of a second's worth. One member until first called.
    void setMembers(std::size_t members, TimePoint now);

    /// Whether calls are refused because the service fails.
    bool isOpen() const { return m_failures >= m_settings.breakerFailures; }

    const KeyValueCallCounters& counters(KeyValueCallKind kind) const { return m_counters[static_cast<std::size_t>(kind)]; }

private:
    KeyValueDecision decide(KeyValueCallKind, const std::string& key, TimePoint now);
    void refill(TimePoint now);
    void drawPause(TimePoint now);

    KeyValueGovernorSettings m_settings;
    RandomEngine m_random;
    double m_callsPerSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_lastRefill;
    unsigned m_failures = 0;
    Milliseconds m_pause;
    TimePoint m_trialAt;
    bool m_trialUnderWay = false;
    std::set<std::string> m_reads;
    std::array<KeyValueCallCounters, keyValueCallKinds> m_counters {};
};

} // namespace basilpoint
