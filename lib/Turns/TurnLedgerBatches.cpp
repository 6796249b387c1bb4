#include "basilpoint/Turns/TurnLedger.h"

#include "LedgerKeys.h"

#include <algorithm>
#include <cassert>

namespace basilpoint {

using namespace ledgerkeys;

// Smaller values than the largest ones, so that relays and the store hold little of them at a time.
static constexpr std::size_t piecesPerValue = 2;

void TurnLedger::putTurn(LedgerBatch& batch, const ProgramId& id, const Program& program, const TurnRecord& record) const
{
    if (isSplit(record)) {
        const SplitTurn& turn = batch.splitTurns.emplace_back(piecePrefix(id), SplitTurn(program.turns.at(record.turn), m_settings.maxValueBytes / piecesPerValue)).second;
        batch.puts.emplace_back(splitTurnPrefix(id) + keyPart(record.turn.text()), turn.head());
    } else
        batch.puts.emplace_back(turnKey(id, record.turn), encodeTurn(record));
}

// Confirms waiting reservations that the hold covers by now: the settlement of the previous turn may have topped it
// up, so the next turn need not wait for a write of its own. Reservations already sent may take effect, so they are
// kept.
void TurnLedger::confirmHeldReservations(Program& program)
{
    TokenCount tokens = usableHold(program);
    TokenCount used = program.running + program.unsettled;
    for (const Change& it : program.changes)
        if (it.change.kind == AccountChange::Kind::Reserve && !it.isCancelled)
            used -= std::min(used, it.needed);
    std::erase_if(program.changes, [&](const Change& it) {
        bool isUnsent = it.change.kind == AccountChange::Kind::Reserve && !it.wasSent && !it.isCancelled;
        if (!isUnsent || used + it.needed > tokens)
            return false;
        used += it.needed;
        m_outcomes.emplace_back(it.id, ChangeOutcome::Stored);
        return true;
    });
}

void TurnLedger::clearVoidedHolds(Program& program)
{
    for (Change& it : program.changes)
        if (it.isVoided && it.change.kind == AccountChange::Kind::Settle)
            it.change.maxTokens = 0;
}

// Denies reservations that exceed the budget, without a write. Reservations made before a binding attestation are
// denied as well, since all the budget remaining then may have been granted to other daemons.
void TurnLedger::dropDenied(Program& program)
{
    clearVoidedHolds(program);
    ProgramAccount account = program.account;
    TokenCount unsettled = program.unsettled;
    std::erase_if(program.changes, [&](Change& it) {
        bool isReservation = it.change.kind == AccountChange::Kind::Reserve;
        bool isVoidReservation = it.isVoided && isReservation;
        if (!isVoidReservation && applyChange(account, m_self, it.change)) {
            if (it.change.grant == 0)
                unsettled -= std::min(unsettled, it.change.used);
            return false;
        }
        // Retries without the part for the next turn.
        if (isReservation)
            it.change.maxTokens = std::min(it.change.maxTokens, it.needed);
        if (!isVoidReservation && applyChange(account, m_self, it.change))
            return false;
        TokenCount hold = account.holds[m_self].tokens;
        TokenCount lacking = program.running + unsettled - std::min(hold, program.running + unsettled);
        if (it.mayReduce && lacking < it.needed) {
            it.needed = lacking;
            it.change.maxTokens = lacking;
            if (!isVoidReservation && applyChange(account, m_self, it.change))
                return false;
        }
        m_outcomes.emplace_back(it.id, ChangeOutcome::Denied);
        return true;
    });
}

std::optional<std::pair<LedgerBatch, TurnLedger::BatchState>> TurnLedger::makeBatch(const ProgramId& id, Program& program)
{
    LedgerBatch batch;
    BatchState state { id, program.account, program.revision, 0 };
    std::string key = accountKey(id);
    batch.conditions.emplace_back(key, program.revision);
    bool isComplete = true;
    bool hasReserve = false;
    std::size_t bytes = 0;
    TokenCount maxTokens = 0;
    for (Change& it : program.changes) {
        const AccountChange& change = it.change;
        // Two entries for a turn, one for the account.
        std::size_t needed = (change.record ? 2 : 0) + 1;
        std::size_t recordBytes = change.record ? SplitTurn::bytesOf(*change.record) : 0;
        bool isTooLarge = bytes > 0 && recordBytes > 0 && (program.isStoredSingly || bytes + recordBytes > m_settings.maxValueBytes);
        if (isTooLarge || batch.entries() + needed > m_settings.maxBatchEntries) {
            isComplete = false;
            break;
        }
        bool fits = applyChange(state.account, m_self, change);
        assert(fits && "denied reservations have been dropped");
        static_cast<void>(fits);
        state.step = change.step;
        it.wasSent = true;
        bytes += recordBytes;
        maxTokens = std::max(maxTokens, change.maxTokens);
        hasReserve = hasReserve || change.kind == AccountChange::Kind::Reserve;
        if (!change.record)
            continue;
        putTurn(batch, id, program, *change.record);
        batch.puts.emplace_back(originKey(change.record->turn), id.text());
    }
    if (state.step == 0)
        return std::nullopt;
    if (state.account.commitDataCentre.empty())
        state.account.commitDataCentre = m_settings.dataCentre;
    batch.commitDataCentre = state.account.commitDataCentre;
    DaemonHold& hold = state.account.holds[m_self];
    // Beyond what running turns need, holds one turn's worth for the next turn, or nothing if the budget is nearly
    // spent.
    if (isComplete && !hasReserve) {
        TokenCount spare = state.account.remaining() < turnsLeftToKeep * maxTokens ? 0 : maxTokens;
        hold.tokens = std::min(hold.tokens, program.running + spare);
    }
    program.holdAfterBatch = std::min(program.holdAfterBatch.value_or(hold.tokens), hold.tokens);
    TokenCount before = program.account.spent + program.account.held();
    TokenCount after = state.account.spent + state.account.held();
    program.unconfirmedTokens = std::max(program.unconfirmedTokens, after - std::min(after, before));
    batch.puts.emplace_back(key, encodeAccount(state.account));
    return std::pair(std::move(batch), std::move(state));
}

std::optional<LedgerBatch> TurnLedger::nextBatch()
{
    while (!m_waiting.empty() && m_batches.size() < m_settings.maxBatches) {
        ProgramId id = m_waiting.front();
        m_waiting.pop_front();
        Program& program = m_programs.at(id);
        program.isQueued = false;
        dropDenied(program);
        auto made = program.changes.empty() ? std::nullopt : makeBatch(id, program);
        if (!made)
            continue;
        program.isInBatch = true;
        auto& [batch, state] = *made;
        batch.number = m_nextBatch++;
        m_batches.emplace(batch.number, std::move(state));
        return std::move(batch);
    }
    return std::nullopt;
}

// Whether the hold covers all running and unsettled turns, except those whose reservations are still waiting. It does
// not if a keeper has stored this daemon's changes, since it takes no holds for them.
bool TurnLedger::holdCoversTurns(const Program& program) const
{
    TokenCount tokens = usableHold(program);
    for (const Change& it : program.changes)
        if (it.change.kind == AccountChange::Kind::Reserve && !it.isCancelled)
            tokens += it.needed;
    return tokens >= program.running + program.unsettled;
}

void TurnLedger::dropStored(Program& program, std::uint64_t step)
{
    std::vector<ChangeId> reservations;
    std::vector<ChangeId> others;
    while (!program.changes.empty()) {
        const Change& front = program.changes.front();
        if (front.change.step > step)
            break;
        if (front.change.grant == 0)
            program.unsettled -= std::min(program.unsettled, front.change.used);
        (front.change.kind == AccountChange::Kind::Reserve ? reservations : others).push_back(front.id);
        program.changes.pop_front();
    }
    for (ChangeId it : others)
        m_outcomes.emplace_back(it, ChangeOutcome::Stored);
    for (ChangeId it : reservations)
        m_outcomes.emplace_back(it, holdCoversTurns(program) ? ChangeOutcome::Stored : ChangeOutcome::Denied);
}

void TurnLedger::resetBatchEffects(Program& program)
{
    program.unconfirmedTokens = 0;
    program.holdAfterBatch.reset();
}

// Takes a newer account from the store; this daemon's changes that it includes are stored.
void TurnLedger::rebase(Program& program, const ProgramAccount& account, std::int64_t revision)
{
    if (revision <= program.revision)
        return;
    program.account = account;
    program.revision = revision;
    program.accountAt = m_now;
    resetBatchEffects(program);
    auto it = account.holds.find(m_self);
    if (it != account.holds.end())
        dropStored(program, it->second.step);
}

void TurnLedger::endBatch(std::uint64_t number, const std::function<void(const BatchState&, Program&)>& onState)
{
    auto it = m_batches.find(number);
    assert(it != m_batches.end() && "a batch ends once");
    BatchState state = std::move(it->second);
    m_batches.erase(it);
    Program& program = m_programs.at(state.program);
    program.isInBatch = false;
    onState(state, program);
    std::erase_if(program.changes, [](const Change& it) { return it.isCancelled; });
    confirmHeldReservations(program);
    queue(state.program, program);
}

void TurnLedger::batchStored(std::uint64_t number, std::int64_t revision)
{
    endBatch(number, [&](const BatchState& state, Program& program) {
        // Nothing was stored between the account that the batch was based on and the batch.
        if (program.completeUpTo == state.revision)
            program.completeUpTo = revision;
        rebase(program, state.account, revision);
        dropStored(program, state.step);
        program.isStoredSingly = false;
    });
}

void TurnLedger::batchRefused(std::uint64_t number, const std::vector<StoredRecord>& current)
{
    endBatch(number, [&](const BatchState& state, Program& program) {
        std::string key = accountKey(state.program);
        auto it = std::find_if(current.begin(), current.end(), [&](const StoredRecord& record) { return record.key == key; });
        if (it != current.end())
            rebase(program, decodeAccount(it->value), it->revision);
        else if (program.revision != 0) {
            // The program's records have expired and were deleted.
            program.account = {};
            program.revision = 0;
            resetBatchEffects(program);
        }
    });
}

void TurnLedger::giveUpFirstTurn(Program& program)
{
    std::set<CallId> givenUp;
    for (Change& it : program.changes) {
        std::optional<TurnRecord>& record = it.change.record;
        if (!record || !(givenUp.empty() || givenUp.contains(record->previous)))
            continue;
        givenUp.insert(record->turn);
        removeTurn(program, record->turn);
        record.reset();
        m_outcomes.emplace_back(it.id, ChangeOutcome::Rejected);
        // What is left of the change has an outcome of its own, for which nobody waits.
        it.id = ChangeId(m_nextChange++);
    }
}

bool TurnLedger::batchRejected(std::uint64_t number)
{
    bool mayDiffer = false;
    endBatch(number, [&](const BatchState& state, Program& program) {
        auto records = std::count_if(program.changes.begin(), program.changes.end(), [&](const Change& it) { return it.change.step <= state.step && it.change.record; });
        mayDiffer = records > 0;
        if (records > 1)
            program.isStoredSingly = true;
        else if (records == 1)
            giveUpFirstTurn(program);
    });
    return mayDiffer;
}

void TurnLedger::batchOutcomeUnknown(std::uint64_t number)
{
    endBatch(number, [](const BatchState&, Program&) {});
}

std::vector<std::pair<ChangeId, ChangeOutcome>> TurnLedger::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

} // namespace basilpoint
