#include "basilpoint/Fleet/NoticeGossip.h"

#include "Cbor.h"

#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace basilpoint {

static constexpr auto gossipPeriod = std::chrono::milliseconds(1'000);
static constexpr std::size_t fanOut = 3;
/// Ticks in which a change is sent to random peers.
static constexpr unsigned burstsPerChange = 2;
/// Limits the size of a message; other notices follow in later periods.
static constexpr std::size_t maxNotices = 128;
/// Periods after the start in which peers are asked for notices, since some of them may not answer.
static constexpr unsigned startPeriods = 3;
/// Lifted notices are kept this long, so that a peer's old copy does not put them into force again.
static constexpr auto liftedLifetime = std::chrono::minutes(10);
static constexpr auto messageName = "notice message";
/// Earlier releases refuse messages with kinds after this one, unless these stand apart from the others.
static constexpr auto lastJoinedKind = NoticeKind::CutOffDaemon;
/// Index of the notices of later kinds in a message.
static constexpr std::size_t laterKindsIndex = 4;

static Json toJson(const Notice& notice)
{
    return Json::array({ static_cast<unsigned>(notice.subject.kind), notice.subject.text, notice.revision, notice.lifted, notice.remaining.count() });
}

static Notice noticeFromJson(const Json& json)
{
    NoticeSubject subject { enumFromJson(json.at(0), NoticeKind::UnansweredRun, messageName), json.at(1).get<std::string>() };
    return { subject, json.at(2).get<std::uint64_t>(), json.at(3).get<bool>(), Milliseconds(json.at(4).get<Milliseconds::rep>()) };
}

std::string encodeNoticeMessage(const NoticeMessage& message)
{
    Json notices = Json::array();
    Json laterKinds = Json::array();
    for (const Notice& notice : message.notices)
        (notice.subject.kind > lastJoinedKind ? laterKinds : notices).push_back(toJson(notice));
    return toCbor(Json::array({ message.from.text(), message.summary, std::move(notices), message.reply, std::move(laterKinds) }));
}

// Kinds of later releases are passed over.
static void readLaterKinds(const Json& json, NoticeMessage& message)
{
    for (const Json& it : json)
        if (it.at(0).get<unsigned>() <= static_cast<unsigned>(NoticeKind::UnansweredRun))
            message.notices.push_back(noticeFromJson(it));
}

NoticeMessage decodeNoticeMessage(std::string_view bytes)
{
    return fromCbor(bytes, messageName, [](const Json& json) {
        NoticeMessage message { textIdFromJson<InstanceId>(json.at(0)), json.at(1).get<std::uint64_t>(), {}, json.at(3).get<bool>() };
        for (const Json& it : json.at(2))
            message.notices.push_back(noticeFromJson(it));
        if (json.size() > laterKindsIndex)
            readLaterKinds(json.at(laterKindsIndex), message);
        return message;
    });
}

void NoticeGossip::setPeers(std::vector<InstanceId> peers)
{
    std::erase(peers, m_self);
    if (m_peers.empty() && !peers.empty())
        m_startPeriodsLeft = startPeriods;
    m_peers = std::move(peers);
}

NoticeActions NoticeGossip::raise(const NoticeSubject& subject, Milliseconds lifetime, TimePoint now)
{
    NoticeActions actions;
    auto it = m_entries.find(subject);
    merge({ subject, it == m_entries.end() ? 1 : it->second.revision + 1, false, lifetime }, actions, now);
    return actions;
}

NoticeActions NoticeGossip::lift(const NoticeSubject& subject, TimePoint now)
{
    NoticeActions actions;
    auto it = m_entries.find(subject);
    if (it != m_entries.end())
        merge({ subject, it->second.revision + 1, true, liftedLifetime }, actions, now);
    return actions;
}

bool NoticeGossip::hasRoomFor(const NoticeSubject& subject) const
{
    switch (subject.kind) {
    case NoticeKind::SuspectedRequest:
        return m_entries.size() < maxEntries;
    case NoticeKind::UnansweredRun:
        return m_entries.size() < maxEntriesWithRuns;
    case NoticeKind::QuarantinedRequest:
    case NoticeKind::LeavingTarget:
    case NoticeKind::LimitedTarget:
    case NoticeKind::CutOffDaemon:
        return true;
    }
    assert(false && "unhandled enumerator");
    return true;
}

// A crash can leave many of these, which must not delay the notices that all daemons act on at once.
static bool isFrequent(const Notice& notice)
{
    return notice.subject.kind == NoticeKind::SuspectedRequest || notice.subject.kind == NoticeKind::UnansweredRun;
}

void NoticeGossip::merge(const Notice& notice, NoticeActions& actions, TimePoint now)
{
    if (notice.remaining <= Milliseconds::zero())
        return;
    if (!m_entries.contains(notice.subject) && !hasRoomFor(notice.subject))
        return;
    Entry& entry = m_entries[notice.subject];
    if (std::tie(notice.revision, notice.lifted) <= std::tie(entry.revision, entry.lifted))
        return;
    bool changed = entry.revision == 0 || entry.lifted != notice.lifted;
    entry = { notice.revision, notice.lifted, now + notice.remaining, burstsPerChange };
    if (changed)
        actions.emplace_back(NoticeChangedAction { notice });
}

NoticeActions NoticeGossip::received(const NoticeMessage& message, TimePoint now)
{
    NoticeActions actions;
    for (const Notice& notice : message.notices)
        merge(notice, actions, now);
    if (message.summary != summary() && !message.reply) {
        NoticeMessage answer = makeMessage(now, false);
        answer.reply = true;
        actions.emplace_back(SendNoticeAction { message.from, std::move(answer) });
    }
    return actions;
}

NoticeActions NoticeGossip::tick(TimePoint now)
{
    NoticeActions actions;
    std::erase_if(m_entries, [&](const auto& it) { return it.second.expiresAt <= now; });
    if (m_entries.size() >= maxEntriesWithRuns)
        std::erase_if(m_entries, [](const auto& it) { return it.second.lifted && it.first.kind == NoticeKind::UnansweredRun; });
    bool hasUnsentChanges = std::any_of(m_entries.begin(), m_entries.end(), [](const auto& it) { return it.second.burstsLeft > 0; });
    bool periodDue = now >= m_nextPeriod;
    if (periodDue)
        m_nextPeriod = now + gossipPeriod;
    bool isStarting = periodDue && m_startPeriodsLeft > 0;
    if (hasUnsentChanges || isStarting || (periodDue && !m_entries.empty())) {
        for (const InstanceId& peer : randomPeers(hasUnsentChanges || isStarting ? fanOut : 1))
            actions.emplace_back(SendNoticeAction { peer, makeMessage(now, true) });
    }
    if (isStarting)
        --m_startPeriodsLeft;
    for (auto& [subject, entry] : m_entries)
        entry.burstsLeft -= std::min(entry.burstsLeft, 1U);
    return actions;
}

bool NoticeGossip::inForce(const NoticeSubject& subject, TimePoint now) const
{
    auto it = m_entries.find(subject);
    return it != m_entries.end() && !it->second.lifted && now < it->second.expiresAt;
}

Notice NoticeGossip::toNotice(const NoticeSubject& subject, const Entry& entry, TimePoint now) const
{
    return { subject, entry.revision, entry.lifted, std::chrono::floor<Milliseconds>(entry.expiresAt - now) };
}

NoticeMessage NoticeGossip::makeMessage(TimePoint now, bool changesOnly)
{
    std::vector<Notice> notices;
    for (const auto& [subject, entry] : m_entries) {
        if (!changesOnly || entry.burstsLeft > 0)
            notices.push_back(toNotice(subject, entry, now));
    }
    NoticeMessage message { m_self, summary(), {}, false };
    // A new random order each time, so that all notices are sent within a few periods.
    std::shuffle(notices.begin(), notices.end(), m_random);
    std::stable_partition(notices.begin(), notices.end(), [](const Notice& it) { return !isFrequent(it); });
    notices.resize(std::min(notices.size(), maxNotices));
    message.notices = std::move(notices);
    return message;
}

std::uint64_t NoticeGossip::summary() const
{
    std::uint64_t sum = 0;
    for (const auto& [subject, entry] : m_entries)
        sum ^= hash64(subject.text, entry.revision * 4 + (entry.lifted ? 2 : 0) + static_cast<std::uint64_t>(subject.kind));
    return sum;
}

std::vector<InstanceId> NoticeGossip::randomPeers(std::size_t n)
{
    std::vector<InstanceId> drawn;
    std::sample(m_peers.begin(), m_peers.end(), std::back_inserter(drawn), n, m_random);
    return drawn;
}

} // namespace basilpoint
