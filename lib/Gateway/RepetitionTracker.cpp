#include "RepetitionTracker.h"

#include "Forwarder.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Error.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

// How long the other gateways do not know of a run that has ended here.
static constexpr Milliseconds tickInterval { 100 };
static constexpr Milliseconds sweepInterval { 1'000 };
static constexpr Milliseconds saveInterval { 300 };
// Bounds the stored record. Few requests are limited at a time.
static constexpr std::size_t maxStoredRuns = 300;

RepetitionTracker::RepetitionTracker(const TargetDirectory& directory, NoticeController& notices, RandomEngine::result_type seed, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_directory(directory)
    , m_notices(notices)
    , m_random(seed)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
{
}

void RepetitionTracker::start()
{
    spawnFiber([this] {
        for (;; sleepFiber(tickInterval))
            tick();
    });
    spawnFiber([this] {
        for (;; sleepFiber(sweepInterval))
            m_limit.sweep(m_clock.now(), [this](const std::string& lifetime) { return fateOf(lifetime); });
    });
    spawnFiber([this] {
        for (;; sleepFiber(saveInterval))
            save();
    });
}

void RepetitionTracker::load(const std::string& runs)
{
    if (std::exchange(m_isLoaded, true) || runs.empty())
        return;
    auto json = nlohmann::json::parse(runs, nullptr, false);
    if (!json.is_array()) {
        m_log.write(LogLine("stored-runs-unreadable").field("bytes", runs.size()));
        return;
    }
    for (const auto& it : json)
        if (it.is_string())
            apply({ NoticeKind::UnansweredRun, it.get<std::string>() }, true);
    m_log.write(LogLine("stored-runs-loaded").field("runs", m_limit.size()));
}

// Each gateway writes what it knows of all, which is nearly the same at each.
void RepetitionTracker::save()
{
    if (!m_onSave || !m_isLoaded || !std::exchange(m_hasUnsaved, false))
        return;
    std::vector<UnansweredRun> runs = m_limit.limitedRuns();
    auto json = nlohmann::json::array();
    for (std::size_t n = 0; n < std::min(runs.size(), maxStoredRuns); ++n)
        json.push_back(toText(runs[n]));
    std::string text = json.dump();
    if (text == m_saved || (m_saved.empty() && runs.empty()))
        return;
    if (m_onSave(text))
        m_saved = std::move(text);
    else
        m_hasUnsaved = true;
}

std::uint64_t RepetitionTracker::sent(const Digest& request, const std::string& lifetime)
{
    UnansweredRun run { request, m_random(), lifetime };
    m_limit.sent(run, m_clock.now());
    return run.id;
}

// A process that has been restarted at once accepts connections too, which only its registration shows.
void RepetitionTracker::accepted(const Registration& target, TimePoint since)
{
    if (m_directory.sourceKnownSince() <= m_clock.now())
        m_limit.accepted(lifetimeOf(target), since);
}

// Without start times, the next lifetime of a target could not be told from the one that a run has ended.
void RepetitionTracker::targetAnswered(const Registration& target, TimePoint connectedAt, TimePoint since)
{
    if (target.startedAt != 0 && m_directory.sourceKnownSince() <= m_clock.now())
        m_limit.targetAnswered(lifetimeOf(target), connectedAt, since, m_clock.now());
}

void RepetitionTracker::targetEnded(const Registration& target)
{
    m_limit.targetEnded(lifetimeOf(target), m_clock.now());
}

// Registrations neither expire nor change while their source is away, and are renewed only some time after it.
RepetitionLimit::TargetFate RepetitionTracker::fateOf(const std::string& lifetime) const
{
    TimePoint knownSince = m_directory.sourceKnownSince();
    if (lifetime.empty() || knownSince > m_clock.now() - RepetitionLimit::survivalTime)
        return RepetitionLimit::TargetFate::Unknown;
    const Registration* target = m_directory.find(TargetId(lifetime.substr(0, lifetime.rfind('/'))));
    return target && lifetimeOf(*target) == lifetime ? RepetitionLimit::TargetFate::Alive : RepetitionLimit::TargetFate::Ended;
}

static NoticeSubject noticeOf(const UnansweredRun& run)
{
    return { NoticeKind::UnansweredRun, toText(run) };
}

static std::vector<NoticeSubject> noticesOf(const std::vector<UnansweredRun>& runs)
{
    std::vector<NoticeSubject> subjects;
    subjects.reserve(runs.size());
    for (const UnansweredRun& it : runs)
        subjects.push_back(noticeOf(it));
    return subjects;
}

void RepetitionTracker::tick()
{
    m_limit.setRegistrationsKnown(m_directory.sourceKnownSince() <= m_clock.now());
    RepetitionLimit::Changes changes = m_limit.takeChanges(m_clock.now());
    m_hasUnsaved = m_hasUnsaved || !changes.unanswered.empty() || !changes.cleared.empty();
    for (const UnansweredRun& it : changes.unanswered) {
        m_metrics.count("unanswered_runs_total");
        m_log.write(LogLine("run-unanswered").field("repetition", it.request.text()).field("lifetime", it.lifetime));
    }
    if (!changes.unanswered.empty())
        m_notices.raise(noticesOf(changes.unanswered), RepetitionLimit::retention);
    if (!changes.ended.empty())
        m_notices.raise(noticesOf(changes.ended), RepetitionLimit::endedRetention);
    for (const UnansweredRun& it : changes.cleared)
        m_notices.lift(noticeOf(it));
}

void RepetitionTracker::apply(const NoticeSubject& subject, bool inForce)
{
    try {
        UnansweredRun run = parseUnansweredRun(subject.text);
        Verdict before = m_limit.verdictOn(run.request);
        if (inForce)
            m_limit.countReported(run, m_clock.now());
        else
            m_limit.clearReported(run, m_clock.now());
        m_hasUnsaved = m_hasUnsaved || m_limit.hasOwnRun(run.request);
        Verdict after = m_limit.verdictOn(run.request);
        if (after == before || (after != Verdict::Refused && before != Verdict::Refused))
            return;
        m_metrics.count(after == Verdict::Refused ? "repetitions_refused_total" : "repetitions_admitted_total");
        m_log.write(LogLine("repetition-limit").field("repetition", run.request.text()).field("refused", after == Verdict::Refused));
    } catch (const InvalidInputError& error) {
        m_log.write(LogLine("notice-ignored").field("subject", subject.text).field("reason", error.what()));
    }
}

} // namespace basilpoint
