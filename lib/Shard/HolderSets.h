#pragma once

#include "basilpoint/Shard/Types.h"

#include <algorithm>

namespace basilpoint {

inline bool contains(const HolderSet& holders, const HolderId& holder)
{
    return std::find(holders.begin(), holders.end(), holder) != holders.end();
}

/// \p holders sorted and without duplicates, the form used in all records and pairs.
inline HolderSet normalized(HolderSet holders)
{
    std::sort(holders.begin(), holders.end());
    holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
    return holders;
}

} // namespace basilpoint
