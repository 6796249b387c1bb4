#pragma once

#include "MemberTable.h"

#include <deque>
#include <set>

namespace basilpoint {

/// Members and addresses beside the probe round that are worth trying, so that parts of a fleet that
/// were apart find each other again.
class ContactList {
public:
    struct Contact {
        /// Empty if nobody is known at the address.
        InstanceId id;
        Endpoint address;
    };

    /// Addresses of the platform's list.
    void setListed(const std::vector<Endpoint>& peers) { m_listed = { peers.begin(), peers.end() }; }

    /// Others say that \p id lives, which is dead here.
    void addContradicted(const InstanceId& id);

    /// The next few contradicted members; they are to be told, so that they can refute.
    std::vector<InstanceId> takeContradicted();

    /// A listed address where nobody is known; else, every \p deadPeriods calls, a dead member.
    std::optional<Contact> next(const MemberTable&, const Endpoint& self, unsigned deadPeriods, RandomEngine&);

private:
    std::set<Endpoint> m_listed;
    std::set<InstanceId> m_contradicted;
    std::deque<InstanceId> m_contradictedOrder;
    unsigned m_periods = 0;
};

} // namespace basilpoint
