#pragma once

#include "basilpoint/Support/Random.h"

#include <vector>

namespace basilpoint::test {

/// What disturbs a deployment.
enum class Disturbances {
    Faults,
    /// Faults, and cuts between gateways and targets; there are no keepers then.
    FaultsAndCuts,
    /// Stops, signals and changes of the configuration only, beside a store that is slow at times.
    PlannedWork,
    /// As above, with so many gateways that they ask the keepers only where the store takes long.
    PlannedWorkOnManyGateways,
};

/// Disturbs a new deployment for 14 s a seed, and reports each broken promise to callers as an error of the test.
///
/// BASILPOINT_SOAK_SEED runs one other seed instead; every third seed gives the gateways few descriptors.
void soak(std::vector<RandomEngine::result_type> seeds, Disturbances);

} // namespace basilpoint::test
