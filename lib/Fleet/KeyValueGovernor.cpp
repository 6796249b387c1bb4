#include "basilpoint/Fleet/KeyValueGovernor.h"

#include <algorithm>
#include <cmath>

namespace basilpoint {

KeyValueGovernor::KeyValueGovernor(const KeyValueGovernorSettings& settings, RandomEngine::result_type seed)
    : m_settings(settings)
    , m_random(seed)
    , m_callsPerSecond(settings.fleetCallsPerSecond)
    , m_burst(std::max(m_callsPerSecond, settings.minBurst))
    , m_tokens(m_burst)
    , m_backoff(settings.minBackoff)
{
}

KeyValueDecision KeyValueGovernor::admit(KeyValueCallKind kind, const std::string& key, TimePoint now)
{
    KeyValueDecision decision = decide(kind, key, now);
    KeyValueCallCounters& counters = m_counters[static_cast<std::size_t>(kind)];
    counters.made += std::holds_alternative<MakeCall>(decision);
    counters.shared += std::holds_alternative<ShareAnswer>(decision);
    counters.refused += std::holds_alternative<RefuseCall>(decision);
    return decision;
}

KeyValueDecision KeyValueGovernor::decide(KeyValueCallKind kind, const std::string& key, TimePoint now)
{
    if (kind == KeyValueCallKind::Read && m_readsInFlight.contains(key))
        return ShareAnswer {};
    if (isBreakerOpen()) {
        if (now < m_trialAt)
            return RefuseCall { std::chrono::ceil<Milliseconds>(m_trialAt - now) };
        if (m_trialInFlight)
            return RefuseCall { m_backoff };
    }
    refill(now);
    double needed = 1 + (kind == KeyValueCallKind::LeaseRenewal ? 0 : m_settings.reservedBurst);
    if (m_tokens < needed)
        return RefuseCall { Milliseconds(static_cast<std::int64_t>(std::ceil((needed - m_tokens) / m_callsPerSecond * 1'000))) };
    m_tokens -= 1;
    m_trialInFlight = isBreakerOpen();
    if (kind == KeyValueCallKind::Read)
        m_readsInFlight.insert(key);
    return MakeCall {};
}

void KeyValueGovernor::finished(KeyValueCallKind kind, const std::string& key, bool answered, TimePoint now)
{
    if (kind == KeyValueCallKind::Read)
        m_readsInFlight.erase(key);
    m_trialInFlight = false;
    if (answered) {
        m_failures = 0;
        m_backoff = m_settings.minBackoff;
        return;
    }
    ++m_counters[static_cast<std::size_t>(kind)].failed;
    ++m_failures;
    if (isBreakerOpen())
        drawBackoff(now);
}

void KeyValueGovernor::setMembers(std::size_t members, TimePoint now)
{
    refill(now);
    m_callsPerSecond = m_settings.fleetCallsPerSecond / static_cast<double>(std::max<std::size_t>(members, 1));
    m_burst = std::max(m_callsPerSecond, m_settings.minBurst);
    m_tokens = std::min(m_tokens, m_burst);
}

void KeyValueGovernor::refill(TimePoint now)
{
    std::chrono::duration<double> elapsed = now - m_lastRefill;
    m_lastRefill = now;
    m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_callsPerSecond);
}

void KeyValueGovernor::drawBackoff(TimePoint now)
{
    // Backoff with decorrelated jitter, so that daemons whose calls failed together do not retry together.
    std::uniform_int_distribution<Milliseconds::rep> draw(m_settings.minBackoff.count(), m_backoff.count() * 3);
    m_backoff = std::min(Milliseconds(draw(m_random)), m_settings.maxBackoff);
    m_trialAt = now + m_backoff;
}

} // namespace basilpoint
