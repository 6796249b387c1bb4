#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace basilpoint {

/// 128-bit content digest (XXH3). Not cryptographic; callers that need a keyed digest must use another.
struct Digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// 32 hexadecimal digits.
    std::string text() const;

    auto operator<=>(const Digest&) const = default;
};

/// Parses the result of Digest::text().
/// \throws InvalidInputError if \p text is not 32 hexadecimal digits.
Digest parseDigest(std::string_view text);

/// 64-bit XXH3 hash of \p bytes, the same on every platform.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// 128-bit XXH3 digest of \p bytes, the same on every platform.
Digest digestOf(std::string_view bytes);

/// Digest of a hash chain: covers \p previous and \p bytes.
Digest extendDigest(const Digest& previous, std::string_view bytes);

} // namespace basilpoint
