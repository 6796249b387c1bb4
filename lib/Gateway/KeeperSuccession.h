#pragma once

#include "basilpoint/Support/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace basilpoint {

/// Detects keepers of this data centre that are gone for good and must be replaced by this one.
///
/// A keeper that is gone but still listed counts towards the answers needed to be certain that an entry does not
/// exist, so it has to be removed from the list.
class KeeperSuccession {
public:
    void answered(const std::string& keeper) { m_silentSince.erase(keeper); }
    void failed(const std::string& keeper, TimePoint now) { m_silentSince.try_emplace(keeper, now); }

    /// Keepers that have not answered for \ref silenceLimit.
    std::vector<std::string> gone(TimePoint now) const;

    /// Longer than a restart, but within the time that a deployment allows for replacing a keeper before the next one
    /// may be lost.
    static constexpr Milliseconds silenceLimit { 3'000 };

private:
    std::map<std::string, TimePoint> m_silentSince;
};

} // namespace basilpoint
