#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <unordered_map>

namespace basilpoint {

/// Service received by each program tree, for least-attained-service scheduling.
///
/// The remaining length of a program is unknown. If lengths are heavy-tailed, a program that has
/// received little service is likely to end soon, so serving it first lowers the mean program latency.
class AttainedService {
public:
    /// Adds \p work prefill-token equivalents to \p root.
    void add(const ProgramId& root, double work, TimePoint now);

    /// Priority level of the program tree, from 0 to maxLevel; a tree with less service has a lower
    /// level and is served first. Discretized, so that trees with similar service keep their order of arrival.
    unsigned levelOf(const ProgramId& root) const;

    /// Whether \p root has been admitted and not yet forgotten.
    bool contains(const ProgramId& root) const { return m_roots.contains(root); }

    void forget(const ProgramId& root) { m_roots.erase(root); }

    /// Forgets roots without service for longer than \p idle, because the end of a program may go unreported.
    void sweep(TimePoint now, Milliseconds idle);

    std::size_t size() const { return m_roots.size(); }

    static constexpr unsigned maxLevel = 7;

private:
    struct Service {
        double work = 0;
        TimePoint lastServed;
    };

    std::unordered_map<ProgramId, Service> m_roots;
};

} // namespace basilpoint
