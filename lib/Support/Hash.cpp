#include "basilpoint/Support/Hash.h"

#include "basilpoint/Support/Error.h"

#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace basilpoint {

static Digest toDigest(const XXH128_hash_t& hash)
{
    return { hash.high64, hash.low64 };
}

static std::uint64_t parseHex(std::string_view text, std::string_view whole)
{
    std::uint64_t n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n, 16);
    if (ec != std::errc() || end != text.data() + text.size())
        throw InvalidInputError("digest", std::string(whole), "32 hexadecimal digits");
    return n;
}

std::string Digest::text() const
{
    return fmt::format("{:016x}{:016x}", high, low);
}

Digest parseDigest(std::string_view text)
{
    if (text.size() != 32)
        throw InvalidInputError("digest", std::string(text), "32 hexadecimal digits");
    return { parseHex(text.substr(0, 16), text), parseHex(text.substr(16), text) };
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

Digest digestOf(std::string_view bytes)
{
    return toDigest(XXH3_128bits(bytes.data(), bytes.size()));
}

Digest extendDigest(const Digest& previous, std::string_view bytes)
{
    std::string buf = previous.text();
    buf.append(bytes);
    return digestOf(buf);
}

} // namespace basilpoint
