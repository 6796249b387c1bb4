#pragma once

#include "basilpoint/Forwarding/Configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Finds organisations by their keys.
///
/// The time of a lookup shows nothing about the keys: it goes by a seeded digest, and the keys are compared in constant time.
class OrganisationTable {
public:
    /// Finds no organisation.
    OrganisationTable() = default;
    /// \param seed of the digests; unknown to callers, who could otherwise choose keys with equal digests.
    OrganisationTable(const std::vector<Organisation>&, std::uint64_t seed);

    /// Index of the organisation that has the key; empty if none has.
    std::optional<std::size_t> find(std::string_view key) const;

    std::size_t keyCount() const { return m_entries.size(); }

private:
    struct Entry {
        std::string key;
        std::size_t organisation = 0;
    };

    std::uint64_t m_seed = 0;
    /// By digest of the key; different keys may have the same one.
    std::unordered_multimap<std::uint64_t, Entry> m_entries;
};

} // namespace basilpoint
