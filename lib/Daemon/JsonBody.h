#pragma once

#include "basilpoint/Net/HttpServer.h"
#include "basilpoint/Support/Error.h"
#include "basilpoint/Support/Ids.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

/// Body of \p request as a JSON object. \throws InvalidInputError if it is none.
nlohmann::json parseJsonBody(const HttpRequest& request);

/// Idempotency key of \p request; empty if it has none. \throws InvalidInputError if it is too long.
RequestKey idempotencyKeyOf(const HttpRequest& request);

void sendJson(ResponseWriter&, int status, const nlohmann::json&);

/// Member \p name of \p body, or \p fallback if it is missing or null.
/// \throws InvalidInputError with \p allowed if it has another type.
template <typename Value>
Value jsonMember(const nlohmann::json& body, const char* name, Value fallback, const char* allowed)
{
    auto it = body.find(name);
    if (it == body.end() || it->is_null())
        return fallback;
    bool fits = it->is_number_unsigned();
    if constexpr (std::is_same_v<Value, std::string>)
        fits = it->is_string();
    else if constexpr (std::is_same_v<Value, bool>)
        fits = it->is_boolean();
    if (!fits)
        throw InvalidInputError(std::string("/") + name, it->dump(-1, ' ', true, nlohmann::json::error_handler_t::replace).substr(0, 80), allowed);
    return it->template get<Value>();
}

} // namespace basilpoint
