#pragma once

#include "basilpoint/Fleet/Membership.h"

#include <map>
#include <set>

namespace basilpoint {

/// Members whose changes are passed on with messages, each a limited number of times.
class ChangeQueue {
public:
    /// Passes \p id on anew.
    void push(const InstanceId& id) { m_sent[id] = 0; }

    /// Passes \p id on by bursts as well, as others are to act on it soon.
    void pushUrgent(const InstanceId&);

    /// Whether a burst is due; the caller sends changes to a few random members then.
    bool takeBurst(TimePoint now);

    /// Picks members that were passed on least often, as many as fit into \p budgetBytes.
    /// \p find returns what is known of a member, or null if it is forgotten.
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
    /// Members that the next bursts are about.
    std::set<InstanceId> m_urgent;
    unsigned m_burstsLeft = 0;
    TimePoint m_nextBurst;
};

} // namespace basilpoint
