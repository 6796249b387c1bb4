#include "LedgerWriter.h"

#include "StoreCodec.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <cassert>

namespace basilpoint {

// The pause after a failed write doubles up to the maximum, which limits how late a recovery is noticed.
static constexpr Milliseconds minPause { 30 };
static constexpr Milliseconds maxPause { 250 };

LedgerWriter::LedgerWriter(StoreClient& store, TurnLedger& ledger, const Clock& clock, JsonLog& log)
    : m_store(store)
    , m_ledger(ledger)
    , m_clock(clock)
    , m_log(log)
{
}

void LedgerWriter::startWrites()
{
    if (m_isPaused)
        return;
    // While the store fails, a single write is sufficient to detect that it has recovered.
    while (!m_store.isFailing() || m_running == 0) {
        auto batch = m_ledger.nextBatch();
        if (!batch)
            break;
        ++m_running;
        spawnFiber([this, batch = std::move(*batch)] { run(batch); });
    }
    deliverOutcomes();
}

void LedgerWriter::deliverOutcomes()
{
    bool anyExpected = false;
    for (auto [id, outcome] : m_ledger.takeOutcomes()) {
        auto it = m_expected.find(id);
        if (it == m_expected.end())
            continue;
        it->second = outcome;
        anyExpected = true;
    }
    if (anyExpected)
        m_changed.notifyAll();
}

void LedgerWriter::pause()
{
    m_pause = std::clamp(m_pause * 2, minPause, maxPause);
    if (m_isPaused)
        return;
    m_isPaused = true;
    spawnFiber([this] {
        sleepFiber(m_pause);
        m_isPaused = false;
        startWrites();
    });
}

// One at a time, which bounds the memory that they take on their way.
void LedgerWriter::writePieces(const LedgerBatch& batch)
{
    for (const auto& [prefix, turn] : batch.splitTurns)
        for (std::size_t n = 0; n < turn.pieces(); ++n)
            m_store.commit({ {}, { { prefix + turn.pieceName(n), turn.piece(n) } }, {} }, batch.commitDataCentre);
}

void LedgerWriter::run(const LedgerBatch& batch)
{
    KeyTransaction transaction;
    for (const auto& [key, revision] : batch.conditions)
        transaction.conditions.push_back({ key, revision });
    for (const auto& [key, value] : batch.puts)
        transaction.puts.push_back({ key, value });
    try {
        writePieces(batch);
        KeyTransactionResult result = m_store.commit(transaction, batch.commitDataCentre);
        m_pause = Milliseconds(0);
        if (result.revision)
            m_ledger.batchStored(batch.number, *result.revision);
        else
            m_ledger.batchRefused(batch.number, recordsFrom(result.current));
    } catch (const KeyValueRejectedError& error) {
        m_log.write(LogLine("ledger-write-rejected").field("batch", batch.number).field("entries", batch.entries()).field("reason", error.what()));
        if (!m_ledger.batchRejected(batch.number))
            pause();
    } catch (const KeyValueUnavailableError& error) {
        m_log.write(LogLine("ledger-write-unknown").field("batch", batch.number).field("entries", batch.entries()).field("reason", error.what()));
        m_ledger.batchOutcomeUnknown(batch.number);
        pause();
    }
    --m_running;
    deliverOutcomes();
    startWrites();
}

LedgerWriter::SharedOutcome LedgerWriter::expect(ChangeId change)
{
    auto [it, isNew] = m_expected.try_emplace(change);
    assert(isNew && "a change is expected once");
    static_cast<void>(isNew);
    return { &it->second, [this, change](const auto*) { m_expected.erase(change); } };
}

std::optional<ChangeOutcome> LedgerWriter::await(const SharedOutcome& outcome, TimePoint deadline, const std::function<bool()>& isCancelled)
{
    for (;;) {
        if (*outcome)
            return *outcome;
        TimePoint now = m_clock.now();
        if (now >= deadline || isCancelled())
            return std::nullopt;
        m_changed.waitFor(std::chrono::ceil<Milliseconds>(deadline - now));
    }
}

} // namespace basilpoint
