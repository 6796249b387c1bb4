#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace basilpoint {

inline std::string toCbor(const nlohmann::json& json)
{
    std::string buf;
    nlohmann::json::to_cbor(json, buf);
    return buf;
}

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
