#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Random.h"

#include <optional>

namespace basilpoint {

/// Limits of retries.
struct RetrySettings {
    /// Retries allowed per success.
    double retriesPerSuccess = 0.1;
    /// Largest balance of unused retries. It allows retries during a short failure of a service with little traffic.
    double maxBalance = 10;
    unsigned maxAttempts = 3;
    Milliseconds firstDelay { 100 };
    Milliseconds maxDelay { 5'000 };
};

/// Attributes of a failed call that decide whether it is retried.
struct FailedCall {
    /// Whether the call may be executed more than once.
    bool isIdempotent = false;
    /// Attempts made so far, at least 1.
    unsigned attempts = 1;
    std::optional<TimePoint> deadline;
    /// Shortest duration of a successful attempt.
    Milliseconds minDuration { 0 };
};

/// Limits retries to a share of the successes, so that retries don't multiply the load on a failing service.
class RetryBudget {
public:
    RetryBudget(RetrySettings, RandomEngine::result_type seed);

    void succeeded();

    /// Returns the delay before the next attempt and charges the budget, or returns nothing if the call must not be retried.
    std::optional<Milliseconds> retryAfter(const FailedCall&, TimePoint now);

    /// Retries that may be made now.
    double balance() const { return m_balance; }

private:
    Milliseconds drawDelay(unsigned attempts);

    RetrySettings m_settings;
    RandomEngine m_random;
    double m_balance;
};

} // namespace basilpoint
