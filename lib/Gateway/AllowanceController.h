#pragma once

#include "basilpoint/Forwarding/AllowanceLease.h"
#include "basilpoint/Forwarding/AllowancePartitions.h"
#include "basilpoint/Forwarding/AllowancePool.h"
#include "basilpoint/Forwarding/RouteTable.h"
#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Gateway/StorePaths.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Support/Metrics.h"

#include <array>
#include <memory>

namespace basilpoint {

/// Whether a request is within its organisation's allowance.
struct Admission {
    enum class Outcome {
        Admitted,
        /// The organisation is over its allowance.
        Refused,
        /// No coordinator has answered, and this gateway has no rights of its own now.
        Unknown,
    };

    Outcome outcome = Outcome::Admitted;
    /// Time until a token will be available, if the request was not admitted.
    Milliseconds retryAfter { 0 };
    /// Until when the credit can be given back. Empty if nothing was charged.
    std::optional<TimePoint> validUntil {};

    bool isAdmitted() const { return outcome == Outcome::Admitted; }
    bool operator==(const Admission&) const = default;
};

/// Keeps organisations within their allowances together with the other gateways: leases tokens from the coordinators of
/// partitions, and coordinates the partitions that fall to this gateway.
///
/// Does nothing while the configuration has no organisation with a limit.
class AllowanceController {
public:
    /// Sends a message to the gateway at this address. \throws Error if there is no answer within the limit.
    using Call = std::function<std::string(const Endpoint&, std::string body, Milliseconds limit)>;
    using IsCutOff = std::function<bool(const std::string& gateway)>;

    /// \param isFirstStart the deployment starts, so there is no earlier lifetime of this gateway.
    AllowanceController(std::string self, const std::string& lifetime, bool isFirstStart, Call, IsCutOff, const Clock&, JsonLog&, Metrics&);

    /// Applies the limits of a configuration that came into force.
    void update(const RouteTable&);
    /// Sets the other gateways.
    void setGateways(const std::vector<RelayAddress>&);
    /// Sends what is due; called at \ref tickInterval.
    void tick();
    /// Handles a message of another gateway.
    std::string handle(const std::string& body);
    /// Gives the partitions that this gateway coordinates to others, since it shuts down.
    void leave();

    /// Charges a request. Suspends the fiber only if no tokens are left, for \ref maxWait at most.
    Admission admit(const Organisation&, TimePoint deadline);
    /// Returns the credit of a request that has not run. It is lost if it is no longer valid.
    void giveBack(const std::string& organisation, const Admission&);

    static constexpr Milliseconds tickInterval { 200 };
    /// Longer than a round trip between data centres by far. Callers wait for it when a coordinator has ended.
    static constexpr Milliseconds maxWait { 150 };
    /// Time until all gateways of a new deployment are in each other's lists.
    static constexpr Milliseconds firstStartDelay { 2'000 };

private:
    struct Limit {
        Organisation organisation;
        TimePoint since;
    };

    struct Partition {
        std::unique_ptr<AllowanceLease> lease;
        std::unique_ptr<AllowancePool> pool;
        /// Whether this gateway has rights to requests of some organisation of the partition.
        bool hasShare = false;
        bool usedOwnRights = false;
        FiberSignal changed;
        std::map<std::string, std::uint32_t> waiting;
    };

    bool isActive() const { return m_isListKnown && !m_limits.empty(); }
    AllowancePool::Limit limitOf(const std::string& organisation) const;
    void divide();
    bool startMessage(std::size_t partition);
    void call(std::size_t partition, const AllowanceLease::Message&, const Endpoint&);
    bool isUsable(const std::string& gateway) const;
    void sweep();
    void logOwnRights(std::size_t partition);
    Admission counted(Admission);

    std::string m_self;
    Call m_call;
    IsCutOff m_isCutOff;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    AllowanceRights m_rights;
    AllowancePartitions m_partitions;
    std::map<std::string, Endpoint> m_gateways;
    std::unordered_map<std::string, Limit> m_limits;
    std::array<Partition, AllowancePartitions::count> m_states;
    bool m_isListKnown = false;
    bool m_isLeaving = false;
    TimePoint m_sweptAt {};
};

} // namespace basilpoint
