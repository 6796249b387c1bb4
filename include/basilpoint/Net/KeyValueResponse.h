#pragma once

#include "basilpoint/Net/KeyValueStore.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

/// Reads a service's answer. Whatever is wrong with it, the fate of the call is unknown.
/// \throws KeyValueUnavailableError
template <typename Read>
auto parseKeyValueResponse(Read read)
{
    try {
        return read();
    } catch (const nlohmann::json::exception&) {
        throw KeyValueUnavailableError("answer of another shape");
    } catch (const InvalidInputError&) {
        throw KeyValueUnavailableError("answer of another shape");
    }
}

} // namespace basilpoint
