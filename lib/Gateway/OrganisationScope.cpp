#include "OrganisationScope.h"

#include "basilpoint/Support/ParseNumber.h"

#include <fmt/format.h>

namespace basilpoint {

// Precedes ids of callers without an organisation that look like scoped ones. No organisation has an empty name.
static constexpr std::string_view prefixOfNone = "0-";

// Of characters that keys of the store may have, so that ids of usual length are not replaced by digests there, for which a
// caller could search collisions.
static std::string prefixOf(const Organisation* organisation)
{
    return organisation ? fmt::format("{}-{}-", organisation->name.size(), organisation->name) : std::string();
}

OrganisationScope::OrganisationScope(const Organisation* organisation, bool identifiesCallers)
    : m_prefix(prefixOf(organisation))
    , m_identifiesCallers(identifiesCallers)
{
}

// Whether the id begins like one with the prefix of some organisation, or with that of none.
static bool looksScoped(std::string_view id)
{
    if (id.starts_with(prefixOfNone))
        return true;
    std::string_view digits = id.substr(0, id.find('-'));
    auto length = parseNumber<std::size_t>(digits);
    std::size_t end = digits.size() + 1;
    return length && end < id.size() && *length < id.size() - end && id[end + *length] == '-';
}

// Callers of public routes need no key, so they could otherwise state an id that is another one with its organisation.
std::string OrganisationScope::scoped(const std::string& id) const
{
    if (m_prefix.empty() && m_identifiesCallers && looksScoped(id))
        return fmt::format("{}{}", prefixOfNone, id);
    return m_prefix + id;
}

} // namespace basilpoint
