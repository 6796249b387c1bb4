#pragma once

#include "basilpoint/Support/Cbor.h"
#include "basilpoint/Support/Clock.h"
#include "basilpoint/Turns/Errors.h"

#include <string>

namespace basilpoint {

// CBOR forms that the records of this library share.

inline std::int64_t millisecondsOf(WallTimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

/// Reads a record. \throws DamagedRecordError naming \p what.
template <typename Read>
auto readRecord(const char* what, const std::string& bytes, Read read)
{
    try {
        return read(nlohmann::json::from_cbor(bytes));
    } catch (const nlohmann::json::exception&) {
        throw DamagedRecordError(what);
    }
}

} // namespace basilpoint
