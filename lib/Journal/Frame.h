#pragma once

#include "basilpoint/Support/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpoint {

/// Header of a segment file.
struct SegmentHeader {
    std::uint64_t number = 0;
    /// Number of the first segment of the log; older ones are superseded by its snapshot.
    std::uint64_t base = 0;
    /// Id of the holder, to detect segments of another folder.
    HolderId holder;

    bool operator==(const SegmentHeader&) const = default;
};

constexpr unsigned holderIdDigits = 32;
constexpr std::size_t segmentHeaderBytes = 64;

std::string encodeSegmentHeader(const SegmentHeader&);

/// \returns empty if \p bytes do not begin with a valid header.
std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes);

/// Encodes a group of records that is synced as a whole. The checksum covers segment number and offset, so that a
/// frame is valid only where it was written. An empty group marks the previous group as synced.
std::string encodeFrame(std::uint64_t segment, std::uint64_t offset, const std::vector<std::string>& records);

/// Decoded group of records, and the offset at which the next frame begins.
struct Frame {
    std::vector<std::string_view> records;
    std::uint64_t end = 0;
};

/// \param bytes the segment from \p begin on.
/// \returns empty if there is no valid frame at \p offset of the segment.
std::optional<Frame> decodeFrame(std::uint64_t segment, std::string_view bytes, std::uint64_t offset, std::uint64_t begin = 0);

constexpr std::size_t frameHeaderBytes = 16;

/// Size of the frame that begins with \p header. \returns empty if none does.
std::optional<std::uint64_t> frameSize(std::string_view header);

/// Whether a valid frame begins at \p offset or after it.
bool hasFrameAtOrAfter(std::uint64_t segment, std::string_view bytes, std::uint64_t offset);

} // namespace basilpoint
