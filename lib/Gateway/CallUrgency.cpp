#include "CallUrgency.h"

#include <algorithm>

namespace basilpoint {

// Engines use 5 for calls without an urgency.
static constexpr unsigned mostUrgentRouteLevel = 4;
static constexpr unsigned leastUrgentLevel = 9;
// With organisations, three priorities of organisations with three of routes each fill the levels from 1 to 9.
static constexpr unsigned mostUrgentOrganisationLevel = 1;
static constexpr unsigned leastUrgentPriority = 2;
static constexpr unsigned levelsPerOrganisation = leastUrgentPriority + 1;

unsigned urgencyOf(const ForwardingRoute& route, const Organisation* organisation, bool identifiesCallers)
{
    // Compared before the sum, which could overflow.
    if (!identifiesCallers)
        return mostUrgentRouteLevel + std::min(route.priority, leastUrgentLevel - mostUrgentRouteLevel);
    unsigned ofRoute = std::min(route.priority, leastUrgentPriority);
    // Without a priority of the organisation the route's is the only one known, so it takes the place of both.
    unsigned ofOrganisation = organisation && organisation->priority ? std::min(*organisation->priority, leastUrgentPriority) : ofRoute;
    return mostUrgentOrganisationLevel + levelsPerOrganisation * ofOrganisation + ofRoute;
}

} // namespace basilpoint
