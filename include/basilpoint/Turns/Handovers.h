#pragma once

#include "basilpoint/Support/Clock.h"

#include <map>
#include <string>

namespace basilpoint {

/// Daemons that stopped as planned and told this one all that they knew of accounts.
class Handovers {
public:
    void record(const std::string& daemon, TimePoint now);

    /// A new lifetime of \p daemon has begun to change accounts.
    void lifetimeStarted(const std::string& daemon);

    /// Whether nothing of the last lifetime of \p daemon is missing here, if no other has begun since.
    bool isValid(const std::string& daemon, TimePoint now) const;

private:
    std::map<std::string, TimePoint> m_recordedAt;
};

} // namespace basilpoint
