#include "basilpoint/Forwarding/RateLimits.h"

#include "basilpoint/Forwarding/LimitDivision.h"

#include <algorithm>
#include <cmath>

namespace basilpoint {

// Share of a limit that is worth dividing it for. Smaller shares would leave much of the limit to daemons without calls.
static constexpr double minShare = 1;
// Calls that a daemon may send at once after a pause: enough for small shares to be used, or for some time's share.
static constexpr double minBurst = 1.5;
static constexpr double burstSeconds = 0.25;
// A target that names no rate at all is still tried now and then, to learn when the limit ends.
static constexpr double minPerSecond = 0.1;

void RateLimits::setDaemons(std::vector<std::string> names)
{
    m_daemons = std::move(names);
    for (auto& [lifetime, limit] : m_limits)
        limit.share = shareOf(lifetime, limit.perSecond);
}

double RateLimits::shareOf(const std::string& lifetime, double perSecond) const
{
    if (m_daemons.empty())
        return 0;
    std::size_t sharers = limitdivision::sharerCount(perSecond, minShare, m_daemons.size());
    return limitdivision::isSharer(m_self, m_daemons, lifetime, sharers) ? perSecond / static_cast<double>(sharers) : 0;
}

double RateLimits::burstOf(const Limit& limit)
{
    return std::max(minBurst, limit.share * burstSeconds);
}

double RateLimits::tokensAt(const Limit& limit, TimePoint now)
{
    std::chrono::duration<double> passed = now - limit.countedAt;
    return std::min(burstOf(limit), limit.tokens + passed.count() * limit.share);
}

void RateLimits::set(const std::string& lifetime, double perSecond, TimePoint now)
{
    auto [it, isNew] = m_limits.try_emplace(lifetime);
    Limit& limit = it->second;
    limit.tokens = isNew ? 0 : tokensAt(limit, now);
    limit.countedAt = now;
    limit.namedAt = now;
    limit.remindedAt = now;
    limit.perSecond = perSecond;
    limit.share = shareOf(lifetime, perSecond);
}

RateLimits::Change RateLimits::answered(const std::string& lifetime, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    auto it = m_limits.find(lifetime);
    if (!perSecond) {
        if (it == m_limits.end() || sentAt <= it->second.namedAt)
            return Change::None;
        m_limits.erase(it);
        return Change::Lifted;
    }
    double rate = std::max(*perSecond, minPerSecond);
    bool isChanged = it == m_limits.end() || it->second.perSecond != rate;
    if (isChanged)
        set(lifetime, rate, now);
    Limit& limit = m_limits.at(lifetime);
    limit.namedAt = now;
    if (!isChanged && now - limit.remindedAt < reminderInterval)
        return Change::None;
    limit.remindedAt = now;
    return Change::Limited;
}

void RateLimits::limited(const std::string& lifetime, double perSecond, TimePoint now)
{
    auto it = m_limits.find(lifetime);
    if (it == m_limits.end() || it->second.perSecond != perSecond)
        set(lifetime, perSecond, now);
}

bool RateLimits::admits(const std::string& lifetime, Precedence precedence, TimePoint now) const
{
    auto it = m_limits.find(lifetime);
    return it == m_limits.end() || tokensAt(it->second, now) >= (precedence == Precedence::Low ? burstOf(it->second) : 1);
}

void RateLimits::sent(const std::string& lifetime, TimePoint now)
{
    auto it = m_limits.find(lifetime);
    if (it == m_limits.end())
        return;
    it->second.tokens = std::max(0.0, tokensAt(it->second, now) - 1);
    it->second.countedAt = now;
}

std::optional<double> RateLimits::limitOf(const std::string& lifetime) const
{
    auto it = m_limits.find(lifetime);
    return it == m_limits.end() ? std::nullopt : std::optional(it->second.perSecond);
}

void RateLimits::sweep(TimePoint now, const std::function<bool(const std::string& lifetime, double perSecond)>& isConfirmed)
{
    std::erase_if(m_limits, [&](const auto& it) { return now - it.second.namedAt > retention && !isConfirmed(it.first, it.second.perSecond); });
}

} // namespace basilpoint
