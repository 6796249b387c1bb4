#include "LedgerStore.h"

#include "basilpoint/Turns/TurnJournal.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace basilpoint;

namespace {

constexpr TokenCount maxTokens = 100;
constexpr std::size_t programs = 4;
constexpr int maxSearches = 3;
const WallTimePoint keepUntil { std::chrono::hours(1) };

/// How a turn that has ended is acknowledged, and what becomes of its gateway.
enum class Way {
    Stored,
    KeptBeforeTheWrite,
    KeptWhileTheWriteIsLost,
    KeptWhileTheAnswerToTheWriteIsLost,
    KeptBeforeTheGatewayIsKilled,
    GatewayKilledBefore,
    Failed,
};

/// Gateways that serve turns of programs which continue one another's, with a store and the journal of the keepers.
class Fleet {
public:
    explicit Fleet(unsigned seed)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < 2; ++n)
            restart(n);
    }

    void step()
    {
        serveTurn();
        if (draw(4) == 0)
            upload();
        if (draw(6) == 0)
            restart(draw(2));
    }

    /// Continues each acknowledged turn in a program of its own at a gateway that knows nothing.
    void checkAll()
    {
        for (const auto& [turn, history] : m_acknowledged) {
            TurnLedger ledger(DaemonLifetime("check"), {});
            TurnDecision decision = begin(ledger, request("next", turn, "check"));
            BOOST_REQUIRE_MESSAGE(std::holds_alternative<TurnAdmitted>(decision), "the chain of " << turn << " is lost");
            BOOST_TEST(std::get<TurnAdmitted>(decision).history == history);
        }
    }

    std::size_t acknowledged() const { return m_acknowledged.size(); }

private:
    std::size_t draw(std::size_t n) { return m_random() % n; }

    void restart(std::size_t n) { m_gateways[n] = std::make_unique<TurnLedger>(DaemonLifetime("g" + std::to_string(++m_lifetimes)), LedgerSettings { .maxBatchEntries = 7, .maxCachedBytes = 12'000 }); }

    TurnRequest request(const std::string& turn, const std::string& previous, const std::string& program)
    {
        TokenCount budget = draw(2) == 0 ? ProgramAccount::unlimited : 1'000'000;
        return { ProgramId(program), CallId(turn), CallId(previous), budget, maxTokens, keepUntil };
    }

    std::optional<ProgramId> originOf(const CallId& turn) const
    {
        std::string key = TurnLedger::originKey(turn);
        return m_store.has(key) ? std::optional(ProgramId(m_store.valueOf(key))) : std::nullopt;
    }

    bool adoptFromJournal(TurnLedger& ledger, const CallId& turn, TurnKnowledge& knowledge)
    {
        std::vector<JournalEntry> entries = m_journal.findTurn(turn);
        for (const JournalEntry& entry : entries)
            for (const AccountChange& it : entry.changes)
                if (it.record)
                    ledger.adopt(entry.program, { *it.record });
        if (!entries.empty())
            knowledge.origins[turn] = entries.front().program;
        return !entries.empty();
    }

    TurnDecision begin(TurnLedger& ledger, const TurnRequest& turn)
    {
        TurnKnowledge knowledge;
        for (int searches = 0;;) {
            TurnDecision decision = ledger.begin(turn, knowledge, TimePoint(std::chrono::hours(1)));
            if (auto* needed = std::get_if<TurnNeedsProgram>(&decision)) {
                ledger.allRecordsRead(needed->program, m_store.recordsWithPrefix(TurnLedger::programPrefix(needed->program)));
                if (needed->program != turn.program)
                    knowledge.freshOrigins.insert(needed->program);
                else
                    knowledge.isProgramRead = knowledge.isProgramFresh = true;
            } else if (auto* origin = std::get_if<TurnNeedsOrigin>(&decision))
                knowledge.origins[origin->turn] = originOf(origin->turn);
            else if (auto* notFound = std::get_if<TurnNotFound>(&decision); notFound && ++searches <= maxSearches) {
                if (!adoptFromJournal(ledger, notFound->missing, knowledge))
                    return decision;
            } else
                return decision;
        }
    }

    // One batch is taken out, and more are sent only if all succeed.
    void write(TurnLedger& ledger, bool isDone, bool isAnswered)
    {
        auto batch = ledger.nextBatch();
        if (!batch)
            return;
        auto revision = isDone ? m_store.commit(*batch) : 0;
        if (!isAnswered)
            ledger.batchOutcomeUnknown(batch->number);
        else if (revision > 0)
            ledger.batchStored(batch->number, revision);
        else
            ledger.batchRefused(batch->number, m_store.conditionRecords(*batch));
    }

    void keep(TurnLedger& ledger, const ProgramId& program, ChangeId change)
    {
        if (auto entry = ledger.entryFor(program, change))
            m_journal.apply({ JournalOperation::Kind::Append, encodeEntry(*entry) });
    }

    void serveTurn()
    {
        std::size_t gateway = draw(2);
        TurnLedger& ledger = *m_gateways[gateway];
        auto previous = m_acknowledged.empty() || draw(5) == 0 ? m_acknowledged.end() : std::next(m_acknowledged.begin(), static_cast<std::ptrdiff_t>(draw(m_acknowledged.size())));
        std::string id = "t" + std::to_string(++m_turns);
        TurnRequest turn = request(id, previous == m_acknowledged.end() ? "" : previous->first, "p" + std::to_string(draw(programs)));
        std::string before = previous == m_acknowledged.end() ? "" : previous->second;
        TurnDecision decision = begin(ledger, turn);
        BOOST_REQUIRE_MESSAGE(std::holds_alternative<TurnAdmitted>(decision), "the chain of " << turn.previous.text() << " is lost");
        BOOST_TEST(std::get<TurnAdmitted>(decision).history == before);
        auto way = static_cast<Way>(draw(static_cast<std::size_t>(Way::Failed) + 1));
        if (way == Way::Failed) {
            ledger.end(turn, 0, std::nullopt);
            return;
        }
        TurnRecord record { turn.turn, turn.previous, "in " + id + ";", "out " + id + ";", {} };
        ChangeId change = *ledger.end(turn, 30, record);
        bool isAcknowledged = way != Way::GatewayKilledBefore;
        switch (way) {
        case Way::Stored:
            flush(ledger, m_store);
            break;
        case Way::KeptBeforeTheWrite:
            keep(ledger, turn.program, change);
            break;
        case Way::KeptWhileTheWriteIsLost:
            write(ledger, false, false);
            keep(ledger, turn.program, change);
            break;
        case Way::KeptWhileTheAnswerToTheWriteIsLost:
            write(ledger, true, false);
            keep(ledger, turn.program, change);
            break;
        case Way::KeptBeforeTheGatewayIsKilled:
            keep(ledger, turn.program, change);
            restart(gateway);
            break;
        case Way::GatewayKilledBefore:
            write(ledger, true, false);
            restart(gateway);
            break;
        case Way::Failed:
            break;
        }
        if (isAcknowledged)
            m_acknowledged[id] = before + record.input + record.output;
    }

    // As a keeper does: what the account does not include yet of the entries of one program.
    void upload()
    {
        if (m_journal.size() == 0)
            return;
        ProgramId program = m_journal.all()[draw(m_journal.size())].program;
        std::string key = TurnLedger::accountKey(program);
        ProgramAccount account = m_store.has(key) ? decodeAccount(m_store.valueOf(key)) : ProgramAccount {};
        for (const JournalEntry& entry : m_journal.all()) {
            if (entry.program != program)
                continue;
            for (const TurnRecord& it : applyEntry(account, entry)) {
                m_store.put(TurnLedger::turnKey(program, it.turn), encodeTurn(it));
                m_store.put(TurnLedger::originKey(it.turn), program.text());
            }
            m_journal.apply({ JournalOperation::Kind::Drop, {}, { entry.daemon, entry.step() } });
        }
        m_store.put(key, encodeAccount(account));
    }

    std::mt19937 m_random;
    LedgerStore m_store;
    TurnJournal m_journal;
    std::unique_ptr<TurnLedger> m_gateways[2];
    int m_lifetimes = 0;
    int m_turns = 0;
    /// Turns whose callers have got their ends, with their whole chains.
    std::map<std::string, std::string> m_acknowledged;
};

} // namespace

BOOST_AUTO_TEST_SUITE(KeptChainTest)

// Guards against a turn whose end its caller got and whose chain is lost with the gateway, however it was kept.
BOOST_AUTO_TEST_CASE(acknowledgedTurnKeepsItsChainOnEveryWay)
{
    std::size_t acknowledged = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Fleet fleet(seed);
            for (int n = 0; n < 60; ++n)
                fleet.step();
            fleet.checkAll();
            acknowledged += fleet.acknowledged();
        }
    }
    BOOST_TEST(acknowledged > 1'000U);
}

BOOST_AUTO_TEST_SUITE_END()
