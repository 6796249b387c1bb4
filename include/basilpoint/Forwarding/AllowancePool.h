#pragma once

#include "basilpoint/Forwarding/AllowanceMessages.h"
#include "basilpoint/Forwarding/AllowanceRights.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace basilpoint {

/// Coordinator's side of one partition: pools the rights that gateways delegate, and leases tokens of them.
class AllowancePool {
public:
    /// Allowance in force, and since when the organisation has had one without interruption; null if it has none.
    struct Limit {
        const Organisation* organisation = nullptr;
        TimePoint since;
    };
    using LimitLookup = std::function<Limit(const std::string& organisation)>;

    /// \param rights division that this gateway knows; outlives the pool.
    AllowancePool(std::string lifetime, const AllowanceRights& rights, LimitLookup);

    AllowanceAnswer answer(const AllowanceRequest&, TimePoint now);

    /// Drops all delegations and accepts none any more.
    void leave();
    /// Adapts to changes of the division, and drops pools of organisations without a limit.
    void update(TimePoint now);

    std::size_t delegations() const { return m_delegations.size(); }
    std::size_t organisations() const { return m_pools.size(); }

    /// Longest time until which callers are told to wait for tokens that others have not been promised.
    static constexpr std::chrono::seconds maxPromise { 1 };

private:
    struct Delegation {
        TimePoint since;
        TimePoint until;
    };

    /// What the last message of a sender's lifetime echoed. Duplicates and late messages echo no more than this.
    struct Sender {
        std::string lifetime;
        AllowanceStamp lastEcho = 0;
    };

    struct Pool {
        double tokens = 0;
        TimePoint countedAt;
        /// Until when the tokens that arise are promised to senders that were refused.
        TimePoint promisedUntil;
        AllowanceShare share;
        std::size_t sharerCount = 0;
        /// Delegating sharers.
        std::size_t delegating = 0;
        std::vector<bool> sharers;
        std::uint64_t version = 0;

        double perSecond() const { return share.perSecond * static_cast<double>(delegating); }
        double capacity() const { return share.burst * static_cast<double>(delegating); }
    };

    void expire(TimePoint now);
    void settle(Pool&, TimePoint now) const;
    void countDelegation(const std::string& gateway, bool isAdded, TimePoint now);
    void remove(const std::string& gateway, TimePoint now);
    bool acceptEcho(const AllowanceRequest&, TimePoint now);
    bool isCurrent(const Pool&, const Organisation&) const;
    void recount(Pool&, const Organisation&) const;
    Pool* find(const std::string& organisation, TimePoint now);
    AllowanceAnswer::Grant grant(const AllowanceRequest::Demand&, bool acceptsReturn, Pool&, TimePoint now) const;

    std::string m_lifetime;
    const AllowanceRights& m_rights;
    LimitLookup m_limitOf;
    AllowanceStamp m_lastStamp = 0;
    bool m_isLeaving = false;
    std::map<std::string, Delegation> m_delegations;
    std::unordered_map<std::string, Sender> m_senders;
    std::unordered_map<std::string, Pool> m_pools;
};

} // namespace basilpoint
