#pragma once

#include "basilpoint/Policy/PauseTimes.h"
#include "basilpoint/Support/Ids.h"

namespace basilpoint {

/// Weighs the cost of holding a paused program's cache against the cost of computing it again.
class CacheRetention {
public:
    /// \param maxIdle no cache is held longer than this without a call.
    explicit CacheRetention(Milliseconds maxIdle);

    /// A program begins to wait for \p tool, or for its caller if the name is empty.
    void pauseStarted(const ProgramId&, const std::string& tool, TimePoint now);

    /// The program's next call came, or the tool answered.
    void pauseEnded(const ProgramId&, TimePoint now);

    void forget(const ProgramId& program) { m_pauses.erase(program); }

    /// How long the cache is worth holding in a pause for \p tool; zero to release it now.
    /// \param cacheUse share of the replica's cache memory in use.
    Milliseconds holdTime(const std::string& tool, double latencyWeight, double cacheWeight, double cacheUse) const;

    /// Forgets pauses that never ended.
    void sweep(TimePoint now);

    std::size_t pauses() const { return m_pauses.size(); }

private:
    struct Pause {
        std::string tool;
        TimePoint since;
    };

    Milliseconds m_maxIdle;
    PauseTimes m_times;
    std::unordered_map<ProgramId, Pause> m_pauses;
};

} // namespace basilpoint
