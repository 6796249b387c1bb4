#pragma once

namespace basilpoint::bench {

/// Mean time of the scheduler for one submitted and one ended call, in microseconds.
double decisionMicroseconds(unsigned replicas);

} // namespace basilpoint::bench
