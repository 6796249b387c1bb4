#pragma once

#include "basilpoint/Support/Cbor.h"
#include "basilpoint/Support/Endpoint.h"
#include "basilpoint/Support/Error.h"
#include "basilpoint/Support/Ids.h"

namespace basilpoint {

using Json = nlohmann::json;

/// Parses \p bytes and passes the result to \p decode.
/// \throws InvalidInputError for the field \p what if the bytes cannot be parsed or decoded.
template <typename Decode>
auto fromCbor(std::string_view bytes, const char* what, const Decode& decode)
{
    try {
        return decode(parseCbor(bytes));
    } catch (const Json::exception&) {
        throw InvalidInputError(what, std::to_string(bytes.size()) + " bytes", "CBOR of a known message");
    }
}

template <typename Id>
Id textIdFromJson(const Json& json)
{
    return Id(json.get<std::string>());
}

template <typename Enum>
Enum enumFromJson(const Json& json, Enum last, const char* what)
{
    auto n = json.get<unsigned>();
    if (n > static_cast<unsigned>(last))
        throw InvalidInputError(what, std::to_string(n), "a known enumerator");
    return static_cast<Enum>(n);
}

} // namespace basilpoint
