#pragma once

#include "basilpoint/Program/ProgramTable.h"

namespace basilpoint {

/// Answer of an earlier call under the key of \p request, if it has one.
/// Empty if the key is new, or its call was never sent.
/// \throws ConflictError, ProgramBusyError, OutcomeUnknownError.
std::optional<RecordedAnswer> findRecordedCall(const ProgramState&, const ToolRequest& request, const Digest& body);

/// Whether \p next may be recorded for a call whose outcome so far is \p present.
bool mayFollow(const std::optional<Executed>& present, Executed next);

/// Hash by which the same call of the same tool is recognized.
std::uint64_t toolHash(const std::string& tool, const Digest& body);

} // namespace basilpoint
