#include "RateLimitTracker.h"

#include "Forwarder.h"

#include "basilpoint/Support/ParseNumber.h"

#include <algorithm>
#include <fmt/format.h>

namespace basilpoint {

RateLimitTracker::RateLimitTracker(std::string self, NoticeController& notices, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_notices(notices)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_limits(std::move(self))
{
}

static NoticeSubject limitNotice(const std::string& lifetime, double perSecond)
{
    return { NoticeKind::LimitedTarget, fmt::format("{}={}", lifetime, perSecond) };
}

void RateLimitTracker::removeExhausted(std::vector<const Registration*>& targets, bool isFirstTurn)
{
    if (m_limits.isEmpty())
        return;
    bool areAllLimited = std::all_of(targets.begin(), targets.end(), [&](const Registration* it) { return m_limits.limitOf(lifetimeOf(*it)).has_value(); });
    auto precedence = isFirstTurn && areAllLimited ? RateLimits::Precedence::Low : RateLimits::Precedence::Usual;
    TimePoint now = m_clock.now();
    std::erase_if(targets, [&](const Registration* it) { return !m_limits.admits(lifetimeOf(*it), precedence, now); });
}

void RateLimitTracker::sent(const Registration& target)
{
    m_limits.sent(lifetimeOf(target), m_clock.now());
}

void RateLimitTracker::answered(const Registration& target, std::optional<double> perSecond, TimePoint sentAt)
{
    std::string lifetime = lifetimeOf(target);
    auto before = m_limits.limitOf(lifetime);
    if (!perSecond && !before)
        return;
    RateLimits::Change change = m_limits.answered(lifetime, perSecond, sentAt, m_clock.now());
    if (change == RateLimits::Change::None)
        return;
    auto after = m_limits.limitOf(lifetime);
    if (before != after) {
        m_metrics.count("target_limit_changes_total");
        m_log.write(LogLine("target-limit").field("target", target.id.text()).field("startedAt", target.startedAt).field("perSecond", after.value_or(0)));
    }
    if (before && before != after)
        m_notices.lift(limitNotice(lifetime, *before));
    if (after)
        m_notices.raise({ limitNotice(lifetime, *after) }, std::chrono::duration_cast<Milliseconds>(RateLimits::retention));
}

void RateLimitTracker::forget(const Registration& target)
{
    m_limits.lifted(lifetimeOf(target));
}

void RateLimitTracker::sweep()
{
    m_limits.sweep(m_clock.now(), [this](const std::string& lifetime, double perSecond) { return m_notices.inForce(limitNotice(lifetime, perSecond)); });
}

void RateLimitTracker::apply(const NoticeSubject& subject, bool inForce)
{
    auto separator = subject.text.rfind('=');
    auto perSecond = separator == std::string::npos ? std::nullopt : parseNumber<double>(std::string_view(subject.text).substr(separator + 1));
    if (!perSecond) {
        m_log.write(LogLine("notice-ignored").field("subject", subject.text));
        return;
    }
    std::string lifetime = subject.text.substr(0, separator);
    if (inForce)
        m_limits.limited(lifetime, *perSecond, m_clock.now());
    else if (m_limits.limitOf(lifetime) == perSecond)
        m_limits.lifted(lifetime);
}

} // namespace basilpoint
