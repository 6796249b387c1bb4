#include "basilpoint/Forwarding/OrganisationTable.h"

#include "basilpoint/Support/Hash.h"

#include <openssl/crypto.h>

namespace basilpoint {

OrganisationTable::OrganisationTable(const std::vector<Organisation>& organisations, std::uint64_t seed)
    : m_seed(seed)
{
    m_entries.reserve(organisations.size());
    for (std::size_t n = 0; n < organisations.size(); ++n)
        for (const std::string& key : organisations[n].keys)
            m_entries.emplace(hash64(key, m_seed), Entry { key, n });
}

std::optional<std::size_t> OrganisationTable::find(std::string_view key) const
{
    auto [it, end] = m_entries.equal_range(hash64(key, m_seed));
    for (; it != end; ++it) {
        const Entry& entry = it->second;
        if (entry.key.size() == key.size() && CRYPTO_memcmp(entry.key.data(), key.data(), key.size()) == 0)
            return entry.organisation;
    }
    return std::nullopt;
}

} // namespace basilpoint
