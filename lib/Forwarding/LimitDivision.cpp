#include "basilpoint/Forwarding/LimitDivision.h"

#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <numeric>

namespace basilpoint::limitdivision {

std::size_t sharerCount(double limit, double minShare, std::size_t daemons)
{
    return std::clamp<std::size_t>(static_cast<std::size_t>(limit / minShare), 1, std::max<std::size_t>(1, daemons));
}

bool isSharer(const std::string& self, const std::vector<std::string>& daemons, std::string_view key, std::size_t sharers)
{
    std::uint64_t seed = hash64(key);
    std::uint64_t own = hash64(self, seed);
    auto ahead = std::count_if(daemons.begin(), daemons.end(), [&](const std::string& it) { return it != self && hash64(it, seed) < own; });
    return static_cast<std::size_t>(ahead) < sharers;
}

/// Indices of \p daemons of which the first \p sorted are in the order of their hashes.
static std::vector<std::size_t> indicesByHash(const std::vector<std::string>& daemons, std::string_view key, std::size_t sorted)
{
    std::uint64_t seed = hash64(key);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(daemons.size());
    for (const std::string& it : daemons)
        hashes.push_back(hash64(it, seed));
    std::vector<std::size_t> indices(daemons.size());
    std::iota(indices.begin(), indices.end(), 0);
    std::partial_sort(indices.begin(), indices.begin() + static_cast<std::ptrdiff_t>(sorted), indices.end(), [&](std::size_t a, std::size_t b) { return hashes[a] < hashes[b]; });
    return indices;
}

std::vector<bool> sharersOf(const std::vector<std::string>& daemons, std::string_view key, std::size_t sharers)
{
    if (sharers >= daemons.size())
        return std::vector<bool>(daemons.size(), true);
    std::vector<bool> result(daemons.size());
    std::vector<std::size_t> indices = indicesByHash(daemons, key, sharers);
    for (std::size_t n = 0; n < sharers; ++n)
        result[indices[n]] = true;
    return result;
}

std::vector<std::string> ordered(const std::vector<std::string>& daemons, std::string_view key)
{
    std::vector<std::string> result;
    result.reserve(daemons.size());
    for (std::size_t it : indicesByHash(daemons, key, daemons.size()))
        result.push_back(daemons[it]);
    return result;
}

} // namespace basilpoint::limitdivision
