#pragma once

#include "basilpoint/Program/ProgramTable.h"

namespace basilpoint {

/// Answer of an earlier call with the key of \p request; empty if the key is new or its call was never sent.
/// \throws ConflictError, ProgramBusyError, OutcomeUnknownError.
std::optional<RecordedAnswer> findRecordedCall(const ProgramState&, const ToolRequest& request, const Digest& body);

/// Whether \p next may replace \p present as the outcome of a call; \p present is empty while the call is in progress.
bool mayFollow(const std::optional<Executed>& present, Executed next);

/// Hash by which calls of the same tool with the same body are recognized.
std::uint64_t toolHash(const std::string& tool, const Digest& body);

} // namespace basilpoint
