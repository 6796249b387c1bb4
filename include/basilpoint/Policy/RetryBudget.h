#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Random.h"

#include <optional>

namespace basilpoint {

/// Limits of retries.
struct RetrySettings {
    /// Retries allowed per success.
    double retriesPerSuccess = 0.1;
    /// Retries that may be saved up, so that a short failure of a quiet service is bridged.
    double maxSaved = 10;
    unsigned maxAttempts = 3;
    Milliseconds firstDelay { 100 };
    Milliseconds maxDelay { 5'000 };
};

/// What the decision on a retry needs to know of a failed call.
struct FailedCall {
    /// Whether the call may take effect twice without harm.
    bool isIdempotent = false;
    /// Attempts made so far, from 1.
    unsigned attempts = 1;
    std::optional<TimePoint> deadline;
    /// Shortest time in which an attempt may succeed.
    Milliseconds minDuration { 0 };
};

/// Grants retries as a share of successes, so that retries never multiply the load of a failing service.
class RetryBudget {
public:
    RetryBudget(RetrySettings, RandomEngine::result_type seed);

    void succeeded();

    /// Delay before the next attempt; empty if there must be none. A granted retry is charged.
    std::optional<Milliseconds> retryAfter(const FailedCall&, TimePoint now);

    double saved() const { return m_saved; }

private:
    Milliseconds drawDelay(unsigned attempts);

    RetrySettings m_settings;
    RandomEngine m_random;
    double m_saved;
};

} // namespace basilpoint
