#pragma once

#include "basilpoint/Program/Records.h"
#include "basilpoint/Support/Cbor.h"

namespace basilpoint {

/// JSON forms, later encoded as CBOR, of values that several records contain.
/// The decoding functions throw nlohmann::json::exception or InvalidInputError on malformed input.
nlohmann::json timeToJson(WallTimePoint);
WallTimePoint timeFromJson(const nlohmann::json&);

nlohmann::json encodeOpened(const ProgramOpened&);
ProgramOpened decodeOpened(const nlohmann::json&);

nlohmann::json encodeTurnStarted(const TurnStarted&);
TurnStarted decodeTurnStarted(const nlohmann::json&);

nlohmann::json encodeState(const ProgramState&);
ProgramState decodeState(const nlohmann::json&);

template <typename Enum>
Enum enumFromJson(const nlohmann::json& json, Enum last)
{
    auto n = json.get<int>();
    if (n < 0 || n > static_cast<int>(last))
        throw InvalidInputError("journal record", std::to_string(n), "a known enumerator");
    return static_cast<Enum>(n);
}

} // namespace basilpoint
