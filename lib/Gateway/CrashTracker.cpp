#include "CrashTracker.h"

#include "Forwarder.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Error.h"

#include <charconv>
#include <fmt/format.h>

namespace basilpoint {

// A process that has ended refuses a connection within a round trip. A target that is cut off does not answer.
static constexpr Milliseconds probeTimeout { 150 };
// Other targets that are asked whether this gateway reaches any.
static constexpr std::size_t maxWitnesses = 3;
// Suspects are not isolated from other calls, so a sound call can be lost together with a crashing one repeatedly.
static constexpr unsigned crashesToQuarantine = 3;
static constexpr std::size_t maxSuspects = 4'000;
static constexpr Milliseconds suspicionLifetime = Quarantine::suspicionLifetime;
static constexpr int hexadecimal = 16;

static QuarantineSettings quarantineSettings()
{
    QuarantineSettings settings;
    settings.crashes = crashesToQuarantine;
    settings.sparesKnownGood = true;
    settings.maxSuspects = maxSuspects;
    return settings;
}

CrashTracker::CrashTracker(HttpClient& targets, const TargetDirectory& directory, NoticeController& notices, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_targets(targets)
    , m_directory(directory)
    , m_notices(notices)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_quarantine(quarantineSettings())
{
}

// The crash is part of the subject, so that several gateways that lost copies of a request with one target report it once.
static NoticeSubject suspectNotice(const Digest& content, LifetimeId crash)
{
    return { NoticeKind::SuspectedRequest, fmt::format("{}/{:016x}", content.text(), crash) };
}

static std::optional<LifetimeId> crashIn(std::string_view text)
{
    LifetimeId crash = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), crash, hexadecimal);
    return ec == std::errc() && end == text.data() + text.size() ? std::optional(crash) : std::nullopt;
}

bool CrashTracker::mayDispatch(const Digest& content) const
{
    switch (m_quarantine.statusOf(content)) {
    case Quarantine::Status::Clear:
        return true;
    case Quarantine::Status::Suspect:
        return m_quarantine.mayDispatch(content);
    case Quarantine::Status::Quarantined:
        return false;
    }
    assert(false && "unhandled enumerator");
    return false;
}

void CrashTracker::ended(const Digest& content, bool isAnswered)
{
    std::vector<LifetimeId> crashes = isAnswered ? m_quarantine.crashesOf(content) : std::vector<LifetimeId>();
    m_quarantine.ended(content, isAnswered, m_clock.now());
    if (crashes.empty())
        return;
    m_log.write(LogLine("request-cleared").field("content", content.text()).field("crashes", crashes.size()));
    for (LifetimeId it : crashes)
        m_notices.lift(suspectNotice(content, it));
}

void CrashTracker::connectionLost(const Registration& target, const Digest& content)
{
    m_lost.add(lifetimeOf(target), content, m_clock.now());
    spawnFiber([this, target] { probe(target); });
}

// A process that restarts at once accepts the connection; its next registration then shows that the first one ended.
void CrashTracker::probe(const Registration& target)
{
    std::string lifetime = lifetimeOf(target);
    if (m_probes.join(lifetime))
        return;
    m_probes.run(lifetime, [&] {
        TimePoint since = m_clock.now();
        auto failure = m_targets.probe(target.endpoint, probeTimeout);
        m_log.write(LogLine("target-probed").field("target", target.id.text()).field("startedAt", target.startedAt).field("failure", failure ? toString(*failure) : ""));
        if (!failure && m_onAccepted)
            m_onAccepted(target, since);
        if (failure == TargetFailure::ConnectionRefused && reachesOthers(target))
            targetEnded(target);
    });
}

// A gateway that is cut off may be refused by all targets, none of which has ended.
bool CrashTracker::reachesOthers(const Registration& target)
{
    for (const Registration& it : m_directory.othersThan(target.id, maxWitnesses))
        if (!m_targets.probe(it.endpoint, probeTimeout))
            return true;
    m_log.write(LogLine("target-end-not-confirmed").field("target", target.id.text()).field("startedAt", target.startedAt));
    return false;
}

void CrashTracker::targetEnded(const Registration& target)
{
    std::vector<Digest> contents = m_lost.take(lifetimeOf(target), m_clock.now());
    if (contents.empty())
        return;
    m_metrics.count("targets_lost_with_calls_total");
    m_log.write(LogLine("target-ended").field("target", target.id.text()).field("startedAt", target.startedAt).field("requests", contents.size()));
    LifetimeId crash = hash64(lifetimeOf(target));
    std::vector<NoticeSubject> subjects;
    for (const Digest& it : contents)
        if (m_quarantine.statusOf(it) != Quarantine::Status::Quarantined)
            subjects.push_back(suspectNotice(it, crash));
    m_notices.raise(subjects, suspicionLifetime);
}

void CrashTracker::apply(const NoticeSubject& subject, bool inForce)
{
    std::string_view text = subject.text;
    auto separator = std::min(text.find('/'), text.size());
    Digest content;
    try {
        content = parseDigest(text.substr(0, separator));
    } catch (const InvalidInputError& error) {
        m_log.write(LogLine("notice-ignored").field("subject", text).field("reason", error.what()));
        return;
    }
    auto crash = crashIn(text.substr(std::min(separator + 1, text.size())));
    Quarantine::Status before = m_quarantine.statusOf(content);
    TimePoint now = m_clock.now();
    if (subject.kind == NoticeKind::QuarantinedRequest && inForce)
        m_quarantine.quarantine(content, now);
    else if (subject.kind == NoticeKind::QuarantinedRequest)
        m_quarantine.lift(content);
    else if (inForce)
        m_quarantine.suspect(content, crash, now);
    else if (crash)
        m_quarantine.withdraw(content, *crash);
    note(before, content);
}

void CrashTracker::note(Quarantine::Status before, const Digest& content)
{
    Quarantine::Status status = m_quarantine.statusOf(content);
    if (status == before)
        return;
    switch (status) {
    case Quarantine::Status::Clear:
        m_log.write(LogLine("request-no-longer-suspected").field("content", content.text()));
        return;
    case Quarantine::Status::Suspect:
        m_metrics.count("requests_suspected_total");
        m_log.write(LogLine("request-suspected").field("content", content.text()));
        return;
    case Quarantine::Status::Quarantined:
        m_metrics.count("requests_quarantined_total");
        m_log.write(LogLine("request-quarantined").field("content", content.text()));
        if (!m_notices.inForce({ NoticeKind::QuarantinedRequest, content.text() }))
            m_notices.raise({ NoticeKind::QuarantinedRequest, content.text() });
        return;
    }
    assert(false && "unhandled enumerator");
}

} // namespace basilpoint
