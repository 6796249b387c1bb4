#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace basilpoint {

inline std::string toCbor(const nlohmann::json& json)
{
    std::string buf;
    nlohmann::json::to_cbor(json, buf);
    return buf;
}

/// Deepest nesting of arrays and objects in a message; none of ours has more than a few levels.
inline constexpr unsigned maxCborDepth = 64;

/// Parses CBOR. \throws nlohmann::json::exception if \p bytes are not valid, or nested more deeply than \ref maxCborDepth.
nlohmann::json parseCbor(std::string_view bytes);

/// Converts arbitrary bytes to a CBOR byte string.
inline nlohmann::json bytesToJson(const std::string& bytes)
{
    return nlohmann::json::binary({ bytes.begin(), bytes.end() });
}

inline std::string bytesFromJson(const nlohmann::json& json)
{
    const auto& bytes = json.get_binary();
    return { bytes.begin(), bytes.end() };
}

} // namespace basilpoint
