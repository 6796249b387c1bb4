#pragma once

#include "MemberTable.h"

#include <deque>
#include <set>

namespace basilpoint {

/// Dead members and unknown addresses to contact in addition to the probe round, so that the sides of a healed network
/// partition find each other again.
class ContactList {
public:
    struct Contact {
        /// Empty if no member with the address is known.
        InstanceId id;
        Endpoint address;
    };

    /// Addresses of the platform's list.
    void setListed(const std::vector<Endpoint>& peers) { m_listed = { peers.begin(), peers.end() }; }

    /// Adds a member that is dead here but that another daemon reports as running.
    void addContradicted(const InstanceId& id);

    /// Takes a few contradicted members. The caller pings them, so that they can refute the report of their failure.
    std::vector<InstanceId> takeContradicted();

    /// \returns a random listed address of no known member; if there is none, a dead member in every \p deadPeriods th call.
    std::optional<Contact> next(const MemberTable&, const Endpoint& self, unsigned deadPeriods, RandomEngine&);

private:
    std::set<Endpoint> m_listed;
    std::set<InstanceId> m_contradicted;
    std::deque<InstanceId> m_contradictedOrder;
    unsigned m_periods = 0;
};

} // namespace basilpoint
