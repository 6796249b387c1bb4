#include "DurableTurnJournal.h"

#include <algorithm>
#include <utility>

namespace basilpoint {

// A log is compacted once less than half of it is needed, so that rewriting costs no more than writing did.
static constexpr std::uint64_t compactionGrowth = 2;

DurableTurnJournal::DurableTurnJournal(const RecordLogSettings& settings, Post post)
    : m_post(std::move(post))
    , m_log(settings)
{
    m_log.load([this](std::string_view bytes) { m_journal.apply(decodeOperation(std::string(bytes))); });
}

DurableTurnJournal::~DurableTurnJournal() = default;

std::vector<std::pair<EntryName, ProgramId>> DurableTurnJournal::names() const
{
    std::vector<std::pair<EntryName, ProgramId>> names;
    for (const auto& [name, entry] : m_journal.entries())
        names.emplace_back(name, entry->program);
    for (const Write& write : m_pending)
        for (const JournalOperation& it : *write.operations)
            if (it.kind == JournalOperation::Kind::Append) {
                JournalEntry entry = decodeEntry(it.entry);
                names.emplace_back(EntryName { entry.daemon, entry.step() }, entry.program);
            }
    return names;
}

void DurableTurnJournal::write(std::vector<JournalOperation> operations, Done done)
{
    enqueue(std::move(operations), std::move(done));
}

// Applied again once it is on disk, which changes nothing unless an operation before it has undone it.
void DurableTurnJournal::applyAtOnce(JournalOperation operation)
{
    m_journal.apply(operation);
    enqueue({ std::move(operation) }, nullptr);
}

void DurableTurnJournal::enqueue(std::vector<JournalOperation> operations, Done done)
{
    std::vector<std::string> records;
    records.reserve(operations.size());
    for (const JournalOperation& it : operations)
        records.push_back(encodeOperation(it));
    m_pending.push_back({ std::make_shared<const std::vector<JournalOperation>>(std::move(operations)), std::move(done) });
    m_log.writeTogether(std::move(records), [this, isAlive = std::weak_ptr(m_lifetime)](const std::exception_ptr& failure) {
        m_post([this, isAlive, failure] {
            if (!isAlive.expired())
                finishFirst(failure);
        });
    });
}

// The log reports writes in the order in which it was given them.
void DurableTurnJournal::finishFirst(const std::exception_ptr& failure)
{
    Write write = std::move(m_pending.front());
    m_pending.pop_front();
    if (!failure)
        for (const JournalOperation& it : *write.operations)
            m_journal.apply(it);
    if (write.done)
        write.done(failure);
}

void DurableTurnJournal::compactIfLarge(std::uint64_t minBytes)
{
    if (m_log.bytes() >= std::max(minBytes, m_journal.bytes() * compactionGrowth))
        compact();
}

// The log drops what was queued before the snapshot, also what the journal does not contain yet, so the snapshot ends with
// that. Operations are encoded one at a time, when the log asks for them.
RecordLog::RecordSource DurableTurnJournal::snapshot() const
{
    auto pending = std::make_shared<std::deque<std::pair<Operations, std::size_t>>>();
    for (const Write& write : m_pending)
        for (std::size_t n = 0; n < write.operations->size(); ++n)
            pending->emplace_back(write.operations, n);
    return [nextOfJournal = m_journal.snapshot(), pending]() -> std::optional<std::string> {
        if (auto operation = nextOfJournal())
            return encodeOperation(*operation);
        if (pending->empty())
            return std::nullopt;
        auto [operations, n] = std::move(pending->front());
        pending->pop_front();
        return encodeOperation(operations->at(n));
    };
}

void DurableTurnJournal::compact()
{
    if (m_isCompacting)
        return;
    m_isCompacting = true;
    // All that the snapshot contains is in the log, or about to be.
    m_log.compact(snapshot(), m_log.bytes(), [this, isAlive = std::weak_ptr(m_lifetime)](const std::exception_ptr& failure) {
        m_post([this, isAlive, failure] {
            if (isAlive.expired())
                return;
            m_isCompacting = false;
            if (m_onCompaction)
                m_onCompaction(failure);
        });
    });
}

} // namespace basilpoint
