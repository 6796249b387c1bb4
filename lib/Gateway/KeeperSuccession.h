#pragma once

#include "basilpoint/Support/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace basilpoint {

/// Tells which keepers of this data centre are gone for good, so that this one has taken their place.
///
/// A keeper that is gone but stands in the list must answer, in the count, before an absence is certain.
class KeeperSuccession {
public:
    void answered(const std::string& keeper) { m_silentSince.erase(keeper); }
    void failed(const std::string& keeper, TimePoint now) { m_silentSince.try_emplace(keeper, now); }

    /// Keepers that have not answered for long enough.
    std::vector<std::string> gone(TimePoint now) const;

    /// Longer than a restart; within the time that a deployment gives a new keeper before the next one may be lost.
    static constexpr Milliseconds silenceLimit { 3'000 };

private:
    std::map<std::string, TimePoint> m_silentSince;
};

} // namespace basilpoint
