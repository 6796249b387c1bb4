#pragma once

#include "basilpoint/Forwarding/RouteTable.h"

namespace basilpoint {

/// Urgency of a call for engines: 0 is the most urgent, 9 the least.
/// \param organisation of the caller; null if there is none.
/// \param identifiesCallers whether the configuration has organisations.
unsigned urgencyOf(const ForwardingRoute&, const Organisation* organisation, bool identifiesCallers);

} // namespace basilpoint
