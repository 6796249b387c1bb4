#pragma once

#include "basilpoint/Shard/Actions.h"

#include <optional>

namespace basilpoint {

/// Reads and writes one shard's record, one call at a time.
///
/// A write ends only when its fate is known: after a lost answer the record is read back, and the
/// write id tells whether the write took effect.
class RecordAccess {
public:
    enum class Outcome {
        /// The call goes on, or its answer is of no use any more.
        None,
        Read,
        Written,
        /// Another write came first.
        Conflict,
        /// The service did not answer; retry() goes on.
        Unavailable,
    };

    void read(ShardActions&);
    void write(std::int64_t expectedRevision, ShardRecord, ShardActions&);
    void retry(ShardActions&);
    bool isIdle() const { return m_goal == Goal::None; }

    /// Drops the call under way. A write may still take effect.
    void abandon();

    Outcome recordRead(const std::optional<ShardRecord>&, std::int64_t revision, ShardActions&);
    Outcome recordWritten(bool succeeded, std::int64_t revision, ShardActions&);
    Outcome serviceFailed(ShardActions&);

    /// Record after Read or Written; empty if the key does not exist.
    const std::optional<ShardRecord>& record() const { return m_record; }
    std::int64_t revision() const { return m_revision; }

private:
    enum class Goal {
        None,
        Read,
        Write,
    };

    void sendRead(ShardActions&);
    void sendWrite(ShardActions&);
    bool takeStaleAnswer(ShardActions&);
    Outcome finish(Outcome);

    Goal m_goal = Goal::None;
    bool m_inFlight = false;
    /// The answer under way belongs to a call that was dropped.
    bool m_stale = false;
    std::int64_t m_expectedRevision = 0;
    ShardRecord m_wanted;
    std::optional<ShardRecord> m_record;
    std::int64_t m_revision = 0;
};

} // namespace basilpoint
