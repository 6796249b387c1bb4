#include "basilpoint/Forwarding/RepetitionLimit.h"

#include "basilpoint/Support/Error.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace basilpoint {

static constexpr int hexadecimal = 16;
static constexpr char separator = '/';

std::string toText(const UnansweredRun& run)
{
    return fmt::format("{}{}{:016x}{}{}", run.request.text(), separator, run.id, separator, run.lifetime);
}

UnansweredRun parseUnansweredRun(std::string_view text)
{
    static constexpr auto allowed = "DIGEST/RUN/LIFETIME";
    auto first = text.find(separator);
    auto second = first == std::string_view::npos ? first : text.find(separator, first + 1);
    if (second == std::string_view::npos)
        throw InvalidInputError("run", std::string(text), allowed);
    UnansweredRun run { parseDigest(text.substr(0, first)), 0, std::string(text.substr(second + 1)) };
    std::string_view id = text.substr(first + 1, second - first - 1);
    auto [end, ec] = std::from_chars(id.data(), id.data() + id.size(), run.id, hexadecimal);
    if (ec != std::errc() || end != id.data() + id.size())
        throw InvalidInputError("run", std::string(text), allowed);
    return run;
}

RepetitionLimit::Verdict RepetitionLimit::verdictOn(const Digest& request) const
{
    auto it = m_runs.find(request);
    std::size_t ends = it == m_runs.end() ? 0 : endsOf(it->second);
    if (ends < toleratedEnds)
        return Verdict::Unlimited;
    return ends + repetitionsOf(it->second) < toleratedEnds + maxRepetitions ? Verdict::OneTarget : Verdict::Refused;
}

// While registrations cannot be read, a target that has ended and started again keeps the name of its last known lifetime.
std::size_t RepetitionLimit::endsOf(const Runs& runs)
{
    std::map<std::string_view, std::vector<TimePoint>> uncertain;
    std::set<std::string_view> lifetimes;
    for (const auto& [id, counted] : runs) {
        lifetimes.insert(counted.lifetime);
        if (!counted.isLifetimeCertain)
            uncertain[counted.lifetime].push_back(counted.countedAt);
    }
    std::size_t ends = lifetimes.size();
    for (auto& [lifetime, times] : uncertain) {
        std::sort(times.begin(), times.end());
        TimePoint last = times.front();
        for (TimePoint it : times)
            if (it - last >= minTimeBetweenEnds) {
                ++ends;
                last = it;
            }
    }
    return ends;
}

// Runs on a lifetime that counted before, sent after the request was limited. They may have ended further processes of the
// target, whose registrations show only the first of them yet.
std::size_t RepetitionLimit::repetitionsOf(const Runs& runs)
{
    std::map<std::string_view, std::vector<TimePoint>> counted;
    for (const auto& [id, run] : runs)
        if (run.isLifetimeCertain)
            counted[run.lifetime].push_back(run.countedAt);
    std::vector<TimePoint> ends;
    for (auto& [lifetime, times] : counted) {
        std::sort(times.begin(), times.end());
        ends.push_back(times.front());
    }
    std::sort(ends.begin(), ends.end());
    if (ends.size() < toleratedEnds)
        return 0;
    TimePoint limitedAt = ends[toleratedEnds - 1];
    std::size_t n = 0;
    for (const auto& [lifetime, times] : counted) {
        TimePoint last = times.front();
        for (TimePoint it : times)
            if (it > limitedAt && it - last >= minTimeBetweenEnds) {
                ++n;
                last = it;
            }
    }
    return n;
}

bool RepetitionLimit::isCounted(const Digest& request, std::uint64_t id) const
{
    auto it = m_runs.find(request);
    return it != m_runs.end() && it->second.contains(id);
}

std::vector<UnansweredRun> RepetitionLimit::limitedRuns() const
{
    std::vector<UnansweredRun> limited;
    for (const auto& [request, runs] : m_runs) {
        if (endsOf(runs) < toleratedEnds)
            continue;
        std::set<std::string_view> lifetimes;
        for (const auto& [id, counted] : runs)
            if (lifetimes.insert(counted.lifetime).second)
                limited.push_back({ request, id, counted.lifetime });
    }
    std::sort(limited.begin(), limited.end());
    return limited;
}

bool RepetitionLimit::hasOwnRun(const Digest& request) const
{
    auto it = m_runs.find(request);
    return it != m_runs.end() && std::any_of(it->second.begin(), it->second.end(), [](const auto& run) { return run.second.isOwn; });
}

// A request with unanswered runs counts as soon as it is sent again, so that gateways which get its next attempts at about
// the same time know of each other's.
void RepetitionLimit::sent(const UnansweredRun& run, TimePoint now)
{
    Running& running = m_running[run.id];
    running = { run, now };
    if (!m_runs.contains(run.request))
        return;
    running.isCounted = true;
    countAndReport(run, now, now);
}

void RepetitionLimit::located(std::uint64_t id, const std::string& lifetime)
{
    auto it = m_running.find(id);
    if (it != m_running.end())
        it->second.run.lifetime = lifetime;
}

void RepetitionLimit::heard(std::uint64_t id, TimePoint now)
{
    auto it = m_running.find(id);
    if (it != m_running.end())
        it->second.heardAt = now;
}

void RepetitionLimit::ended(std::uint64_t id, RunEnd end, TimePoint now)
{
    auto it = m_running.find(id);
    if (it == m_running.end())
        return;
    Running running = std::move(it->second);
    m_running.erase(it);
    switch (end) {
    case RunEnd::Answered:
        answered(running.run.request, now);
        return;
    case RunEnd::NotRun:
        clearAndReport(running.run);
        return;
    case RunEnd::EndedWithConnection:
        clearAndReport(running.run);
        [[fallthrough]];
    case RunEnd::ConnectionLost:
        addUncertain(std::move(running.run), end, running.heardAt, now);
        return;
    case RunEnd::Unanswered:
        if (!running.isCounted)
            countAndReport(running.run, running.heardAt, now);
        return;
    }
}

void RepetitionLimit::countAndReport(const UnansweredRun& run, TimePoint aliveAt, TimePoint now)
{
    if (wasAnswered(run.request) || isCounted(run.request, run.id))
        return;
    count(run, true, aliveAt, now);
    m_changes.unanswered.push_back(run);
}

void RepetitionLimit::countReported(const UnansweredRun& run, TimePoint now)
{
    // An answer shows that the request does not crash each target, whichever daemon has got it.
    if (wasAnswered(run.request)) {
        m_changes.cleared.push_back(run);
        return;
    }
    // Its daemon heard of the target until it counted the run, or until a silence before that.
    count(run, false, now - maxReportTime - maxSilence, now);
}

void RepetitionLimit::count(const UnansweredRun& run, bool isOwn, TimePoint aliveAt, TimePoint now)
{
    if (!m_runs[run.request].try_emplace(run.id, CountedRun { run.lifetime, now, aliveAt, isOwn, false, m_areRegistrationsKnown }).second)
        return;
    m_byLifetime[run.lifetime].emplace(run.request, run.id);
    ++m_size;
    m_order.emplace_back(run.request, run.id);
    while (m_size > maxRuns) {
        RunName oldest = m_order.front();
        m_order.pop_front();
        erase(oldest.first, oldest.second);
    }
}

// Another daemon may have got the answer or the sign of life.
void RepetitionLimit::clearReported(const UnansweredRun& run, TimePoint now)
{
    if (!isCounted(run.request, run.id))
        return;
    if (m_runs.at(run.request).at(run.id).isOwn)
        watchOn(run, now);
    erase(run.request, run.id);
}

void RepetitionLimit::watchOn(const UnansweredRun& run, TimePoint now)
{
    auto running = m_running.find(run.id);
    if (running != m_running.end()) {
        running->second.heardAt = now;
        running->second.isCounted = false;
        return;
    }
    addUncertain(run, RunEnd::Unanswered, now, now);
}

void RepetitionLimit::addUncertain(UnansweredRun run, RunEnd end, TimePoint aliveAt, TimePoint now)
{
    ++m_uncertainRuns[run.lifetime];
    m_uncertain.push_back({ std::move(run), end, now, aliveAt });
    if (m_uncertain.size() <= maxRuns)
        return;
    uncount(m_uncertain.front());
    m_uncertain.pop_front();
}

void RepetitionLimit::uncount(const Uncertain& run)
{
    auto runs = m_uncertainRuns.find(run.run.lifetime);
    if (--runs->second == 0)
        m_uncertainRuns.erase(runs);
}

template <typename Predicate>
void RepetitionLimit::eraseUncertain(Predicate predicate)
{
    std::erase_if(m_uncertain, [&](const Uncertain& it) {
        if (!predicate(it))
            return false;
        uncount(it);
        return true;
    });
}

void RepetitionLimit::erase(const Digest& request, std::uint64_t id)
{
    auto it = m_runs.find(request);
    auto run = it == m_runs.end() ? Runs::iterator() : it->second.find(id);
    if (it == m_runs.end() || run == it->second.end())
        return;
    auto names = m_byLifetime.find(run->second.lifetime);
    names->second.erase({ request, id });
    if (names->second.empty())
        m_byLifetime.erase(names);
    it->second.erase(run);
    --m_size;
    if (it->second.empty())
        m_runs.erase(it);
}

void RepetitionLimit::clearAndReport(const UnansweredRun& run)
{
    if (!isCounted(run.request, run.id))
        return;
    erase(run.request, run.id);
    m_changes.cleared.push_back(run);
}

void RepetitionLimit::answered(const Digest& request, TimePoint now)
{
    ++m_answers[request];
    m_answerOrder.emplace_back(now, request);
    auto it = m_runs.find(request);
    if (it != m_runs.end())
        for (const auto& [id, counted] : Runs(it->second))
            clearAndReport({ request, id, counted.lifetime });
    dropOldAnswers(now);
}

void RepetitionLimit::dropOldAnswers(TimePoint now)
{
    while (!m_answerOrder.empty() && (m_answerOrder.size() > maxAnswers || now - m_answerOrder.front().first > answerRetention)) {
        auto it = m_answers.find(m_answerOrder.front().second);
        if (it != m_answers.end() && --it->second == 0)
            m_answers.erase(it);
        m_answerOrder.pop_front();
    }
}

template <typename Predicate>
void RepetitionLimit::countUncertain(Predicate hasToCount, TimePoint now)
{
    eraseUncertain([&](const Uncertain& it) {
        if (!hasToCount(it))
            return false;
        countAndReport(it.run, it.aliveAt, now);
        return true;
    });
}

void RepetitionLimit::accept(Uncertain& uncertain)
{
    uncertain.isAccepted = true;
    clearAndReport(uncertain.run);
}

// The next process of a target that is restarted at once accepts connections too. A request that has ended targets before
// does not get the benefit of the doubt.
void RepetitionLimit::accepted(const std::string& lifetime, TimePoint since)
{
    if (!m_uncertainRuns.contains(lifetime))
        return;
    for (Uncertain& it : m_uncertain)
        if (it.run.lifetime == lifetime && it.endedAt <= since && !isLimited(it.run.request))
            accept(it);
}

// An address has one process at a time, and a connection one at each end. So the process that has answered is the one that got
// the run, if the connection is older than the last sign of that one.
void RepetitionLimit::targetAnswered(const std::string& lifetime, TimePoint connectedAt, TimePoint since, TimePoint now)
{
    if (m_uncertainRuns.contains(lifetime))
        for (Uncertain& it : m_uncertain)
            if (it.run.lifetime == lifetime && it.endedAt <= since && connectedAt <= it.aliveAt)
                accept(it);
    auto found = m_byLifetime.find(lifetime);
    if (found == m_byLifetime.end())
        return;
    for (const auto& [request, id] : std::set<RunName>(found->second)) {
        const CountedRun& counted = m_runs.at(request).at(id);
        // A run that another daemon reported counts from the report on, which came after the run had ended or fallen silent.
        if (counted.countedAt > since || connectedAt > counted.aliveAt)
            continue;
        // The target may end yet under a run that has not ended, which only its own daemon knows.
        if (isLimited(request) && (!counted.isOwn || m_running.contains(id)))
            continue;
        UnansweredRun run { request, id, lifetime };
        if (counted.isOwn)
            watchOn(run, now);
        clearAndReport(run);
    }
}

void RepetitionLimit::targetEnded(const std::string& lifetime, TimePoint now)
{
    countUncertain([&](const Uncertain& it) { return it.run.lifetime == lifetime; }, now);
    for (auto& [id, running] : m_running)
        if (running.run.lifetime == lifetime && !std::exchange(running.isCounted, true))
            countAndReport(running.run, running.heardAt, now);
}

bool RepetitionLimit::CountedRun::isExpired(TimePoint now) const
{
    return now - countedAt > (hasTargetEnded ? TimePoint::duration(endedRetention) : TimePoint::duration(retention));
}

void RepetitionLimit::sweep(TimePoint now, const std::function<TargetFate(const std::string& lifetime)>& fateOf)
{
    dropOldAnswers(now);
    auto isOld = [now](const Uncertain& it) { return now - it.endedAt > survivalTime; };
    countUncertain([&](const Uncertain& it) { return isOld(it) && it.end == RunEnd::ConnectionLost && fateOf(it.run.lifetime) != TargetFate::Alive; }, now);
    eraseUncertain(isOld);
    std::erase_if(m_order, [&](const auto& it) { return !isCounted(it.first, it.second); });
    for (const auto& [request, id] : m_order) {
        // A run that counts again after it was cleared is in the list twice.
        if (!isCounted(request, id))
            continue;
        CountedRun& counted = m_runs.at(request).at(id);
        if (counted.isExpired(now)) {
            erase(request, id);
            continue;
        }
        if (now - counted.countedAt <= survivalTime || counted.hasTargetEnded || m_running.contains(id))
            continue;
        UnansweredRun run { request, id, counted.lifetime };
        bool isOwn = counted.isOwn;
        switch (fateOf(run.lifetime)) {
        case TargetFate::Alive:
            erase(request, id);
            if (isOwn)
                m_changes.cleared.push_back(std::move(run));
            break;
        case TargetFate::Ended:
            counted.hasTargetEnded = true;
            if (isOwn)
                m_changes.ended.push_back(std::move(run));
            break;
        case TargetFate::Unknown:
            break;
        }
    }
}

RepetitionLimit::Changes RepetitionLimit::takeChanges(TimePoint now)
{
    countUncertain([now](const Uncertain& it) { return it.end == RunEnd::ConnectionLost && !it.isAccepted && now - it.endedAt >= maxProbeTime; }, now);
    for (auto& [id, running] : m_running)
        if (now - running.heardAt >= maxSilence && !std::exchange(running.isCounted, true))
            countAndReport(running.run, running.heardAt, now);
    return std::exchange(m_changes, {});
}

} // namespace basilpoint
