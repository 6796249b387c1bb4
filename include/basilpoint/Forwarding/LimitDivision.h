#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace basilpoint {

/// Divides a limit among few daemons, chosen by a hash of their names and of the limit's key, so that all daemons that know the
/// same list agree without asking each other.
namespace limitdivision {
    /// Number of daemons that share the limit: as many as leave each at least \p minShare, one at least.
    std::size_t sharerCount(double limit, double minShare, std::size_t daemons);

    /// Whether \p self is one of the first \p sharers of \p daemons by hash. \p self counts as a daemon in any case.
    bool isSharer(const std::string& self, const std::vector<std::string>& daemons, std::string_view key, std::size_t sharers);

    /// For each of \p daemons, whether it is one of the first \p sharers by hash.
    std::vector<bool> sharersOf(const std::vector<std::string>& daemons, std::string_view key, std::size_t sharers);

    /// \p daemons in the order of their hashes.
    std::vector<std::string> ordered(const std::vector<std::string>& daemons, std::string_view key);
}

} // namespace basilpoint
