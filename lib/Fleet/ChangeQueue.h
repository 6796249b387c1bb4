#pragma once

#include "basilpoint/Fleet/Membership.h"

#include <map>
#include <set>

namespace basilpoint {

/// Queue of member changes to piggyback on messages, each a limited number of times.
class ChangeQueue {
public:
    /// Queues the member's state, and restarts its count of transmissions.
    void push(const InstanceId& id) { m_sent[id] = 0; }

    /// Queues the member's state and schedules bursts, for changes that other daemons act on.
    void pushUrgent(const InstanceId&);

    /// \returns whether a burst is due. The caller then sends changes to a few random members.
    bool takeBurst(TimePoint now);

    /// Takes the members that were sent least often, as many as fit into \p budgetBytes.
    /// \p find returns the current record of a member, or null if it has been forgotten.
    template <typename Find>
    std::vector<MemberInfo> take(std::size_t budgetBytes, unsigned maxTransmissions, const Find& find)
    {
        std::vector<MemberInfo> taken;
        for (const InstanceId& id : leastSent()) {
            const MemberInfo* member = find(id);
            if (member && encodedBytes(*member) > budgetBytes)
                break;
            if (member) {
                budgetBytes -= encodedBytes(*member);
                taken.push_back(*member);
            }
            if (!member || ++m_sent[id] >= maxTransmissions)
                m_sent.erase(id);
        }
        return taken;
    }

private:
    std::vector<InstanceId> leastSent() const;
    static std::size_t encodedBytes(const MemberInfo&);

    std::map<InstanceId, unsigned> m_sent;
    /// Members whose changes the next bursts carry.
    std::set<InstanceId> m_urgent;
    unsigned m_burstsLeft = 0;
    TimePoint m_nextBurst;
};

} // namespace basilpoint
