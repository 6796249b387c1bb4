#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace basilpoint {

/// Time on a coordinator's clock in nanoseconds, by which it identifies an answer; 0 for none.
using AllowanceStamp = std::int64_t;

/// Asks the coordinator of a partition for tokens, and delegates the sender's rights to it.
struct AllowanceRequest {
    struct Demand {
        std::string organisation;
        std::uint32_t wanted = 0;
        /// Unspent tokens of the last answer.
        std::uint32_t returned = 0;

        bool operator==(const Demand&) const = default;
    };

    std::string sender;
    /// Distinguishes the sender's processes; greater for a later one is not required.
    std::string lifetime;
    std::size_t partition = 0;
    /// Lifetime of the coordinator that sent \ref echo.
    std::string coordinator;
    /// Stamp of the last answer received from this coordinator; none if the sender does not delegate its rights.
    AllowanceStamp echo = 0;
    /// The sender ends its delegation.
    bool isWithdrawal = false;
    std::vector<Demand> demands;

    bool operator==(const AllowanceRequest&) const = default;
};

/// Answer to an AllowanceRequest.
struct AllowanceAnswer {
    struct Grant {
        std::string organisation;
        std::uint32_t granted = 0;
        /// Time until a token will be available, if none was granted.
        Milliseconds retryAfter { 0 };

        bool operator==(const Grant&) const = default;
    };

    std::string lifetime;
    AllowanceStamp stamp = 0;
    /// The coordinator shuts down and no longer counts the sender's delegation.
    bool isLeaving = false;
    /// Organisations without an entry are not limited or not known in the coordinator's configuration.
    std::vector<Grant> grants;

    bool operator==(const AllowanceAnswer&) const = default;
};

/// How long a delegation lasts from the stamp that it echoes.
inline constexpr std::chrono::seconds delegationDuration { 5 };
/// How long leased tokens are valid from the sending of the message that asked for them.
inline constexpr Milliseconds leaseDuration { 500 };

} // namespace basilpoint
