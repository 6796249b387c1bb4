#include "basilpoint/Forwarding/AllowancePool.h"

#include <algorithm>
#include <cmath>

namespace basilpoint {

using Seconds = std::chrono::duration<double>;

AllowancePool::AllowancePool(std::string lifetime, const AllowanceRights& rights, LimitLookup limitOf)
    : m_lifetime(std::move(lifetime))
    , m_rights(rights)
    , m_limitOf(std::move(limitOf))
{
}

static TimePoint timeOf(AllowanceStamp stamp)
{
    return TimePoint(std::chrono::duration_cast<TimePoint::duration>(std::chrono::nanoseconds(stamp)));
}

static AllowanceStamp stampOf(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

void AllowancePool::settle(Pool& pool, TimePoint now) const
{
    if (now > pool.countedAt) {
        pool.tokens += Seconds(now - pool.countedAt).count() * pool.perSecond();
        pool.countedAt = now;
    }
    pool.tokens = std::min(pool.tokens, pool.capacity());
}

static std::optional<std::size_t> indexOf(const std::vector<std::string>& names, const std::string& name)
{
    auto it = std::lower_bound(names.begin(), names.end(), name);
    if (it == names.end() || *it != name)
        return std::nullopt;
    return static_cast<std::size_t>(it - names.begin());
}

void AllowancePool::countDelegation(const std::string& gateway, bool isAdded, TimePoint now)
{
    auto index = indexOf(m_rights.gateways(), gateway);
    for (auto& [name, pool] : m_pools) {
        settle(pool, now);
        // A pool of an older division is counted again when it is used.
        if (pool.version != m_rights.version() || !index || !pool.sharers[*index])
            continue;
        pool.delegating += isAdded ? 1 : -1;
        pool.tokens = std::min(pool.tokens, pool.capacity());
    }
}

void AllowancePool::remove(const std::string& gateway, TimePoint now)
{
    if (m_delegations.erase(gateway) > 0)
        countDelegation(gateway, false, now);
}

// In the order of their ends, so that pools filled at each delegation's rate until its end only, also if this process paused.
void AllowancePool::expire(TimePoint now)
{
    for (;;) {
        auto first = std::min_element(m_delegations.begin(), m_delegations.end(), [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
        if (first == m_delegations.end() || first->second.until > now)
            return;
        std::string gateway = first->first;
        remove(gateway, first->second.until);
    }
}

/// \returns whether the message is the first with this echo, and the echo is still valid.
bool AllowancePool::acceptEcho(const AllowanceRequest& request, TimePoint now)
{
    if (request.echo == 0 || request.coordinator != m_lifetime || request.echo > m_lastStamp)
        return false;
    TimePoint end = timeOf(request.echo) + delegationDuration;
    Sender& sender = m_senders[request.sender];
    if (sender.lifetime != request.lifetime) {
        // The delegation of the sender's other process is replaced. A late message of a process that has ended cannot echo more
        // than the process did, so it ends before its successor delegates (AllowanceLease).
        if (timeOf(sender.lastEcho) > timeOf(request.echo))
            return false;
        sender = { request.lifetime, 0 };
    }
    bool isNew = request.echo > sender.lastEcho;
    sender.lastEcho = std::max(sender.lastEcho, request.echo);
    if (!isNew || end <= now)
        return false;
    auto [it, isAdded] = m_delegations.try_emplace(request.sender, Delegation { now, end });
    it->second.until = std::max(it->second.until, end);
    if (isAdded)
        countDelegation(request.sender, true, now);
    return true;
}

// Another limit may have shares of the same size, but fewer of them.
bool AllowancePool::isCurrent(const Pool& pool, const Organisation& organisation) const
{
    return pool.version == m_rights.version() && pool.sharerCount == AllowanceRights::sharerCount(organisation, m_rights.gateways().size()) && pool.share == m_rights.shareOfOne(organisation);
}

void AllowancePool::recount(Pool& pool, const Organisation& organisation) const
{
    if (!isCurrent(pool, organisation)) {
        pool.version = m_rights.version();
        pool.sharerCount = AllowanceRights::sharerCount(organisation, m_rights.gateways().size());
        pool.share = m_rights.shareOfOne(organisation);
        pool.sharers = m_rights.sharers(organisation);
    }
    pool.delegating = 0;
    for (std::size_t n = 0; n < pool.sharers.size(); ++n)
        if (pool.sharers[n] && m_delegations.contains(m_rights.gateways()[n]))
            ++pool.delegating;
    pool.tokens = std::min(pool.tokens, pool.capacity());
}

AllowancePool::Pool* AllowancePool::find(const std::string& name, TimePoint now)
{
    Limit limit = m_limitOf(name);
    if (!limit.organisation) {
        m_pools.erase(name);
        return nullptr;
    }
    auto [it, isNew] = m_pools.try_emplace(name);
    Pool& pool = it->second;
    if (isNew) {
        pool.countedAt = now;
        recount(pool, *limit.organisation);
        // What the pool would hold if it existed since the delegations began; nothing of it was leased.
        for (std::size_t n = 0; n < pool.sharers.size(); ++n) {
            auto delegation = pool.sharers[n] ? m_delegations.find(m_rights.gateways()[n]) : m_delegations.end();
            if (delegation == m_delegations.end())
                continue;
            double passed = Seconds(now - std::max(delegation->second.since, limit.since)).count();
            pool.tokens += std::clamp(passed * pool.share.perSecond, 0.0, pool.share.burst);
        }
        return &pool;
    }
    settle(pool, now);
    if (!isCurrent(pool, *limit.organisation))
        recount(pool, *limit.organisation);
    return &pool;
}

AllowanceAnswer::Grant AllowancePool::grant(const AllowanceRequest::Demand& demand, bool acceptsReturn, Pool& pool, TimePoint now) const
{
    if (acceptsReturn)
        pool.tokens = std::min(pool.capacity(), pool.tokens + demand.returned);
    AllowanceAnswer::Grant result { demand.organisation, 0, Milliseconds(0) };
    if (demand.wanted == 0)
        return result;
    // Sums of shares are not exact: a full pool of four quarters must lease its last token.
    constexpr double rounding = 1e-6;
    result.granted = static_cast<std::uint32_t>(std::min<double>(demand.wanted, std::floor(pool.tokens + rounding)));
    pool.tokens = std::max(0.0, pool.tokens - result.granted);
    if (result.granted > 0)
        return result;
    // Each sender that is refused is told the time of another token, so that they do not come back together for one.
    auto first = now + std::chrono::ceil<TimePoint::duration>(Seconds((1 - pool.tokens) / pool.perSecond()));
    auto next = pool.promisedUntil + std::chrono::ceil<TimePoint::duration>(Seconds(1 / pool.perSecond()));
    pool.promisedUntil = std::min(std::max(first, next), std::max<TimePoint>(first, now + maxPromise));
    result.retryAfter = std::chrono::ceil<Milliseconds>(pool.promisedUntil - now);
    return result;
}

AllowanceAnswer AllowancePool::answer(const AllowanceRequest& request, TimePoint now)
{
    expire(now);
    AllowanceAnswer answer;
    answer.lifetime = m_lifetime;
    answer.isLeaving = m_isLeaving;
    answer.stamp = m_lastStamp = std::max(m_lastStamp + 1, stampOf(now));
    if (m_isLeaving)
        return answer;
    bool isFirst = false;
    if (request.isWithdrawal) {
        remove(request.sender, now);
        // Messages sent before this one may still arrive. None of them may delegate again.
        m_senders[request.sender] = { request.lifetime, answer.stamp };
    } else
        isFirst = acceptEcho(request, now);
    // Tokens that are returned late would be valid for longer than leased ones.
    bool acceptsReturn = isFirst && now - timeOf(request.echo) <= leaseDuration;
    // Nothing is said of an organisation while no rights to it are delegated: whether it is over its allowance is not known.
    for (const AllowanceRequest::Demand& it : request.demands)
        if (Pool* pool = find(it.organisation, now); pool && pool->delegating > 0)
            answer.grants.push_back(grant(it, acceptsReturn, *pool, now));
    return answer;
}

void AllowancePool::leave()
{
    m_isLeaving = true;
    m_delegations.clear();
    m_pools.clear();
}

void AllowancePool::update(TimePoint now)
{
    expire(now);
    std::erase_if(m_pools, [&](const auto& it) { return !m_limitOf(it.first).organisation; });
    // Senders whose last echo has expired cannot delegate by a late message.
    std::erase_if(m_senders, [&](const auto& it) { return timeOf(it.second.lastEcho) + delegationDuration <= now; });
    for (auto& [name, pool] : m_pools) {
        settle(pool, now);
        Limit limit = m_limitOf(name);
        if (!isCurrent(pool, *limit.organisation))
            recount(pool, *limit.organisation);
    }
}

} // namespace basilpoint
