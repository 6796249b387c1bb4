#pragma once

#include <string>
#include <string_view>

namespace basilpoint {

/// Encodes \p bytes as padded Base64 (RFC 4648).
std::string encodeBase64(std::string_view bytes);

/// Decodes padded Base64.
/// \throws InvalidInputError if \p text is not padded Base64.
std::string decodeBase64(std::string_view text);

} // namespace basilpoint
