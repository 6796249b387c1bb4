#include "PaceTracker.h"

#include "basilpoint/Support/ParseNumber.h"

#include <fmt/format.h>

namespace basilpoint {

// A pace that this gateway's calls agree with is raised again when it has less than this left. The first gateway that does so
// spares the others.
static constexpr Milliseconds confirmationLead { 120'000 };

PaceTracker::PaceTracker(TargetSelector& selector, NoticeController& notices, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_notices(notices)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_selector(selector)
    , m_paces(selector.paces())
{
}

static NoticeSubject paceNotice(const TargetId& id, std::int64_t startedAt, int step)
{
    return { NoticeKind::TargetPace, fmt::format("{}/{}={:.3f}", id.text(), startedAt, TargetPaces::ratioOf(step)) };
}

void PaceTracker::ended(const Registration& target, const StreamTiming& timing)
{
    TimePoint now = m_clock.now();
    m_selector.recordStream(target, timing, now);
    if (auto announcement = m_paces.takeAnnouncement(target, now)) {
        int before = m_paces.stepOf(target);
        for (int it : announcement->replaced)
            m_notices.lift(paceNotice(target.id, target.startedAt, it));
        // The average needs no notice.
        if (announcement->step != 0)
            m_notices.raise({ paceNotice(target.id, target.startedAt, announcement->step) }, TargetPaces::lifetime);
        m_metrics.count("target_pace_changes_total");
        m_log.write(LogLine("target-pace").field("target", target.id.text()).field("startedAt", target.startedAt).field("before", TargetPaces::ratioOf(before)).field("ratio", TargetPaces::ratioOf(announcement->step)));
        return;
    }
    NoticeSubject inForce = paceNotice(target.id, target.startedAt, m_paces.stepOf(target));
    if (m_paces.confirms(target, now) && m_notices.remaining(inForce) < confirmationLead)
        m_notices.raise({ inForce }, TargetPaces::lifetime);
}

void PaceTracker::apply(const NoticeSubject& subject, bool inForce)
{
    auto equals = subject.text.rfind('=');
    auto slash = subject.text.rfind('/', equals);
    auto ratio = equals == std::string::npos ? std::nullopt : parseNumber<double>(std::string_view(subject.text).substr(equals + 1));
    auto startedAt = slash == std::string::npos || !ratio ? std::nullopt : parseNumber<std::int64_t>(std::string_view(subject.text).substr(slash + 1, equals - slash - 1));
    if (!startedAt || !(*ratio > 0)) {
        m_log.write(LogLine("notice-ignored").field("subject", subject.text));
        return;
    }
    m_paces.apply(TargetId(subject.text.substr(0, slash)), *startedAt, TargetPaces::stepOf(*ratio), inForce);
}

void PaceTracker::forget(const Registration& target)
{
    m_paces.forget(target.id, target.startedAt);
}

void PaceTracker::sweep()
{
    m_paces.sweep(m_clock.now(), [this](const TargetId& id, std::int64_t startedAt, int step) { return m_notices.inForce(paceNotice(id, startedAt, step)); });
}

} // namespace basilpoint
