#pragma once

#include "basilpoint/Support/Error.h"

namespace basilpoint {

/// A stored record does not decode.
class DamagedRecordError final : public Error {
public:
    explicit DamagedRecordError(const std::string& what);
};

} // namespace basilpoint
