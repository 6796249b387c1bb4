#include "KeeperSuccession.h"

namespace basilpoint {

std::vector<std::string> KeeperSuccession::gone(TimePoint now) const
{
    std::vector<std::string> keepers;
    for (const auto& [keeper, since] : m_silentSince)
        if (now - since >= silenceLimit)
            keepers.push_back(keeper);
    return keepers;
}

} // namespace basilpoint
