#pragma once

#include "basilpoint/Support/Cbor.h"
#include "basilpoint/Support/Clock.h"
#include "basilpoint/Turns/Errors.h"

#include <string>

namespace basilpoint {

// CBOR helpers shared by the record types of this library.

inline std::int64_t millisecondsOf(WallTimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

/// Decodes a record. \throws DamagedRecordError with \p what as the record's kind.
template <typename Read>
auto readRecord(const char* what, const std::string& bytes, Read read)
{
    try {
        return read(parseCbor(bytes));
    } catch (const nlohmann::json::exception&) {
        throw DamagedRecordError(what);
    }
}

} // namespace basilpoint
