#pragma once

#include "basilpoint/Support/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpoint {

/// What a segment file begins with.
struct SegmentHeader {
    std::uint64_t number = 0;
    /// First segment that counts; older ones are superseded by a snapshot.
    std::uint64_t base = 0;
    /// Id of the holder: a segment of another folder does not count.
    HolderId holder;

    bool operator==(const SegmentHeader&) const = default;
};

constexpr unsigned holderIdDigits = 32;
constexpr std::size_t segmentHeaderBytes = 64;

std::string encodeSegmentHeader(const SegmentHeader&);

/// Empty if \p bytes do not begin with a whole header.
std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes);

/// One group of operations that is synced as a whole. Its checksum covers segment and offset,
/// so that a frame counts only where it was written.
/// An empty group marks that the group before it was synced.
std::string encodeFrame(std::uint64_t segment, std::uint64_t offset, const std::vector<std::string>& operations);

/// Group of operations that a segment holds at \p offset, and where the next one begins.
struct Frame {
    std::vector<std::string_view> operations;
    std::uint64_t end = 0;
};

/// Empty if there is no whole frame at \p offset of a segment's \p bytes.
std::optional<Frame> decodeFrame(std::uint64_t segment, std::string_view bytes, std::uint64_t offset);

/// Whether a whole frame begins anywhere from \p offset on.
bool hasFrameFrom(std::uint64_t segment, std::string_view bytes, std::uint64_t offset);

} // namespace basilpoint
