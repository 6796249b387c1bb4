#pragma once

namespace basilpoint::bench {

/// Mean processor time of one submit and one end of a call, in microseconds.
double decisionMicroseconds(unsigned replicas);

} // namespace basilpoint::bench
