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

RoomQueue::Rank RoomQueue::rankOf(const WaitingCall& call, TimePoint now) const
{
    const WaitClass& its = call.waitClass;
    bool isUrgent = now - call.arrivedAt >= maxWaitForUrgent;
    return { isUrgent ? 0 : its.organisationPriority, isUrgent ? 0 : its.routePriority, !its.isLaterTurn, m_shares.startTagOf(OperatorId(its.organisation)), call.programEnd, call.id };
}

std::optional<WaitingCallId> RoomQueue::first(TimePoint now) const
{
    std::optional<Rank> best;
    for (const auto& [id, call] : m_calls) {
        Rank rank = rankOf(call, now);
        if (!best || rank < *best)
            best = rank;
    }
    return best ? std::optional(best->id) : std::nullopt;
}

std::vector<WaitingCallId> RoomQueue::order(TimePoint now) const
{
    std::vector<Rank> ranks;
    ranks.reserve(m_calls.size());
    for (const auto& [id, call] : m_calls)
        ranks.push_back(rankOf(call, now));
    // The tags of one organisation's calls are equal so far, so this is the order among its own.
    std::sort(ranks.begin(), ranks.end());
    // Each call of an organisation starts after its calls before it.
    std::unordered_map<std::string, double> ahead;
    for (Rank& it : ranks) {
        const WaitingCall& call = m_calls.at(it.id);
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
    m_calls.insert_or_assign(call.id, call);
    if (m_calls.size() <= maxCalls)
        return std::nullopt;
    WaitingCallId last = order(now).back();
    m_calls.erase(last);
    return last;
}

void RoomQueue::placed(const std::string& organisation, double work)
{
    m_shares.dispatched(m_shares.addCall(OperatorId(organisation), work).startTag);
}

Milliseconds RoomQueue::longestWait(const WaitClass& waitClass, TimePoint now) const
{
    TimePoint earliest = now;
    for (const auto& [id, call] : m_calls)
        if (call.waitClass == waitClass)
            earliest = std::min(earliest, call.arrivedAt);
    return std::chrono::duration_cast<Milliseconds>(now - earliest);
}

} // namespace basilpoint
