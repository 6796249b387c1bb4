#pragma once

#include "basilpoint/Support/Clock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace basilpoint {

/// Detects keepers that are gone for good and must be replaced.
///
/// A keeper that is gone but still a member counts towards the answers needed to be certain that an entry does not
/// exist, so it has to be removed from the view.
class KeeperSuccession {
public:
    void answered(const std::string& keeper) { m_silentSince.erase(keeper); }
    void failed(const std::string& keeper, TimePoint now) { m_silentSince.try_emplace(keeper, now); }

    /// Forgets keepers for which \p isKept returns false.
    void retain(const std::function<bool(const std::string&)>& isKept)
    {
        std::erase_if(m_silentSince, [&](const auto& it) { return !isKept(it.first); });
    }

    /// Keepers that have not answered for \ref silenceLimit.
    std::vector<std::string> gone(TimePoint now) const;

    /// Longer than a restart, but within the time that a deployment allows for replacing a keeper before the next one
    /// may be lost.
    static constexpr Milliseconds silenceLimit { 3'000 };

private:
    std::map<std::string, TimePoint> m_silentSince;
};

} // namespace basilpoint
