#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <unordered_map>

namespace basilpoint {

/// How much service each program tree has had; the less it had, the earlier its next call goes.
///
/// Nobody knows a program's remaining length. With heavy-tailed lengths a program that had little
/// service is likely to end soon, so serving it first lowers program latency.
class AttainedService {
public:
    /// Adds \p work prefill-token equivalents to \p root.
    void add(const ProgramId& root, double work, TimePoint now);

    /// Discretized service, from 0 to maxLevel; equal levels keep the order of arrival.
    unsigned levelOf(const ProgramId& root) const;

    /// Whether \p root was ever admitted or served.
    bool knows(const ProgramId& root) const { return m_roots.contains(root); }

    void forget(const ProgramId& root) { m_roots.erase(root); }

    /// Forgets roots that had no service for \p idle; their end was not reported.
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
