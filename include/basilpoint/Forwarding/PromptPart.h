#pragma once

#include "basilpoint/Support/Ids.h"

#include <string>

namespace basilpoint {

/// Part of a prompt that several calls may share.
struct PromptPart {
    std::string id;
    TokenCount tokens = 0;

    bool operator==(const PromptPart&) const = default;
};

} // namespace basilpoint
