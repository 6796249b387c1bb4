#pragma once

#include "basilpoint/Support/Clock.h"

#include <map>
#include <string>

namespace basilpoint {

/// Daemons that shut down cleanly and handed their knowledge of accounts over to this one.
class Handovers {
public:
    void record(const std::string& daemon, TimePoint now);

    /// A new lifetime of \p daemon has started and may change accounts.
    void lifetimeStarted(const std::string& daemon);

    /// Whether this daemon knows every change of the last lifetime of \p daemon, provided no new one has started.
    bool isValid(const std::string& daemon, TimePoint now) const;

private:
    std::map<std::string, TimePoint> m_recordedAt;
};

} // namespace basilpoint
