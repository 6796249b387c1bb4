#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace basilpoint {

/// Parses all of \p text as a decimal number; empty if that fails or the number is out of range.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number n {};
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() ? std::optional(n) : std::nullopt;
}

} // namespace basilpoint
