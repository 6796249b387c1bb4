#pragma once

#include "basilpoint/Daemon/Filter.h"
#include "basilpoint/Support/Random.h"

namespace basilpoint {

/// Continues the caller's W3C trace, or starts one.
class TraceFilter final : public Filter {
public:
    explicit TraceFilter(RandomEngine&);

    void handle(RequestContext&, const Next& next) override;

private:
    RandomEngine& m_random;
};

} // namespace basilpoint
