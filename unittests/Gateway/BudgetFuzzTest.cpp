#include "../Turns/LedgerStore.h"

#include "basilpoint/Gateway/CommitTracker.h"

#include "basilpoint/Turns/TurnJournal.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;

namespace {

constexpr TokenCount maxTokens = 20;
constexpr TokenCount budget = 100;
constexpr int daemons = 3;

struct RunningTurn {
    TurnRequest request;
    std::optional<ChangeId> reservation;
    bool isReserved = false;
    bool needsGrant = false;
    /// Step of its grant; 0 for none.
    std::uint64_t grant = 0;
    TokenCount granted = 0;
    /// Whether its reservation has been denied.
    bool isDenied = false;
};

/// Daemons with separate ledgers and one store, which loses some responses and executes some writes late. While the
/// store is down, turns run under grants in a shared journal, and a keeper that tracked the commits attests the
/// changes of restarted daemons. Counts the tokens handed out to callers.
///
/// In a large fleet nothing is attested; grants use a reserve that accounts set aside.
class Fleet {
public:
    /// \param keepsTurns whether turns are recorded and continue each other.
    Fleet(bool isLarge, bool keepsTurns)
        : m_isLarge(isLarge)
        , m_keepsTurns(keepsTurns)
    {
        for (int n = 0; n < daemons; ++n)
            restart(n);
    }

    void restart(int n)
    {
        m_knowsAllChanges[n] = m_ledgers[n] == nullptr;
        m_ledgers[n] = std::make_unique<TurnLedger>(DaemonLifetime("d" + std::to_string(m_nextLifetime++)), LedgerSettings {});
        m_running[n].clear();
        m_unstored[n].clear();
        m_underGrant[n].clear();
    }

    void begin(int n)
    {
        TurnRequest request { ProgramId("p"), CallId("t" + std::to_string(m_nextTurn++)), m_last, budget, maxTokens, {}, m_keepsTurns };
        auto admitted = admit(n, request);
        if (!admitted)
            return;
        RC_ASSERT(admitted->history == m_history[m_last]);
        m_running[n].push_back({ request, admitted->reservation, !admitted->reservation && !admitted->needsGrant, admitted->needsGrant });
        if (admitted->needsGrant)
            takeGrant(n, m_running[n].back());
    }

    /// A turn that has used up its grant is admitted again, to reserve its tokens.
    void reserveDespiteGrant(int n)
    {
        auto it = std::find_if(m_running[n].begin(), m_running[n].end(), [](const RunningTurn& turn) { return turn.grant != 0 && !turn.isReserved && (!turn.reservation || turn.isDenied); });
        if (m_isStoreDown || it == m_running[n].end())
            return;
        TurnRequest request = it->request;
        request.previous = CallId();
        // The keepers count its own grant in full until it ends.
        auto admitted = admit(n, request, maxTokens - it->granted);
        if (!admitted)
            return;
        TurnEnd end;
        end.reservation = admitted->needsGrant ? admitted->reservation : it->reservation;
        end.neededGrant = admitted->needsGrant || it->needsGrant;
        m_ledgers[n]->end(request, 0, std::nullopt, end);
        if (admitted->needsGrant)
            return;
        it->needsGrant = false;
        it->isDenied = false;
        it->reservation = admitted->reservation;
        it->isReserved = !admitted->reservation;
    }

    void writeDeferred(int n) { m_ledgers[n]->writeDeferred(TimePoint::max()); }

    void toggleStore() { m_isStoreDown = !m_isStoreDown; }

    /// A keeper stores the oldest entry that a daemon appended to the keepers' journals.
    void upload()
    {
        if (m_isStoreDown || m_kept.empty())
            return;
        JournalEntry entry = m_kept.front();
        m_kept.pop_front();
        std::string key = TurnLedger::accountKey(entry.program);
        std::int64_t revision = 0;
        ProgramAccount account;
        for (const StoredRecord& it : m_store.recordsWithPrefix(key)) {
            account = decodeAccount(it.value);
            revision = it.revision;
        }
        LedgerBatch batch { 0, { { key, revision } }, {} };
        for (const TurnRecord& it : applyEntry(account, entry))
            batch.puts.emplace_back(TurnLedger::turnKey(entry.program, it.turn), encodeTurn(it));
        batch.puts.emplace_back(key, encodeAccount(account));
        std::int64_t stored = m_store.commit(batch);
        RC_ASSERT(stored > 0);
        trackResponse(batch, stored, {});
    }

    enum class WriteResult {
        /// Executed late or never.
        Lost,
        /// Executed, but the response of the store is lost before it reaches the keeper.
        StoreResponseLost,
        /// Executed, but the response is lost between the keeper and the daemon.
        KeeperResponseLost,
        /// Executed without the keeper, and the response is lost.
        Direct,
        Answered,
    };

    void write(int n, WriteResult result)
    {
        auto batch = m_ledgers[n]->nextBatch();
        if (!batch)
            return;
        if (m_isStoreDown)
            result = WriteResult::Lost;
        std::int64_t revision = result == WriteResult::Lost ? 0 : m_store.commit(*batch);
        std::vector<StoredRecord> current = m_store.conditionRecords(*batch);
        switch (result) {
        case WriteResult::Lost:
            m_late.push_back(*batch);
            m_commits.markUnknown(transactionOf(*batch), m_now);
            break;
        case WriteResult::StoreResponseLost:
            m_commits.markUnknown(transactionOf(*batch), m_now);
            break;
        case WriteResult::Direct:
            m_hasDirectCommit[n] = true;
            break;
        case WriteResult::KeeperResponseLost:
        case WriteResult::Answered:
            trackResponse(*batch, revision, current);
            break;
        }
        if (result != WriteResult::Answered)
            m_ledgers[n]->batchOutcomeUnknown(batch->number);
        else if (revision > 0)
            m_ledgers[n]->batchStored(batch->number, revision);
        else
            m_ledgers[n]->batchRefused(batch->number, current);
        takeOutcomes(n);
    }

    void executeLate()
    {
        if (m_late.empty() || m_isStoreDown)
            return;
        m_store.commit(m_late.front());
        m_late.pop_front();
    }

    void end(int n, TokenCount used, bool isComplete)
    {
        if (m_running[n].empty())
            return;
        RunningTurn turn = m_running[n].front();
        m_running[n].erase(m_running[n].begin());
        // During an outage, a turn whose reservation is not stored runs under a grant.
        if (!turn.isReserved && m_isStoreDown && turn.grant == 0)
            takeGrant(n, turn);
        TurnEnd end;
        end.reservation = turn.reservation;
        end.grant = turn.grant;
        end.neededGrant = turn.needsGrant;
        end.mayMissGrants = m_hadOutage && !m_isLarge;
        end.reservesForGrants = m_isLarge;
        end.holdsAhead = m_nextTurn % 2 == 0;
        if (!turn.isReserved && turn.grant == 0) {
            m_ledgers[n]->end(turn.request, 0, std::nullopt, end);
            return;
        }
        if (turn.grant != 0) {
            used = std::min(used, turn.isReserved ? maxTokens : turn.granted);
            appendGrantEntry(AccountChange::Kind::GrantEnd, n, turn.grant, 1, used);
        }
        m_handedOut += used;
        // Outages may exceed the budget by one turn's maximum tokens.
        RC_ASSERT(m_handedOut <= budget + (m_hadOutage ? maxTokens : 0));
        if (!isComplete || !m_keepsTurns) {
            auto change = m_ledgers[n]->end(turn.request, used, std::nullopt, end);
            if (change && turn.grant != 0 && !m_keepsTurns)
                m_underGrant[n][*change] = turn.grant;
            return;
        }
        TurnRecord record { turn.request.turn, turn.request.previous, turn.request.turn.text() + ":", "out;", {} };
        auto change = m_ledgers[n]->end(turn.request, used, record, end);
        m_unstored[n][*change] = record;
        if (turn.grant != 0)
            m_underGrant[n][*change] = turn.grant;
        if (m_isStoreDown)
            m_kept.push_back(*m_ledgers[n]->entryFor(ProgramId("p"), *change));
    }

private:
    /// \param moreOutstanding tokens that the keepers count beyond the grants of the model.
    std::optional<TurnAdmitted> admit(int n, const TurnRequest& request, TokenCount moreOutstanding = 0)
    {
        TurnLedger& ledger = *m_ledgers[n];
        TurnKnowledge knowledge;
        knowledge.mayReserve = !m_isStoreDown;
        knowledge.holdsAhead = m_nextTurn % 3 == 0;
        knowledge.outstanding = m_isLarge ? 0 : outstandingTokens(m_grants) + moreOutstanding;
        knowledge.reservesForGrants = m_isLarge;
        TurnDecision decision = ledger.begin(request, knowledge, m_now);
        if (std::holds_alternative<TurnNeedsProgram>(decision)) {
            if (m_isStoreDown)
                return std::nullopt;
            ledger.recordsRead(request.program, m_store.recordsWithPrefix(TurnLedger::programPrefix(request.program)));
            knowledge.isProgramRead = knowledge.isProgramFresh = true;
            decision = ledger.begin(request, knowledge, m_now);
        }
        if (std::holds_alternative<TurnNeedsReserve>(decision)) {
            appendGrantEntry(AccountChange::Kind::ReserveClosed, n, ledger.allocateGrantSteps(), 0, 0);
            ++m_closings;
            knowledge.isReserveClosed = true;
            knowledge.outstanding = outstandingTokens(m_grants) + moreOutstanding;
            decision = ledger.begin(request, knowledge, m_now);
        }
        auto* spent = std::get_if<TurnBudgetSpent>(&decision);
        if (spent && spent->isCertain && !spent->holders.empty()) {
            knowledge.mayReserve = false;
            decision = ledger.begin(request, knowledge, m_now);
        }
        auto* admitted = std::get_if<TurnAdmitted>(&decision);
        return admitted ? std::optional(*admitted) : std::nullopt;
    }

    static KeyTransaction transactionOf(const LedgerBatch& batch)
    {
        KeyTransaction transaction;
        for (const auto& [key, revision] : batch.conditions)
            transaction.conditions.push_back({ key, revision });
        for (const auto& [key, value] : batch.puts)
            transaction.puts.push_back({ key, value });
        return transaction;
    }

    /// The keeper receives the store's response.
    void trackResponse(const LedgerBatch& batch, std::int64_t revision, const std::vector<StoredRecord>& current)
    {
        if (revision > 0)
            return m_commits.stored(transactionOf(batch), revision, m_now);
        std::vector<KeyValue> items;
        items.reserve(current.size());
        for (const StoredRecord& it : current)
            items.push_back({ it.key, it.value, it.revision });
        m_commits.refused(transactionOf(batch), items, m_now);
    }

    void appendGrantEntry(AccountChange::Kind kind, int n, std::uint64_t grant, std::uint64_t offset, TokenCount tokens)
    {
        AccountChange change;
        change.kind = kind;
        change.step = grant + offset;
        change.grant = offset == 0 ? 0 : grant;
        (offset == 0 ? change.maxTokens : change.used) = tokens;
        m_grants.push_back({ ProgramId("p"), m_ledgers[n]->self(), { change } });
    }

    void takeGrant(int n, RunningTurn& turn)
    {
        TokenCount allowance = m_isLarge ? reservedAllowance(n, turn) : attestedAllowance(n);
        TokenCount before = grantedTokens(m_grants);
        if (before + 1 > allowance)
            return;
        m_hadOutage = true;
        turn.grant = m_ledgers[n]->allocateGrantSteps();
        turn.granted = std::min(maxTokens, allowance - before);
        appendGrantEntry(AccountChange::Kind::Grant, n, turn.grant, 0, turn.granted);
    }

    TokenCount reservedAllowance(int n, const RunningTurn& turn) const
    {
        if (!m_isStoreDown || isReserveClosed(m_grants))
            return maxTokens;
        return m_ledgers[n]->grantAllowance(turn.request, m_now);
    }

    TokenCount attestedAllowance(int n)
    {
        ProgramId program("p");
        bool isComplete = true;
        bool needsKeeper = false;
        TokenCount unconfirmedTokens = 0;
        auto take = [&](const AccountAttestation& attestation) {
            isComplete = isComplete && attestation.isComplete;
            unconfirmedTokens = std::max(unconfirmedTokens, attestation.unconfirmedTokens);
            m_ledgers[n]->recordsRead(program, attestation.records);
        };
        for (int k = 0; k < daemons; ++k) {
            take(m_ledgers[k]->attest(program, m_isStoreDown));
            isComplete = isComplete && (m_knowsAllChanges[k] || !m_hasDirectCommit[k]);
            needsKeeper = needsKeeper || !m_knowsAllChanges[k];
        }
        if (needsKeeper)
            take(m_commits.attest(program, {}, m_now));
        TokenCount remaining = m_ledgers[n]->remainingOf(program, budget);
        return isComplete ? std::max(maxTokens, remaining - std::min(remaining, unconfirmedTokens)) : maxTokens;
    }

    void takeOutcomes(int n)
    {
        for (auto [id, outcome] : m_ledgers[n]->takeOutcomes()) {
            for (RunningTurn& it : m_running[n]) {
                it.isReserved = it.isReserved || (it.reservation == id && outcome == ChangeOutcome::Stored);
                it.isDenied = it.isDenied || (it.reservation == id && outcome == ChangeOutcome::Denied);
            }
            if (auto grant = m_underGrant[n].find(id); grant != m_underGrant[n].end())
                appendGrantEntry(AccountChange::Kind::GrantStored, n, grant->second, 2, 0);
            auto record = m_unstored[n].find(id);
            if (record == m_unstored[n].end() || outcome != ChangeOutcome::Stored)
                continue;
            // The turn is acknowledged, so every daemon must find it and its chain from now on.
            const TurnRecord& turn = record->second;
            RC_ASSERT(m_store.has(TurnLedger::turnKey(ProgramId("p"), turn.turn)));
            m_history[turn.turn] = m_history[turn.previous] + turn.input + turn.output;
            m_last = turn.turn;
            m_unstored[n].erase(record);
        }
    }

    TimePoint m_now { std::chrono::hours(1) };
    LedgerStore m_store;
    std::unique_ptr<TurnLedger> m_ledgers[daemons];
    std::vector<RunningTurn> m_running[daemons];
    std::deque<LedgerBatch> m_late;
    /// Per daemon, since each ledger numbers its changes separately.
    std::map<ChangeId, TurnRecord> m_unstored[daemons];
    std::map<ChangeId, std::uint64_t> m_underGrant[daemons];
    std::vector<JournalEntry> m_grants;
    std::deque<JournalEntry> m_kept;
    bool m_isStoreDown = false;
    bool m_hadOutage = false;
    /// Whether the daemon was never restarted, so that it knows all of its changes.
    bool m_knowsAllChanges[daemons] = {};
    /// Whether a lifetime of the daemon committed directly, without the keeper.
    bool m_hasDirectCommit[daemons] = {};
    CommitTracker m_commits { 1'000'000, true, m_now };
    std::map<CallId, std::string> m_history { { CallId(), "" } };
    CallId m_last;
    bool m_isLarge;
    bool m_keepsTurns;
    TokenCount m_handedOut = 0;
    int m_closings = 0;
    int m_nextTurn = 0;
    int m_nextLifetime = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BudgetFuzzTest)

// The budget is never exceeded and no acknowledged turn is lost, for any interleaving of late writes, lost responses,
// outages and restarts.
RC_BOOST_PROP(budgetIsNotExceededDespiteLostResponsesAndRestarts, ())
{
    Fleet fleet(*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
    auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(rc::gen::inRange(0, 30), rc::gen::inRange(0, daemons), rc::gen::inRange(0, 100)));
    for (auto [kind, n, draw] : steps) {
        if (kind < 7)
            fleet.begin(n);
        else if (kind < 15)
            fleet.write(n, draw < 15 ? Fleet::WriteResult::Lost : draw < 25 ? Fleet::WriteResult::StoreResponseLost
                    : draw < 32                                             ? Fleet::WriteResult::KeeperResponseLost
                    : draw < 34                                             ? Fleet::WriteResult::Direct
                                                                            : Fleet::WriteResult::Answered);
        else if (kind < 22)
            fleet.end(n, draw % 2 == 0 ? maxTokens : static_cast<TokenCount>(draw) % (maxTokens + 1), draw % 4 != 0);
        else if (kind == 22)
            fleet.executeLate();
        else if (kind < 25)
            fleet.toggleStore();
        else if (kind == 25)
            fleet.upload();
        else if (kind < 28) {
            if (draw < 8)
                fleet.restart(n);
        } else
            fleet.writeDeferred(n);
    }
}

static void playShortOutages(bool isLarge, bool keepsTurns)
{
    constexpr std::size_t stepCount = 100;
    Fleet fleet(isLarge, keepsTurns);
    auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(stepCount, rc::gen::tuple(rc::gen::inRange(0, 24), rc::gen::inRange(0, daemons), rc::gen::inRange(0, 100)));
    for (auto [kind, n, draw] : steps) {
        if (kind < 6)
            fleet.begin(n);
        else if (kind < 12)
            fleet.write(n, draw < 10 ? Fleet::WriteResult::Lost : Fleet::WriteResult::Answered);
        else if (kind < 15)
            fleet.end(n, draw % 2 == 0 ? maxTokens : static_cast<TokenCount>(draw) % (maxTokens + 1), draw % 4 != 0);
        else if (kind == 15)
            fleet.executeLate();
        else if (kind < 18)
            fleet.toggleStore();
        else if (kind == 18)
            fleet.upload();
        else
            fleet.reserveDespiteGrant(n);
    }
}

// As above, for many short outages in which turns use up their grants.
RC_BOOST_PROP(budgetOfLargeFleetIsNotExceededByTurnsThatReserveMoreThanTheirGrants, ())
{
    playShortOutages(true, *rc::gen::arbitrary<bool>());
}

RC_BOOST_PROP(budgetOfSmallFleetIsNotExceededByTurnsThatReserveMoreThanTheirGrants, ())
{
    playShortOutages(false, *rc::gen::arbitrary<bool>());
}

BOOST_AUTO_TEST_SUITE_END()
