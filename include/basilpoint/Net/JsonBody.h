#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace basilpoint {

/// Parses \p body, which must be a JSON object.
///
/// Nesting is limited, because the JSON library recurses when it serializes or compares values, and a fiber's
/// stack is small.
/// \throws InvalidInputError.
nlohmann::json parseJsonObject(const std::string& body);

} // namespace basilpoint
