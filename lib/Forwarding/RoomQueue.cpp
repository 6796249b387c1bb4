#include "basilpoint/Forwarding/RoomQueue.h"

#include <algorithm>
#include <unordered_map>

namespace basilpoint {

struct RoomQueue::Rank {
    unsigned organisationPriority;
    unsigned routePriority;
    bool isFirstTurn;
    /// Virtual start time of the organisation's next call.
    double startTag;
    TimePoint programEnd;
    WaitingCallId id;

    auto operator<=>(const Rank&) const = default;
};

void RoomQueue::readTags() const
{
    for (auto& [name, share] : m_organisations)
        share.startTag = m_shares.startTagOf(share.organisation);
}

RoomQueue::Rank RoomQueue::rankOf(const Entry& entry, TimePoint now)
{
    const WaitClass& its = entry.call.waitClass;
    // After a while a first turn is no less urgent than a later one either.
    bool isUrgent = now - entry.call.arrivedAt >= maxWaitForUrgent;
    return { isUrgent ? 0 : its.organisationPriority, isUrgent ? 0 : its.routePriority, !its.isLaterTurn && !isUrgent, entry.share->startTag, entry.call.programEnd, entry.call.id };
}

std::optional<WaitingCallId> RoomQueue::first(TimePoint now) const
{
    readTags();
    std::optional<Rank> best;
    for (const auto& [id, entry] : m_calls) {
        Rank rank = rankOf(entry, now);
        if (!best || rank < *best)
            best = rank;
    }
    return best ? std::optional(best->id) : std::nullopt;
}

bool RoomQueue::erase(WaitingCallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return false;
    auto share = m_organisations.find(it->second.call.waitClass.organisation);
    if (--share->second.waiting == 0)
        m_organisations.erase(share);
    m_calls.erase(it);
    return true;
}

std::vector<WaitingCallId> RoomQueue::order(TimePoint now) const
{
    readTags();
    std::vector<Rank> ranks;
    ranks.reserve(m_calls.size());
    for (const auto& [id, entry] : m_calls)
        ranks.push_back(rankOf(entry, now));
    // The tags of one organisation's calls are equal so far, so this is the order among its own.
    std::sort(ranks.begin(), ranks.end());
    // Each call of an organisation starts after its calls before it.
    std::unordered_map<std::string, double> ahead;
    for (Rank& it : ranks) {
        const WaitingCall& call = m_calls.at(it.id).call;
        double& work = ahead[call.waitClass.organisation];
        it.startTag += work;
        work += call.work;
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<WaitingCallId> ids;
    ids.reserve(ranks.size());
    for (const Rank& it : ranks)
        ids.push_back(it.id);
    return ids;
}

std::optional<WaitingCallId> RoomQueue::push(const WaitingCall& call, TimePoint now)
{
    erase(call.id);
    const std::string& organisation = call.waitClass.organisation;
    Share& share = m_organisations.try_emplace(organisation, Share { OperatorId(organisation) }).first->second;
    ++share.waiting;
    m_calls.emplace(call.id, Entry { call, &share });
    if (m_calls.size() <= maxCalls)
        return std::nullopt;
    WaitingCallId last = order(now).back();
    erase(last);
    return last;
}

void RoomQueue::placed(const std::string& organisation, double work)
{
    // Virtual time does not pass an organisation that waits: later turns of another one precede its first turns, and would
    // otherwise cancel what it is owed for them.
    double limit = m_shares.addCall(OperatorId(organisation), work).startTag;
    for (const auto& [name, share] : m_organisations)
        limit = std::min(limit, m_shares.startTagOf(share.organisation));
    m_shares.dispatched(limit);
}

Milliseconds RoomQueue::longestWait(const WaitClass& waitClass, TimePoint now) const
{
    TimePoint earliest = now;
    for (const auto& [id, entry] : m_calls)
        if (entry.call.arrivedAt < earliest && entry.call.waitClass == waitClass)
            earliest = entry.call.arrivedAt;
    return std::chrono::duration_cast<Milliseconds>(now - earliest);
}

} // namespace basilpoint
