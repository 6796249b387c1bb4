#pragma once

#include "basilpoint/Support/Hash.h"

#include <functional>
#include <string>
#include <string_view>

namespace basilpoint {

/// Messages of one request in canonical form: JSON objects with sorted keys and no spaces, joined by commas.
///
/// Two lists have the same text if and only if their messages are equal, and a list continues
/// another one if its text begins with the other's text and a comma.
class MessageList {
public:
    /// Checks and converts a caller's JSON array.
    /// \throws InvalidInputError if \p json is not a non-empty array of objects of bounded depth.
    static MessageList parse(std::string_view json);

    const std::string& text() const { return m_text; }

    /// Whether any message has the role "assistant", which only answers of the model have.
    bool hasAnswer() const { return m_hasAnswer; }

private:
    std::string m_text;
    bool m_hasAnswer = false;
};

/// Canonical form of one message. \throws InvalidInputError if \p json is not an object.
std::string canonicalMessage(std::string_view json);

/// Calls \p visit for each message of a canonical text.
void forEachMessage(std::string_view text, const std::function<void(std::string_view)>& visit);

/// Extends the digest \p chain by each message of a canonical text.
Digest extendChain(Digest chain, std::string_view text);

} // namespace basilpoint
