#include "LedgerStore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;

namespace {

constexpr TokenCount most = 20;
constexpr TokenCount budget = 150;
constexpr int daemons = 3;

struct RunningTurn {
    TurnRequest request;
    std::optional<ChangeId> reservation;
    bool isReserved = false;
};

/// Daemons with ledgers of their own before one store, whose answers are lost at times and which executes some
/// writes late. Keeps count of the tokens that callers got.
class Fleet {
public:
    Fleet()
    {
        for (int n = 0; n < daemons; ++n)
            restart(n);
    }

    void restart(int n)
    {
        m_ledgers[n] = std::make_unique<TurnLedger>(DaemonLifetime("d" + std::to_string(m_nextLifetime++)), LedgerSettings {});
        m_running[n].clear();
        m_unstored[n].clear();
    }

    void begin(int n)
    {
        TurnLedger& ledger = *m_ledgers[n];
        TurnRequest request { ProgramId("p"), CallId("t" + std::to_string(m_nextTurn++)), m_last, budget, most, {} };
        TurnKnowledge knowledge;
        TurnVerdict verdict = ledger.begin(request, knowledge, m_now);
        if (std::holds_alternative<TurnNeedsProgram>(verdict)) {
            ledger.programRead(request.program, m_store.below(TurnLedger::programPrefix(request.program)));
            knowledge.isProgramRead = knowledge.isProgramFresh = true;
            verdict = ledger.begin(request, knowledge, m_now);
        }
        auto* admitted = std::get_if<TurnAdmitted>(&verdict);
        if (!admitted)
            return;
        RC_ASSERT(admitted->history == m_history[m_last]);
        m_running[n].push_back({ request, admitted->reservation, !admitted->reservation });
    }

    void write(int n, int fate)
    {
        auto batch = m_ledgers[n]->nextBatch();
        if (!batch)
            return;
        if (fate == 0) { // Never executed, or later.
            m_ledgers[n]->batchLost(batch->number);
            m_late.push_back(*batch);
        } else if (fate == 1) { // Executed, but the answer is lost.
            m_store.commit(*batch);
            m_ledgers[n]->batchLost(batch->number);
        } else {
            auto revision = m_store.commit(*batch);
            if (revision > 0)
                m_ledgers[n]->batchStored(batch->number, revision);
            else
                m_ledgers[n]->batchRefused(batch->number, m_store.conditionKeys(*batch));
        }
        takeOutcomes(n);
    }

    void executeLate()
    {
        if (m_late.empty())
            return;
        m_store.commit(m_late.front());
        m_late.pop_front();
    }

    void end(int n, TokenCount used, bool isWhole)
    {
        if (m_running[n].empty())
            return;
        RunningTurn turn = m_running[n].front();
        m_running[n].erase(m_running[n].begin());
        if (!turn.isReserved) {
            m_ledgers[n]->end(turn.request, 0, std::nullopt, { turn.reservation });
            return;
        }
        m_handedOut += used;
        RC_ASSERT(m_handedOut <= budget);
        if (!isWhole) {
            m_ledgers[n]->end(turn.request, used, std::nullopt, { turn.reservation });
            return;
        }
        TurnRecord record { turn.request.turn, turn.request.previous, turn.request.turn.text() + ":", "out;", {} };
        auto change = m_ledgers[n]->end(turn.request, used, record, { turn.reservation });
        m_unstored[n][*change] = record;
    }

private:
    void takeOutcomes(int n)
    {
        for (auto [id, outcome] : m_ledgers[n]->takeOutcomes()) {
            for (RunningTurn& it : m_running[n])
                it.isReserved = it.isReserved || (it.reservation == id && outcome == ChangeOutcome::Stored);
            auto record = m_unstored[n].find(id);
            if (record == m_unstored[n].end() || outcome != ChangeOutcome::Stored)
                continue;
            // Acknowledged: from now on every daemon must find it, with its chain.
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
    /// Ids of changes are each ledger's own.
    std::map<ChangeId, TurnRecord> m_unstored[daemons];
    std::map<CallId, std::string> m_history { { CallId(), "" } };
    CallId m_last;
    TokenCount m_handedOut = 0;
    int m_nextTurn = 0;
    int m_nextLifetime = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BudgetFuzzTest)

// Tokens never pass the budget and no acknowledged turn is lost, whatever is interleaved, lost, late or restarted.
RC_BOOST_PROP(budgetHoldsOverDaemonsLostAnswersAndRestarts, ())
{
    Fleet fleet;
    auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(rc::gen::inRange(0, 24), rc::gen::inRange(0, daemons), rc::gen::inRange(0, 100)));
    for (auto [kind, n, draw] : steps) {
        if (kind < 7)
            fleet.begin(n);
        else if (kind < 15)
            fleet.write(n, draw < 15 ? 0 : draw < 30 ? 1
                                                     : 2);
        else if (kind < 22)
            fleet.end(n, static_cast<TokenCount>(draw) % (most + 1), draw % 4 != 0);
        else if (kind == 22)
            fleet.executeLate();
        else if (draw < 30)
            fleet.restart(n);
    }
}

BOOST_AUTO_TEST_SUITE_END()
