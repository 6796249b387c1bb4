#include "basilpoint/Turns/TurnLedger.h"

#include "LedgerKeys.h"

#include <algorithm>
#include <cassert>

namespace basilpoint {

using namespace ledgerkeys;

// With this many turns' worth of budget remaining, a reservation is almost certain to succeed.
static constexpr TokenCount turnsToRunAhead = 4;
// Turns' worth of tokens to hold while writes are slow and a reservation is almost certain to succeed.
static constexpr TokenCount turnsToHoldAhead = 2;
// How long a refusal is based on the last read and the last request to holders, since programs may retry in a loop.
static constexpr Milliseconds spentCacheDuration { 1'000 };
// How long attestations are incomplete after an account was evicted. Longer than any record is kept, so that no account
// with changes missing here exists afterwards.
static constexpr std::chrono::minutes incompleteAfterEviction { 2 };
// As above, after the last turn of a program here.
static constexpr std::chrono::minutes accountRetention { 2 };
static constexpr std::size_t programOverheadBytes = 400;
static constexpr std::size_t turnOverheadBytes = 200;

TurnLedger::TurnLedger(DaemonLifetime self, LedgerSettings settings)
    : m_self(std::move(self))
    , m_settings(std::move(settings))
{
}

TurnLedger::Program& TurnLedger::touch(const ProgramId& id)
{
    auto [it, isNew] = m_programs.try_emplace(id);
    Program& program = it->second;
    if (isNew) {
        program.recent = m_recent.insert(m_recent.end(), id);
        program.bytes = programOverheadBytes;
        m_cachedBytes += program.bytes;
    } else
        m_recent.splice(m_recent.end(), m_recent, program.recent);
    program.usedAt = m_now;
    return program;
}

TokenCount TurnLedger::usableHold(const Program& program) const
{
    auto it = program.account.holds.find(m_self);
    TokenCount hold = it == program.account.holds.end() ? 0 : it->second.tokens;
    return program.holdAfterBatch ? std::min(hold, *program.holdAfterBatch) : hold;
}

TokenCount TurnLedger::freeHold(const Program& program) const
{
    TokenCount hold = usableHold(program);
    TokenCount used = program.running + program.unsettled;
    return hold > used ? hold - used : 0;
}

TokenCount TurnLedger::spareHold(const Program& program) const
{
    auto it = program.account.holds.find(m_self);
    TokenCount hold = it == program.account.holds.end() ? 0 : it->second.tokens;
    return hold - std::min(hold, program.running + program.unsettled);
}

std::optional<std::string> TurnLedger::historyOf(const Program& program, const CallId& turn, CallId& missing)
{
    std::vector<const TurnRecord*> chain;
    std::size_t bytes = 0;
    for (CallId id = turn; !id.empty(); id = chain.back()->previous) {
        auto it = program.turns.find(id);
        if (it == program.turns.end() || chain.size() > program.turns.size()) {
            missing = id;
            return std::nullopt;
        }
        chain.push_back(it->second.get());
        bytes += it->second->input.size() + it->second->output.size();
    }
    std::string history;
    history.reserve(bytes);
    for (auto it = chain.rbegin(); it != chain.rend(); ++it)
        history.append((*it)->input).append((*it)->output);
    return history;
}

static bool isFresh(const ProgramId& program, const TurnRequest& request, const TurnKnowledge& knowledge)
{
    return program == request.program ? knowledge.isProgramFresh : knowledge.freshOrigins.contains(program);
}

// A chain is complete within each program, except in records of earlier releases, where its ancestors in other programs may
// have to be found through their origin records.
std::optional<TurnDecision> TurnLedger::importChain(const TurnRequest& request, const ProgramId& into, const CallId& turn, const TurnKnowledge& knowledge, std::size_t depth)
{
    auto known = knowledge.origins.find(turn);
    if (known == knowledge.origins.end())
        return TurnNeedsOrigin { turn };
    // A turn and the record that names its program are written atomically, so without the latter there is no turn.
    if (!known->second || depth == knowledge.origins.size())
        return TurnNotFound { turn };
    const ProgramId& id = *known->second;
    auto origin = m_programs.find(id);
    CallId missing = turn;
    auto history = id == into || origin == m_programs.end() ? std::nullopt : historyOf(origin->second, turn, missing);
    if (!history && !isFresh(id, request, knowledge))
        return TurnNeedsProgram { id };
    if (!history && missing == turn)
        return TurnNotFound { turn };
    if (!history) {
        if (auto decision = importChain(request, id, missing, knowledge, depth + 1))
            return decision;
        history = historyOf(origin->second, turn, missing);
        // Turns that name each other have no beginning.
        if (!history)
            return TurnNotFound { missing };
    }
    // Copied, since this program's records may be kept for longer than those of the other program.
    Program& program = m_programs.at(into);
    addTurn(program, { turn, {}, std::move(*history), {}, origin->second.turns.at(turn)->target });
    program.imported.insert(turn);
    return std::nullopt;
}

std::variant<std::string, TurnDecision> TurnLedger::findHistory(Program& program, const TurnRequest& request, const TurnKnowledge& knowledge)
{
    if (request.previous.empty())
        return std::string();
    CallId missing;
    if (auto history = historyOf(program, request.previous, missing))
        return std::move(*history);
    if (!knowledge.isProgramRead)
        return TurnDecision(TurnNeedsProgram { request.program, true });
    // The previous turn is usually the program's own latest one, which a stale read may have missed.
    if (!knowledge.isProgramFresh && !knowledge.origins.contains(missing))
        return TurnDecision(TurnNeedsProgram { request.program });
    if (auto decision = importChain(request, request.program, missing, knowledge, 0))
        return std::move(*decision);
    if (auto history = historyOf(program, request.previous, missing))
        return std::move(*history);
    return TurnDecision(TurnNotFound { missing });
}

TurnDecision TurnLedger::begin(const TurnRequest& request, const TurnKnowledge& knowledge, TimePoint now)
{
    m_now = now;
    Program& program = touch(request.program);
    if (!program.isKnown) {
        if (!request.previous.empty() && !knowledge.isProgramRead)
            return TurnNeedsProgram { request.program, true };
        program.isKnown = true;
    }
    auto history = findHistory(program, request, knowledge);
    if (auto* decision = std::get_if<TurnDecision>(&history))
        return *decision;
    TurnAdmitted admitted;
    admitted.history = std::move(std::get<std::string>(history));
    if (!request.previous.empty())
        admitted.lastTarget = program.turns.at(request.previous)->target;
    TurnDecision decision = reserve(program, request, knowledge, std::move(admitted), now);
    if (std::holds_alternative<TurnAdmitted>(decision))
        ++program.admitted;
    return decision;
}

// Part of a budget that is reserved for grants. An outage of seconds needs several turns' tokens; the rest must suffice
// for most programs, since taking the reserve back costs a round of calls to keepers.
static constexpr TokenCount grantReserveDivisor = 4;
// Longest time for which a known account's reserve counts. The keepers keep grants for longer, so that all grants that an
// older account lacks are among those that they return.
static constexpr std::chrono::minutes maxReserveAge { 5 };

static TokenCount reserveFor(TokenCount budget)
{
    return budget == ProgramAccount::unlimited ? 0 : budget / grantReserveDivisor;
}

// Every account of a large fleet begins with the reserve, so it is there also if the account is not known yet: what was
// taken from it since is among the grants that the keepers return.
TokenCount TurnLedger::grantAllowance(const TurnRequest& request, TimePoint now) const
{
    auto it = m_programs.find(request.program);
    bool isAccountKnown = it != m_programs.end() && it->second.revision != 0;
    // A turn that is not kept names no previous turn, so it does not show whether the program is new.
    if (!isAccountKnown)
        return request.maxTokens + (request.isKept && request.previous.empty() ? reserveFor(request.budget) : 0);
    const ProgramAccount& account = it->second.account;
    if (now - it->second.accountAt > maxReserveAge)
        return request.maxTokens;
    return request.maxTokens + std::min(account.grantReserve, unusedOf(request.program, request.budget));
}

TurnDecision TurnLedger::reserve(Program& program, const TurnRequest& request, const TurnKnowledge& knowledge, TurnAdmitted admitted, TimePoint now)
{
    if (request.budget == ProgramAccount::unlimited)
        return admitted;
    if (freeHold(program) >= request.maxTokens) {
        program.running += request.maxTokens;
        return admitted;
    }
    ProgramAccount account = program.account;
    account.budget = std::min(account.budget, request.budget);
    // Holds can be released, but spent tokens never decrease, so an old account is sufficient here.
    if (account.spent + request.maxTokens > account.budget)
        return TurnBudgetSpent { true, account.budget, account.spent, account.held(), account.spent + request.maxTokens - account.budget, {} };
    if (!knowledge.mayReserve) {
        admitted.needsGrant = true;
        return admitted;
    }
    if (!knowledge.outstanding)
        return TurnNeedsGrants {};
    // Grants of one turn's tokens may exceed the budget, so they need no room in it.
    TokenCount reserved = *knowledge.outstanding - std::min(*knowledge.outstanding, request.maxTokens);
    bool isNew = program.revision == 0 && account.spent == 0 && account.holds.empty();
    std::optional<TokenCount> reserve;
    if (isNew && knowledge.reservesForGrants)
        reserve = reserveFor(account.budget);
    // What has been granted from the reserve stays set aside in the account, also from other daemons' reservations.
    if (knowledge.isReserveClosed) {
        reserve = std::min(reserve.value_or(account.grantReserve), reserved);
        reserved -= *reserve;
    }
    account.grantReserve = reserve.value_or(account.grantReserve);
    TokenCount remaining = account.remaining();
    for (const Change& it : program.changes)
        if (it.change.kind == AccountChange::Kind::Reserve)
            remaining -= std::min(remaining, it.change.maxTokens);
    // The answer of a turn that is not kept does not wait for its settlement, so the next turn may come before it.
    bool awaitsSettlement = !request.isKept && remaining < request.maxTokens + reserved && remaining + spareHold(program) >= request.maxTokens + reserved;
    if (remaining < request.maxTokens + reserved && !awaitsSettlement) {
        bool isRecentlySeen = program.seenSpentAt != TimePoint::min() && now - program.seenSpentAt < spentCacheDuration;
        bool isFresh = knowledge.isProgramFresh || knowledge.isBudgetFresh;
        if (!isFresh && !isRecentlySeen)
            return TurnNeedsProgram { request.program, false, true };
        if (isFresh && account.grantReserve > 0 && !knowledge.isReserveClosed)
            return TurnNeedsReserve {};
        if (isFresh)
            program.seenSpentAt = now;
        return TurnBudgetSpent { remaining < request.maxTokens, account.budget, account.spent, account.held(), request.maxTokens + reserved - remaining, holdersToAsk(program, request, now) };
    }
    program.running += request.maxTokens;
    admitted.mayRunAhead = remaining >= turnsToRunAhead * request.maxTokens;
    // The settlement of a turn that is not kept tops up nothing while it is deferred, so its reservation takes more.
    bool holdsAhead = knowledge.holdsAhead || !request.isKept;
    TokenCount taken = holdsAhead && admitted.mayRunAhead ? turnsToHoldAhead * request.maxTokens : request.maxTokens;
    admitted.reservation = addChange(request.program, program, { AccountChange::Kind::Reserve, m_nextStep++, taken, 0, reserved, request.budget, request.keepUntil, {}, 0, reserve });
    program.changes.back().needed = request.maxTokens;
    program.changes.back().mayReduce = !request.isKept;
    return admitted;
}

// Turns whose pieces are not all among the records are left out: they are found by reading all records.
static std::vector<TurnRecord> joinTurns(const ProgramId& id, const std::vector<StoredRecord>& records)
{
    std::string heads = splitTurnPrefix(id);
    std::string prefix = piecePrefix(id);
    std::map<std::string_view, const std::string*> pieces;
    for (const StoredRecord& it : records)
        if (it.key.starts_with(prefix))
            pieces[it.key] = &it.value;
    auto find = [&](const std::string& name) {
        auto it = pieces.find(prefix + name);
        return it == pieces.end() ? nullptr : it->second;
    };
    std::vector<TurnRecord> turns;
    for (const StoredRecord& it : records)
        if (it.key.starts_with(heads))
            if (auto turn = SplitTurn::join(it.value, find))
                turns.push_back(std::move(*turn));
    return turns;
}

void TurnLedger::recordsRead(const ProgramId& id, const std::vector<StoredRecord>& records)
{
    Program& program = touch(id);
    program.isKnown = true;
    std::string account = accountKey(id);
    std::string prefix = turnPrefix(id);
    std::vector<TurnRecord> turns = joinTurns(id, records);
    for (const StoredRecord& it : records) {
        if (it.key == account)
            rebase(program, decodeAccount(it.value), it.revision);
        else if (it.key.compare(0, prefix.size(), prefix) == 0)
            turns.push_back(decodeTurn(it.value));
    }
    for (TurnRecord& it : turns)
        addTurn(program, std::move(it));
    evict();
}

void TurnLedger::allRecordsRead(const ProgramId& id, const std::vector<StoredRecord>& records)
{
    recordsRead(id, records);
    std::string account = accountKey(id);
    auto it = std::find_if(records.begin(), records.end(), [&](const StoredRecord& record) { return record.key == account; });
    auto program = m_programs.find(id);
    if (it != records.end() && program != m_programs.end())
        program->second.completeUpTo = std::max(program->second.completeUpTo, it->revision);
}

DataCentreId TurnLedger::commitDataCentreOf(const ProgramId& id) const
{
    auto it = m_programs.find(id);
    return it == m_programs.end() || it->second.account.commitDataCentre.empty() ? m_settings.dataCentre : it->second.account.commitDataCentre;
}

std::int64_t TurnLedger::completeUpTo(const ProgramId& id) const
{
    auto it = m_programs.find(id);
    return it == m_programs.end() ? 0 : it->second.completeUpTo;
}

std::optional<ChangeId> TurnLedger::end(const TurnRequest& request, TokenCount handedOut, std::optional<TurnRecord> record, const TurnEnd& end)
{
    Program& program = touch(request.program);
    program.admitted -= std::min<std::size_t>(program.admitted, 1);
    if (request.budget != ProgramAccount::unlimited && !end.neededGrant) {
        assert(program.running >= request.maxTokens && "a turn ends once");
        program.running -= request.maxTokens;
    }
    if (end.reservation)
        cancel(program, *end.reservation);
    if (!record && handedOut == 0) {
        // The reservation of a turn that did not run stays with this daemon. With little budget remaining it is
        // released at once; otherwise other daemons would refuse the program until it sends a turn here again.
        if (request.budget != ProgramAccount::unlimited && program.account.remaining() < turnsLeftToKeep * request.maxTokens)
            releaseHold(request.program);
        return std::nullopt;
    }
    bool mustStore = record.has_value();
    if (record)
        addTurn(program, *record);
    // Granted tokens are not part of the hold.
    if (end.grant == 0)
        program.unsettled += handedOut;
    bool isAmple = program.account.remaining() >= turnsToRunAhead * request.maxTokens;
    bool holdsAhead = end.holdsAhead || !request.isKept;
    TokenCount kept = end.mayMissGrants ? 0 : holdsAhead && isAmple ? turnsToHoldAhead * request.maxTokens
                                                                    : request.maxTokens;
    auto reserve = end.grant != 0 && end.reservesForGrants ? std::optional(reserveFor(request.budget)) : std::nullopt;
    if (record)
        addImports(request, program, record->previous, reserve);
    AccountChange change { AccountChange::Kind::Settle, m_nextStep++, kept, handedOut, 0, request.budget, request.keepUntil, std::move(record), end.grant, reserve };
    // While the hold covers the program's next turn, nothing depends on the write.
    bool mayDefer = !request.isKept && end.grant == 0 && freeHold(program) >= request.maxTokens;
    ChangeId id = mayDefer ? deferChange(request.program, program, std::move(change)) : addChange(request.program, program, std::move(change));
    evict();
    return mustStore || end.grant != 0 ? std::optional(id) : std::nullopt;
}

// As changes, imported chains take every way that the turn itself takes: batches, journal entries and the uploads of keepers.
void TurnLedger::addImports(const TurnRequest& request, Program& program, const CallId& turn, std::optional<TokenCount> reserve)
{
    CallId id = turn;
    for (auto it = program.turns.find(id); it != program.turns.end(); it = program.turns.find(id)) {
        if (program.imported.erase(id) > 0)
            addChange(request.program, program, { AccountChange::Kind::Settle, m_nextStep++, 0, 0, 0, request.budget, request.keepUntil, *it->second, 0, reserve });
        id = it->second->previous;
    }
}

std::optional<ChangeId> TurnLedger::releaseHold(const ProgramId& id)
{
    auto it = m_programs.find(id);
    if (it == m_programs.end() || freeHold(it->second) == 0)
        return std::nullopt;
    const ProgramAccount& account = it->second.account;
    return addChange(id, it->second, { AccountChange::Kind::Settle, m_nextStep++, 0, 0, 0, account.budget, account.keepUntil });
}

// Rate-limited, so that programs that retry in a loop after a refusal do not overload the holders.
std::map<DaemonLifetime, TokenCount> TurnLedger::holdersToAsk(Program& program, const TurnRequest& request, TimePoint now) const
{
    bool isRecentlyAsked = program.askedHoldersAt != TimePoint::min() && now - program.askedHoldersAt < spentCacheDuration;
    std::map<DaemonLifetime, TokenCount> holders;
    if (isRecentlyAsked || program.account.spent + request.maxTokens > std::min(program.account.budget, request.budget))
        return holders;
    for (const auto& [daemon, hold] : program.account.holds)
        if (daemon != m_self && hold.tokens > 0)
            holders[daemon] = hold.tokens;
    if (!holders.empty())
        program.askedHoldersAt = now;
    return holders;
}

// Drops the reservation of an ended turn, whose tokens would be withheld from other daemons.
void TurnLedger::cancel(Program& program, ChangeId id)
{
    for (Change& it : program.changes)
        it.isCancelled = it.isCancelled || it.id == id;
    if (!program.isInBatch)
        std::erase_if(program.changes, [](const Change& it) { return it.isCancelled; });
}

ChangeId TurnLedger::addChange(const ProgramId& id, Program& program, AccountChange change)
{
    ChangeId number(m_nextChange++);
    Change& added = program.changes.emplace_back();
    added.id = number;
    added.change = std::move(change);
    queue(id, program);
    return number;
}

ChangeId TurnLedger::deferChange(const ProgramId& id, Program& program, AccountChange change)
{
    m_deferred.emplace_back(m_now, id);
    bool canMerge = !program.changes.empty() && !program.changes.back().wasSent && program.changes.back().change.kind == AccountChange::Kind::Settle && program.changes.back().change.grant == 0 && !program.changes.back().change.record;
    if (!canMerge) {
        Change& added = program.changes.emplace_back();
        added.id = ChangeId(m_nextChange++);
        added.change = std::move(change);
        return added.id;
    }
    Change& last = program.changes.back();
    last.change.used += change.used;
    last.change.maxTokens = std::max(last.change.maxTokens, change.maxTokens);
    last.change.budget = std::min(last.change.budget, change.budget);
    last.change.keepUntil = std::max(last.change.keepUntil, change.keepUntil);
    return last.id;
}

void TurnLedger::writeDeferred(TimePoint now)
{
    while (!m_deferred.empty() && now - maxDeferral >= m_deferred.front().first) {
        auto program = m_programs.find(m_deferred.front().second);
        if (program != m_programs.end())
            queue(program->first, program->second);
        m_deferred.pop_front();
    }
}

std::optional<JournalEntry> TurnLedger::entryFor(const ProgramId& id, ChangeId change) const
{
    auto program = m_programs.find(id);
    if (program == m_programs.end())
        return std::nullopt;
    JournalEntry entry { id, m_self, {} };
    for (const Change& it : program->second.changes) {
        AccountChange& kept = entry.changes.emplace_back(it.change);
        kept.maxTokens = 0;
        kept.outstanding = 0;
        if (it.id == change)
            return entry;
    }
    return std::nullopt;
}

bool TurnLedger::isEntryTooLarge(const ProgramId& id, ChangeId change) const
{
    auto program = m_programs.find(id);
    if (program == m_programs.end())
        return false;
    std::size_t bytes = 0;
    for (const Change& it : program->second.changes) {
        bytes += it.change.record ? SplitTurn::bytesOf(*it.change.record) : 0;
        if (it.id == change)
            break;
    }
    return bytes > m_settings.maxValueBytes;
}

TokenCount TurnLedger::remainingOf(const ProgramId& id, TokenCount budget) const
{
    auto program = m_programs.find(id);
    ProgramAccount account = program == m_programs.end() ? ProgramAccount {} : program->second.account;
    account.budget = std::min(account.budget, budget);
    return account.remaining();
}

TokenCount TurnLedger::unusedOf(const ProgramId& id, TokenCount budget) const
{
    auto program = m_programs.find(id);
    ProgramAccount account = program == m_programs.end() ? ProgramAccount {} : program->second.account;
    account.budget = std::min(account.budget, budget);
    account.grantReserve = 0;
    return account.remaining();
}

std::vector<StoredRecord> TurnLedger::recordsOf(const ProgramId& id, const Program& program) const
{
    std::vector<StoredRecord> records;
    if (program.revision != 0)
        records.push_back({ accountKey(id), encodeAccount(program.account), program.revision });
    // Others read the large ones from the store.
    for (const auto& [turn, record] : program.turns)
        if (!isSplit(*record))
            records.push_back({ turnKey(id, turn), encodeTurn(*record), 0 });
    return records;
}

AccountAttestation TurnLedger::attest(const ProgramId& id, bool isBinding)
{
    AccountAttestation attestation;
    attestation.isComplete = isBinding && (!m_evictedAt || m_now - *m_evictedAt > incompleteAfterEviction);
    auto program = m_programs.find(id);
    if (program == m_programs.end())
        return attestation;
    attestation.records = recordsOf(id, program->second);
    attestation.unconfirmedTokens = program->second.unconfirmedTokens;
    for (Change& it : program->second.changes)
        it.isVoided = it.isVoided || isBinding;
    return attestation;
}

std::vector<KnownAccount> TurnLedger::knownAccounts(TimePoint now) const
{
    std::vector<KnownAccount> accounts;
    for (const auto& [id, program] : m_programs)
        if (program.revision != 0 && now - accountRetention <= program.usedAt)
            accounts.push_back({ id, { accountKey(id), encodeAccount(program.account), program.revision } });
    return accounts;
}

void TurnLedger::adopt(const ProgramId& id, const std::vector<TurnRecord>& turns)
{
    Program& program = touch(id);
    for (const TurnRecord& it : turns)
        addTurn(program, it);
    evict();
}

void TurnLedger::queue(const ProgramId& id, Program& program)
{
    if (program.isQueued || program.isInBatch || program.changes.empty())
        return;
    program.isQueued = true;
    m_waiting.push_back(id);
}

void TurnLedger::addTurn(Program& program, TurnRecord record)
{
    auto& slot = program.turns[record.turn];
    if (slot)
        return;
    std::size_t bytes = turnOverheadBytes + record.input.size() + record.output.size();
    program.bytes += bytes;
    m_cachedBytes += bytes;
    slot = std::make_shared<const TurnRecord>(std::move(record));
}

void TurnLedger::removeTurn(Program& program, const CallId& turn)
{
    auto node = program.turns.extract(turn);
    if (!node)
        return;
    std::size_t bytes = turnOverheadBytes + node.mapped()->input.size() + node.mapped()->output.size();
    program.bytes -= bytes;
    m_cachedBytes -= bytes;
}

void TurnLedger::evict()
{
    auto it = m_recent.begin();
    while (m_cachedBytes > m_settings.maxCachedBytes && it != m_recent.end() && std::next(it) != m_recent.end()) {
        const Program& program = m_programs.at(*it);
        // Imported chains that running turns continue exist only here.
        bool isBusy = program.admitted > 0 || !program.changes.empty() || program.isInBatch || program.isQueued;
        if (isBusy) {
            ++it;
            continue;
        }
        m_cachedBytes -= program.bytes;
        m_evictedAt = m_now;
        m_programs.erase(*it);
        it = m_recent.erase(it);
    }
}

} // namespace basilpoint
