#pragma once

#include "basilpoint/Forwarding/AllowanceMessages.h"
#include "basilpoint/Forwarding/AllowanceRights.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace basilpoint {

/// Gateway's side of one partition: delegates this gateway's rights to a coordinator, keeps the tokens that it leases, and uses
/// its own rights while it has no coordinator.
///
/// One message is in flight at a time: begin() is followed by answered() or failed().
class AllowanceLease {
public:
    /// \param usableFrom when this process may use or delegate its rights first. See \ref restartDelay.
    AllowanceLease(std::size_t partition, std::string self, std::string lifetime, TimePoint usableFrom);

    enum class Outcome {
        Admitted,
        /// The organisation is over its allowance.
        Refused,
        /// Only the coordinator knows.
        MustAsk,
    };
    struct Result {
        Outcome outcome = Outcome::MustAsk;
        /// When a token will be available, if refused.
        TimePoint retryAt {};
        /// Until when the token may be given back, if admitted.
        TimePoint validUntil {};
    };

    /// Records that a request has arrived, before take().
    void arrived(const std::string& organisation, TimePoint now);
    /// Takes a token for a request.
    Result take(const Organisation&, const AllowanceRights&, TimePoint now);
    /// Returns a token whose request has not run. It is lost if it is no longer valid.
    void giveBack(const std::string& organisation, TimePoint validUntil, TimePoint now);
    /// Whether the tokens left are so few that more should be leased before they run out.
    bool wantsRefill(const std::string& organisation, TimePoint now);
    /// Changes the number of requests that wait for tokens.
    void setWaiting(const std::string& organisation, std::uint32_t count);

    struct Message {
        std::string coordinator;
        AllowanceRequest request;
    };
    using IsUsable = std::function<bool(const std::string& gateway)>;

    /// Whether a message should be sent even if no request waits.
    /// \param hasShare whether this gateway has rights in the partition.
    bool wantsMessage(bool hasShare, TimePoint now) const;
    /// \param candidates gateways that may coordinate the partition, in order of preference.
    /// \param isUsable whether a gateway is neither known to be cut off nor unknown.
    /// \returns the message to send now; empty if no coordinator is usable.
    std::optional<Message> begin(const std::vector<std::string>& candidates, const IsUsable& isUsable, TimePoint now);
    void answered(const AllowanceAnswer&, TimePoint now);
    void failed(TimePoint now);
    /// Ends the delegation to a coordinator that has dropped it.
    void endDelegationTo(const std::string& coordinator, TimePoint now);
    bool isInFlight() const { return m_inFlight.has_value(); }

    /// Whether this gateway uses its own rights.
    bool usesOwnRights(TimePoint now) const { return m_hasNoCoordinator && now >= m_usableFrom && now >= m_delegatedUntil; }
    bool isDelegated(TimePoint now) const { return now < m_delegatedUntil; }

    /// Drops what is kept of organisations that \p isLimited does not confirm, and of those without requests lately.
    void sweep(const std::function<bool(const std::string& organisation)>& isLimited, TimePoint now);

    /// A coordinator counts the delegation of a process for this long at most after it has ended.
    static constexpr std::chrono::seconds restartDelay { delegationDuration };
    /// Renews a delegation of 5 s in time if one message is lost.
    static constexpr std::chrono::seconds renewalInterval { 2 };
    /// A coordinator that did not answer, or shuts down, is not asked for this long; doubles with each failure. Short, so that a
    /// lost message or a restart costs little.
    static constexpr Milliseconds failurePause { 500 };
    static constexpr Milliseconds maxFailurePause { 32'000 };
    /// Candidates that are asked before this gateway regards itself as without a coordinator. Bounds the calls of a gateway that
    /// reaches none.
    static constexpr std::size_t maxCandidates = 3;
    /// Demand that a lease covers, in seconds: long against a round trip, short against the validity of tokens.
    static constexpr double leaseSeconds = 0.2;

private:
    struct Tokens {
        std::uint32_t count = 0;
        TimePoint validUntil;
        /// Stamp of the answer that granted them.
        AllowanceStamp stamp = 0;
    };

    struct State {
        std::deque<Tokens> leased;
        /// Requests a second, as a decaying mean.
        double demand = 0;
        TimePoint demandAt;
        std::uint32_t waiting = 0;
        TimePoint refusedUntil {};
        /// Requests that were refused until the same time.
        std::uint32_t refused = 0;
        bool hasOwn = false;
        double ownTokens = 0;
        TimePoint ownCountedAt;
    };

    struct Coordinator {
        std::string lifetime;
        AllowanceStamp stamp = 0;
        TimePoint receivedAt {};
        TimePoint pausedUntil {};
        unsigned failures = 0;
    };

    struct InFlight {
        std::string coordinator;
        TimePoint sentAt;
        bool isWithdrawal = false;
        bool isDelegating = false;
    };

    static double demandAt(const State&, TimePoint now);
    static std::uint32_t validTokens(State&, TimePoint now);
    static std::uint32_t wantedTokens(const State&, TimePoint now);
    static bool isLow(const State&, std::uint32_t have, TimePoint now);
    Result takeOwn(State&, const Organisation&, const AllowanceRights&, TimePoint now) const;
    bool hasFreshStamp(const std::string& coordinator, TimePoint now) const;
    void delegate(const std::string& coordinator);
    void endDelegation(TimePoint now);
    void pause(Coordinator&, TimePoint now);

    std::size_t m_partition;
    std::string m_self;
    std::string m_lifetime;
    TimePoint m_usableFrom;
    std::string m_delegatedTo;
    std::string m_delegatedLifetime;
    TimePoint m_delegatedUntil {};
    /// No coordinator answered the last message.
    bool m_hasNoCoordinator = false;
    TimePoint m_lastSentAt {};
    std::optional<InFlight> m_inFlight;
    std::map<std::string, Coordinator> m_coordinators;
    std::unordered_map<std::string, State> m_states;
};

} // namespace basilpoint
