#pragma once

#include "basilpoint/Policy/PauseTimes.h"
#include "basilpoint/Support/Ids.h"

namespace basilpoint {

/// Decides how long the cache of a paused program is retained, by weighing the cost of occupied
/// memory against the cost of recomputation.
class CacheRetention {
public:
    /// \param maxIdle longest retention of a cache without a call.
    explicit CacheRetention(Milliseconds maxIdle);

    /// Records that the program waits for \p tool, or for its caller if \p tool is empty.
    void pauseStarted(const ProgramId&, const std::string& tool, TimePoint now);

    /// Records that the program made its next call or the tool answered.
    void pauseEnded(const ProgramId&, TimePoint now);

    void forget(const ProgramId& program) { m_pauses.erase(program); }

    /// Retention time with the lowest expected cost for a pause for \p tool; zero to release the cache now.
    /// \param cacheUse share of the replica's cache memory in use, from 0 to 1.
    Milliseconds retentionTime(const std::string& tool, double latencyWeight, double cacheWeight, double cacheUse) const;

    /// Forgets pauses whose end was not reported.
    void sweep(TimePoint now);

    std::size_t pauses() const { return m_pauses.size(); }

private:
    struct Pause {
        std::string tool;
        TimePoint since;
    };

    Milliseconds m_maxIdle;
    PauseTimes m_pauseTimes;
    std::unordered_map<ProgramId, Pause> m_pauses;
};

} // namespace basilpoint
