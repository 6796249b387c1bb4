#pragma once

#include "basilpoint/Journal/RecordLog.h"
#include "basilpoint/Turns/TurnJournal.h"

#include <deque>
#include <memory>

namespace basilpoint {

/// A turn journal and its log on disk.
///
/// What the log holds at any moment, read from its start, is the effect of all operations up to one of them, in the order
/// in which they were given, and includes each whose write has been reported. A snapshot that replaces the log therefore
/// includes those that are still being written.
class DurableTurnJournal {
public:
    /// Calls a function soon, on the thread that uses the journal.
    using Post = std::function<void(std::function<void()>)>;
    /// Called on the thread that uses the journal, with null once the operations have taken effect or with the error.
    using Done = std::function<void(std::exception_ptr)>;
    /// Called on the thread that uses the journal when a compaction has ended, with null or the error.
    using CompactionHook = std::function<void(std::exception_ptr)>;

    /// Opens or creates the log and reads it. \throws JournalFolderError, JournalCorruptError, DamagedRecordError.
    DurableTurnJournal(const RecordLogSettings&, Post);

    /// Waits until all operations are on disk. Calls that were posted before have no effect.
    ~DurableTurnJournal();

    void onCompaction(CompactionHook hook) { m_onCompaction = std::move(hook); }

    /// The journal, as of the operations that have taken effect.
    const TurnJournal& state() const { return m_journal; }
    const std::set<ProgramId>& outstandingPrograms() { return m_journal.outstandingPrograms(); }

    /// Names and programs of all entries, including those that are being written.
    std::vector<std::pair<EntryName, ProgramId>> names() const;

    const HolderId& folder() const { return m_log.holder(); }
    /// Size of the log.
    std::uint64_t bytes() const { return m_log.bytes(); }

    /// Writes the operations, which take effect once they are on disk. After a crash all of them have been kept or none.
    void write(std::vector<JournalOperation>, Done);

    /// Writes an operation that takes effect at once, since a crash may undo it without harm.
    void applyAtOnce(JournalOperation);

    /// Replaces the log by a snapshot, unless another compaction is under way.
    void compact();

    /// Compacts a log of at least \p minBytes that is more than twice as large as the journal's entries.
    void compactIfLarge(std::uint64_t minBytes);

private:
    using Operations = std::shared_ptr<const std::vector<JournalOperation>>;

    /// Operations that were queued together.
    struct Write {
        Operations operations;
        Done done;
    };

    void enqueue(std::vector<JournalOperation>, Done);
    RecordLog::RecordSource snapshot() const;
    void finishFirst(const std::exception_ptr& failure);

    TurnJournal m_journal;
    /// What the log has been given but not reported, in order.
    std::deque<Write> m_pending;
    Post m_post;
    CompactionHook m_onCompaction;
    bool m_isCompacting = false;
    /// Expires with this object, for functions that are posted but have not been called.
    std::shared_ptr<bool> m_lifetime = std::make_shared<bool>();
    /// Declared last, so that its thread has ended before the other members are destroyed.
    RecordLog m_log;
};

} // namespace basilpoint
