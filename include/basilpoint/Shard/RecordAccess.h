#pragma once

#include "basilpoint/Shard/Actions.h"

#include <optional>

namespace basilpoint {

/// Reads and writes the record of one shard, one operation at a time.
///
/// A write completes only once its effect is known: if its answer is lost, the record is read back, and
/// the write id tells whether the write took effect.
class RecordAccess {
public:
    enum class Outcome {
        /// The operation is still in progress, or the answer belonged to an abandoned one.
        None,
        Read,
        Written,
        /// Another write changed the record first.
        Conflict,
        /// The service did not answer; retry() continues the operation.
        Unavailable,
    };

    void read(ShardActions&);
    void write(std::int64_t expectedRevision, ShardRecord, ShardActions&);
    void retry(ShardActions&);
    bool isIdle() const { return m_goal == Goal::None; }

    /// Abandons the operation in progress. A write may still take effect.
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
    bool consumeStaleAnswer(ShardActions&);
    Outcome finish(Outcome);

    Goal m_goal = Goal::None;
    bool m_inFlight = false;
    /// Whether the outstanding answer belongs to an abandoned operation.
    bool m_stale = false;
    std::int64_t m_expectedRevision = 0;
    ShardRecord m_pendingRecord;
    std::optional<ShardRecord> m_record;
    std::int64_t m_revision = 0;
};

} // namespace basilpoint
