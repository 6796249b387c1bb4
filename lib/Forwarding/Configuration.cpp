#include "basilpoint/Forwarding/Configuration.h"

#include "basilpoint/Support/Error.h"

#include <cmath>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace basilpoint {

static bool isRate(double n)
{
    return std::isfinite(n) && n >= 0;
}

void validateOrganisations(const std::vector<Organisation>& organisations)
{
    std::unordered_set<std::string_view> names;
    std::unordered_map<std::string_view, std::string_view> owners;
    for (const Organisation& it : organisations) {
        if (it.name.empty())
            throw InvalidInputError("organisation name", "", "a name");
        if (!names.insert(it.name).second)
            throw InvalidInputError("organisation name", it.name, "a name that no other organisation has");
        if (!isRate(it.requestsPerSecond))
            throw InvalidInputError("rate of organisation", it.name, "a number of at least 0");
        if (!isRate(it.burst))
            throw InvalidInputError("burst of organisation", it.name, "a number of at least 0");
        for (const std::string& key : it.keys) {
            if (key.empty())
                throw InvalidInputError("key of organisation", it.name, "a key that is not empty");
            auto [owner, isNew] = owners.try_emplace(key, it.name);
            if (!isNew && owner->second != it.name)
                throw InvalidInputError("key of organisation", it.name, "a key that no other organisation has");
        }
    }
}

} // namespace basilpoint
