#pragma once

#include <string>
#include <string_view>

namespace basilpoint {

/// Base64 text (RFC 4648, padded) of \p bytes.
std::string encodeBase64(std::string_view bytes);

/// Inverse of encodeBase64().
/// \throws InvalidInputError if \p text is not padded base64.
std::string decodeBase64(std::string_view text);

} // namespace basilpoint
