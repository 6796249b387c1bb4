#include "basilpoint/Forwarding/AllowanceLease.h"

#include <algorithm>
#include <cmath>

namespace basilpoint {

using Seconds = std::chrono::duration<double>;

// Refusals of one gateway until the same time are spaced by its rate of grants, but callers are not told to wait longer for it.
static constexpr std::chrono::seconds maxRefusalSpread { 1 };
// Organisations without requests for this long have no demand.
static constexpr std::chrono::seconds stateRetention { 30 };
// Own tokens that were used must not be available again sooner than they arise.
static constexpr std::chrono::minutes ownRetention { 10 };

AllowanceLease::AllowanceLease(std::size_t partition, std::string self, std::string lifetime, TimePoint usableFrom)
    : m_partition(partition)
    , m_self(std::move(self))
    , m_lifetime(std::move(lifetime))
    , m_usableFrom(usableFrom)
{
}

double AllowanceLease::demandAt(const State& state, TimePoint now)
{
    return state.demand * std::exp(-Seconds(now - state.demandAt).count());
}

void AllowanceLease::arrived(const std::string& organisation, TimePoint now)
{
    State& state = m_states[organisation];
    state.demand = demandAt(state, now) + 1;
    state.demandAt = now;
}

std::uint32_t AllowanceLease::validTokens(State& state, TimePoint now)
{
    while (!state.leased.empty() && (state.leased.front().validUntil <= now || state.leased.front().count == 0))
        state.leased.pop_front();
    std::uint32_t count = 0;
    for (const Tokens& it : state.leased)
        count += it.validUntil > now ? it.count : 0;
    return count;
}

std::uint32_t AllowanceLease::wantedTokens(const State& state, TimePoint now)
{
    auto forDemand = static_cast<std::uint32_t>(demandAt(state, now) * leaseSeconds);
    return std::max<std::uint32_t>({ 1, forDemand, state.waiting });
}

AllowanceLease::Result AllowanceLease::takeOwn(State& state, const Organisation& organisation, const AllowanceRights& rights, TimePoint now) const
{
    AllowanceShare share = rights.ownShare(organisation);
    if (share.isEmpty())
        return { Outcome::MustAsk };
    // From zero tokens at the time at which the coordinator stopped to use these rights.
    TimePoint from = std::max(m_usableFrom, m_delegatedUntil);
    if (!state.hasOwn) {
        state.hasOwn = true;
        state.ownTokens = 0;
        state.ownCountedAt = from;
    }
    state.ownTokens = std::min(share.burst, state.ownTokens + Seconds(now - state.ownCountedAt).count() * share.perSecond);
    state.ownCountedAt = now;
    if (state.ownTokens >= 1) {
        state.ownTokens -= 1;
        return { Outcome::Admitted, {}, now + leaseDuration };
    }
    return { Outcome::Refused, now + std::chrono::ceil<Milliseconds>(Seconds((1 - state.ownTokens) / share.perSecond)) };
}

AllowanceLease::Result AllowanceLease::take(const Organisation& organisation, const AllowanceRights& rights, TimePoint now)
{
    State& state = m_states[organisation.name];
    if (validTokens(state, now) > 0) {
        Tokens& oldest = state.leased.front();
        --oldest.count;
        return { Outcome::Admitted, {}, oldest.validUntil };
    }
    if (usesOwnRights(now))
        return takeOwn(state, organisation, rights, now);
    if (now < state.refusedUntil) {
        auto spread = std::min<TimePoint::duration>(std::chrono::duration_cast<TimePoint::duration>(Seconds(state.refused / organisation.requestsPerSecond)), maxRefusalSpread);
        ++state.refused;
        return { Outcome::Refused, state.refusedUntil + spread };
    }
    return { Outcome::MustAsk };
}

void AllowanceLease::giveBack(const std::string& organisation, TimePoint validUntil, TimePoint now)
{
    if (validUntil <= now)
        return;
    auto it = m_states.find(organisation);
    if (it == m_states.end())
        return;
    auto& leased = it->second.leased;
    auto place = std::find_if(leased.begin(), leased.end(), [&](const Tokens& tokens) { return tokens.validUntil >= validUntil; });
    if (place != leased.end() && place->validUntil == validUntil)
        ++place->count;
    else
        leased.insert(place, { 1, validUntil, 0 });
}

bool AllowanceLease::isLow(const State& state, std::uint32_t have, TimePoint now)
{
    return have <= wantedTokens(state, now) / 2 && demandAt(state, now) * leaseSeconds >= 1;
}

bool AllowanceLease::wantsRefill(const std::string& organisation, TimePoint now)
{
    auto it = m_states.find(organisation);
    return it != m_states.end() && !m_inFlight && now >= it->second.refusedUntil && !usesOwnRights(now) && isLow(it->second, validTokens(it->second, now), now);
}

void AllowanceLease::setWaiting(const std::string& organisation, std::uint32_t count)
{
    m_states[organisation].waiting = count;
}

bool AllowanceLease::hasFreshStamp(const std::string& coordinator, TimePoint now) const
{
    auto it = m_coordinators.find(coordinator);
    return it != m_coordinators.end() && it->second.stamp != 0 && now < it->second.receivedAt + delegationDuration;
}

bool AllowanceLease::wantsMessage(bool hasShare, TimePoint now) const
{
    if (m_inFlight)
        return false;
    // A coordinator that has answered may be given the rights at once.
    bool canDelegate = hasShare && !m_hasNoCoordinator && now >= m_usableFrom && now >= m_delegatedUntil && now < m_lastSentAt + delegationDuration;
    if (canDelegate || (hasShare && now >= m_lastSentAt + renewalInterval))
        return true;
    return std::any_of(m_states.begin(), m_states.end(), [](const auto& it) { return it.second.waiting > 0; });
}

std::optional<AllowanceLease::Message> AllowanceLease::begin(const std::vector<std::string>& candidates, const IsUsable& isUsable, TimePoint now)
{
    m_lastSentAt = now;
    auto mayAsk = [&](const std::string& it) {
        auto known = m_coordinators.find(it);
        return isUsable(it) && (known == m_coordinators.end() || known->second.pausedUntil <= now);
    };
    std::string preferred;
    std::size_t tried = 0;
    for (const std::string& it : candidates) {
        if (!isUsable(it))
            continue;
        if (mayAsk(it)) {
            preferred = it;
            break;
        }
        if (++tried == maxCandidates)
            break;
    }
    if (preferred.empty()) {
        m_hasNoCoordinator = true;
        return std::nullopt;
    }
    InFlight flight { preferred, now };
    if (isDelegated(now) && m_delegatedTo != preferred && mayAsk(m_delegatedTo)) {
        // The preferred coordinator is asked whether it answers before the rights are taken from the present one.
        if (hasFreshStamp(preferred, now)) {
            flight.coordinator = m_delegatedTo;
            flight.isWithdrawal = true;
        }
    } else
        flight.isDelegating = now >= m_usableFrom && hasFreshStamp(preferred, now) && (!isDelegated(now) || m_delegatedTo == preferred);
    Message message { flight.coordinator, {} };
    AllowanceRequest& request = message.request;
    request.sender = m_self;
    request.lifetime = m_lifetime;
    request.partition = m_partition;
    request.isWithdrawal = flight.isWithdrawal;
    AllowanceStamp echo = 0;
    if (flight.isDelegating) {
        const Coordinator& coordinator = m_coordinators.at(preferred);
        request.coordinator = coordinator.lifetime;
        request.echo = echo = coordinator.stamp;
        delegate(preferred);
    }
    for (auto& [name, state] : m_states) {
        std::uint32_t have = validTokens(state, now);
        std::uint32_t wanted = wantedTokens(state, now);
        AllowanceRequest::Demand demand { name };
        if (!flight.isWithdrawal && now >= state.refusedUntil && (state.waiting > have || isLow(state, have, now)))
            demand.wanted = wanted > have ? wanted - have : 0;
        // More than the demand is returned; tokens of earlier answers expire.
        if (echo != 0 && have > wanted && demand.wanted == 0)
            for (Tokens& it : state.leased)
                if (it.stamp == echo && it.validUntil > now) {
                    std::uint32_t excess = std::min(it.count, have - wanted);
                    it.count -= excess;
                    demand.returned += excess;
                }
        if (demand.wanted > 0 || demand.returned > 0)
            request.demands.push_back(std::move(demand));
    }
    m_inFlight = flight;
    return message;
}

void AllowanceLease::delegate(const std::string& name)
{
    const Coordinator& coordinator = m_coordinators.at(name);
    m_delegatedTo = name;
    m_delegatedLifetime = coordinator.lifetime;
    m_delegatedUntil = std::max(m_delegatedUntil, coordinator.receivedAt + delegationDuration);
    m_hasNoCoordinator = false;
    for (auto& [organisation, state] : m_states)
        state.hasOwn = false;
}

void AllowanceLease::endDelegation(TimePoint now)
{
    m_delegatedUntil = std::min(m_delegatedUntil, now);
}

void AllowanceLease::endDelegationTo(const std::string& coordinator, TimePoint now)
{
    if (m_delegatedTo == coordinator)
        endDelegation(now);
}

void AllowanceLease::pause(Coordinator& coordinator, TimePoint now)
{
    auto factor = 1U << std::min(coordinator.failures, 6U);
    ++coordinator.failures;
    coordinator.pausedUntil = now + std::min<Milliseconds>(failurePause * factor, maxFailurePause);
}

void AllowanceLease::answered(const AllowanceAnswer& answer, TimePoint now)
{
    if (!m_inFlight)
        return;
    InFlight flight = *std::exchange(m_inFlight, std::nullopt);
    Coordinator& coordinator = m_coordinators[flight.coordinator];
    bool isDelegate = m_delegatedTo == flight.coordinator;
    if (isDelegate && (answer.lifetime != m_delegatedLifetime || answer.isLeaving || flight.isWithdrawal))
        endDelegation(now);
    coordinator.lifetime = answer.lifetime;
    if (answer.isLeaving) {
        coordinator.stamp = 0;
        pause(coordinator, now);
        return;
    }
    coordinator.failures = 0;
    coordinator.stamp = answer.stamp;
    coordinator.receivedAt = now;
    m_hasNoCoordinator = false;
    for (const AllowanceAnswer::Grant& it : answer.grants) {
        State& state = m_states[it.organisation];
        TimePoint validUntil = flight.sentAt + leaseDuration;
        if (it.granted > 0) {
            state.refusedUntil = {};
            state.refused = 0;
            if (validUntil > now)
                state.leased.push_back({ it.granted, validUntil, answer.stamp });
        } else if (it.retryAfter.count() > 0) {
            state.refusedUntil = now + it.retryAfter;
            state.refused = 0;
        }
    }
}

void AllowanceLease::failed(TimePoint now)
{
    if (!m_inFlight)
        return;
    InFlight flight = *std::exchange(m_inFlight, std::nullopt);
    pause(m_coordinators[flight.coordinator], now);
    if (!isDelegated(now) || m_delegatedTo == flight.coordinator)
        m_hasNoCoordinator = true;
}

void AllowanceLease::sweep(const std::function<bool(const std::string& organisation)>& isLimited, TimePoint now)
{
    std::erase_if(m_states, [&](const auto& it) {
        const State& state = it.second;
        bool isUnused = !isLimited(it.first) || now - state.demandAt > stateRetention;
        return isUnused && state.waiting == 0 && (!state.hasOwn || now - state.ownCountedAt > ownRetention);
    });
    std::erase_if(m_coordinators, [&](const auto& it) { return it.first != m_delegatedTo && now - std::max(it.second.receivedAt, it.second.pausedUntil) > maxFailurePause; });
}

} // namespace basilpoint
