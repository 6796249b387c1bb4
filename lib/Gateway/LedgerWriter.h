#pragma once

#include "StoreClient.h"

#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Turns/TurnLedger.h"

#include <map>
#include <memory>

namespace basilpoint {

/// Writes the ledger's batches to the store and wakes the fibers that wait for their changes.
class LedgerWriter {
public:
    LedgerWriter(StoreClient&, TurnLedger&, const Clock&, JsonLog&);

    /// Starts the writes that the ledger has ready.
    void startWrites();

    /// Outcome of a change; not set while unknown. Shared by the fibers that wait for it, and kept until the last of
    /// them has released it.
    using SharedOutcome = std::shared_ptr<const std::optional<ChangeOutcome>>;

    /// Keeps the outcome of \p change; at most once for a change. The writer must outlive what it returns.
    SharedOutcome expect(ChangeId change);

    /// Suspends until the outcome is known, \p deadline has passed or \p isCancelled returns true.
    /// \returns the outcome; not set while unknown.
    std::optional<ChangeOutcome> await(const SharedOutcome&, TimePoint deadline, const std::function<bool()>& isCancelled);

    /// Wakes waiting fibers, so that they check for cancellation.
    void wakeWaiters() { m_changed.notifyAll(); }

private:
    void run(const LedgerBatch&);
    void writePieces(const LedgerBatch&);
    /// Takes the outcomes of expected changes from the ledger and wakes the fibers that wait for them.
    void deliverOutcomes();
    void pause();

    StoreClient& m_store;
    TurnLedger& m_ledger;
    const Clock& m_clock;
    JsonLog& m_log;
    std::map<ChangeId, std::optional<ChangeOutcome>> m_expected;
    FiberSignal m_changed;
    /// Number of writes in flight.
    std::size_t m_running = 0;
    bool m_isPaused = false;
    Milliseconds m_pause { 0 };
};

} // namespace basilpoint
