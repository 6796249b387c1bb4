#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace basilpoint {

/// Parses the JSON object that \p body must be.
///
/// Nesting is bounded: the JSON library recurses when it writes or compares, on the stack of a fiber.
/// \throws InvalidInputError.
nlohmann::json parseJsonObject(const std::string& body);

} // namespace basilpoint
