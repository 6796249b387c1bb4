#include "basilpoint/Journal/RecordLog.h"

#include "GroupCommitter.h"

#include <cassert>

namespace basilpoint {

struct RecordLog::Impl {
    explicit Impl(const RecordLogSettings& settings)
        : log({ settings.folder, settings.segmentBytes, settings.hooks })
        , markSyncedGroups(settings.markSyncedGroups)
    {
    }

    SegmentLog log;
    bool markSyncedGroups;
    /// Created when the log is loaded. Declared after the log, so that it is stopped before the log is destroyed.
    std::unique_ptr<GroupCommitter> committer;
};

RecordLog::RecordLog(const RecordLogSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

RecordLog::~RecordLog() = default;

const HolderId& RecordLog::holder() const
{
    return m_impl->log.holder();
}

void RecordLog::load(const std::function<void(std::string_view)>& replay)
{
    assert(!m_impl->committer && "load() must be called once");
    m_impl->log.load(replay);
    m_impl->committer = std::make_unique<GroupCommitter>(m_impl->log, m_impl->markSyncedGroups);
}

void RecordLog::write(std::string record, Done done)
{
    assert(m_impl->committer && "load() must be called before the first write");
    m_impl->committer->write(std::move(record), std::move(done));
}

void RecordLog::writeTogether(std::vector<std::string> records, Done done)
{
    assert(m_impl->committer && "load() must be called before the first write");
    m_impl->committer->writeTogether(std::move(records), std::move(done));
}

void RecordLog::compact(std::vector<std::string> snapshot, Done done)
{
    assert(m_impl->committer && "load() must be called before the first write");
    m_impl->committer->compact(std::move(snapshot), std::move(done));
}

void RecordLog::compact(RecordSource snapshot, std::uint64_t bytes, Done done)
{
    assert(m_impl->committer && "load() must be called before the first write");
    m_impl->committer->compact(std::move(snapshot), bytes, std::move(done));
}

std::uint64_t RecordLog::bytes() const
{
    return m_impl->log.bytes();
}

} // namespace basilpoint
