#include "basilpoint/Shard/RecordAccess.h"

namespace basilpoint {

void RecordAccess::read(ShardActions& actions)
{
    abandon();
    m_goal = Goal::Read;
    if (!m_inFlight)
        sendRead(actions);
}

void RecordAccess::write(std::int64_t expectedRevision, ShardRecord record, ShardActions& actions)
{
    abandon();
    m_goal = Goal::Write;
    m_expectedRevision = expectedRevision;
    m_pendingRecord = std::move(record);
    if (!m_inFlight)
        sendWrite(actions);
}

void RecordAccess::retry(ShardActions& actions)
{
    if (m_goal != Goal::None && !m_inFlight)
        sendRead(actions);
}

void RecordAccess::abandon()
{
    m_goal = Goal::None;
    m_stale = m_inFlight;
}

void RecordAccess::sendRead(ShardActions& actions)
{
    m_inFlight = true;
    actions.emplace_back(ReadRecordAction {});
}

void RecordAccess::sendWrite(ShardActions& actions)
{
    m_inFlight = true;
    actions.emplace_back(WriteRecordAction { m_expectedRevision, m_pendingRecord });
}

bool RecordAccess::consumeStaleAnswer(ShardActions& actions)
{
    m_inFlight = false;
    if (!m_stale)
        return m_goal == Goal::None;
    m_stale = false;
    if (m_goal == Goal::Read)
        sendRead(actions);
    if (m_goal == Goal::Write)
        sendWrite(actions);
    return true;
}

RecordAccess::Outcome RecordAccess::finish(Outcome outcome)
{
    m_goal = Goal::None;
    return outcome;
}

RecordAccess::Outcome RecordAccess::recordRead(const std::optional<ShardRecord>& record, std::int64_t revision, ShardActions& actions)
{
    if (consumeStaleAnswer(actions))
        return Outcome::None;
    bool isOurs = record && record->writeId == m_pendingRecord.writeId;
    if (m_goal == Goal::Write && !isOurs && revision == m_expectedRevision) {
        // The unanswered write may still take effect. Repeating it is safe: with the same expected revision, at most
        // one of the two succeeds.
        sendWrite(actions);
        return Outcome::None;
    }
    m_record = record;
    m_revision = revision;
    if (m_goal == Goal::Read)
        return finish(Outcome::Read);
    return finish(isOurs ? Outcome::Written : Outcome::Conflict);
}

RecordAccess::Outcome RecordAccess::recordWritten(bool succeeded, std::int64_t revision, ShardActions& actions)
{
    if (consumeStaleAnswer(actions))
        return Outcome::None;
    if (!succeeded) {
        // The conflicting write may be an earlier attempt of this one; the write id of the record tells.
        sendRead(actions);
        return Outcome::None;
    }
    m_record = m_pendingRecord;
    m_revision = revision;
    return finish(Outcome::Written);
}

RecordAccess::Outcome RecordAccess::serviceFailed(ShardActions& actions)
{
    return consumeStaleAnswer(actions) ? Outcome::None : Outcome::Unavailable;
}

} // namespace basilpoint
