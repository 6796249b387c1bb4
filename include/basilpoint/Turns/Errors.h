#pragma once

#include "basilpoint/Support/Error.h"

namespace basilpoint {

/// A stored record cannot be decoded.
class DamagedRecordError final : public Error {
public:
    explicit DamagedRecordError(const std::string& what);
};

} // namespace basilpoint
