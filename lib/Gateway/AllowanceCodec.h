#pragma once

#include "basilpoint/Forwarding/AllowanceMessages.h"

namespace basilpoint {

std::string encodeAllowanceRequest(const AllowanceRequest&);
/// \throws InvalidInputError if \p bytes is not a message of encodeAllowanceRequest().
AllowanceRequest decodeAllowanceRequest(const std::string& bytes);

std::string encodeAllowanceAnswer(const AllowanceAnswer&);
/// \throws InvalidInputError if \p bytes is not a message of encodeAllowanceAnswer().
AllowanceAnswer decodeAllowanceAnswer(const std::string& bytes);

} // namespace basilpoint
