#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Turns/Errors.h"

#include <nlohmann/json.hpp>
#include <string>

namespace basilpoint {

// CBOR forms that the records of this library share.

inline nlohmann::json binary(const std::string& bytes)
{
    return nlohmann::json::binary({ bytes.begin(), bytes.end() });
}

inline std::string bytesOf(const nlohmann::json& json)
{
    const auto& bytes = json.get_binary();
    return { bytes.begin(), bytes.end() };
}

inline std::string toBytes(const nlohmann::json& json)
{
    auto bytes = nlohmann::json::to_cbor(json);
    return { bytes.begin(), bytes.end() };
}

inline std::int64_t millisecondsOf(WallTimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

/// Reads a record. \throws DamagedRecordError naming \p what.
template <typename Read>
auto readRecord(const char* what, const std::string& bytes, Read read)
{
    try {
        return read(nlohmann::json::from_cbor(bytes));
    } catch (const nlohmann::json::exception&) {
        throw DamagedRecordError(what);
    }
}

} // namespace basilpoint
