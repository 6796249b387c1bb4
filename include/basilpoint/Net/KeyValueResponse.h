#pragma once

#include "basilpoint/Net/KeyValueStore.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

/// Runs \p parse, which reads a response of the key-value service.
///
/// A malformed response leaves the outcome of the call unknown, so errors of the JSON library and
/// InvalidInputError become KeyValueUnavailableError.
template <typename Parse>
auto parseKeyValueResponse(Parse parse)
{
    try {
        return parse();
    } catch (const nlohmann::json::exception&) {
        throw KeyValueUnavailableError("answer of another shape");
    } catch (const InvalidInputError&) {
        throw KeyValueUnavailableError("answer of another shape");
    }
}

} // namespace basilpoint
