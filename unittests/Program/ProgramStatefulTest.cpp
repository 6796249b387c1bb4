#include "ProgramModel.h"

#include "basilpoint/Program/Errors.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

using namespace basilpoint;

namespace {

using Step = rc::state::Command<TableModel, ProgramSystem>;

} // namespace

static const WallTimePoint now;

// Returns whether the decision throws a typed error. A record that was decided on must always be applicable.
template <typename Decide>
static bool isRefused(const Decide& decide)
{
    try {
        decide();
        return false;
    } catch (const RecordMismatchError&) {
        RC_FAIL("the record of a decision could not be applied");
    } catch (const Error& error) {
        RC_ASSERT(error.executed() != Executed::Yes);
        return true;
    }
}

static std::string textOf(const std::vector<std::string>& messages)
{
    std::string text;
    for (const std::string& message : messages)
        text += (text.empty() ? "[" : ",") + message;
    return text + "]";
}

namespace {

/// Step on one program. Afterwards the table must agree with the model, and both a replay of all records and a
/// compaction must rebuild the table.
class ProgramStep : public Step {
public:
    explicit ProgramStep(const TableModel& model)
    {
        std::vector<ProgramId> ids;
        for (const auto& [id, it] : model.programs)
            ids.push_back(id);
        m_program = *rc::gen::elementOf(ids);
    }

    void checkPreconditions(const TableModel& model) const override { RC_PRE(model.programs.contains(m_program)); }

    void run(const TableModel& before, ProgramSystem& system) const override
    {
        act(before, system);
        TableModel after = nextState(before);
        RC_ASSERT(findDisagreement(system.table, after) == "");
        ProgramTable replayed { ProgramLimits {} };
        for (const ProgramRecord& record : system.records)
            replayed.apply(decodeRecord(encodeRecord(record)));
        RC_ASSERT(replayed == system.table);
        ProgramTable compacted { ProgramLimits {} };
        for (const ProgramRecord& record : system.table.compactRecords())
            compacted.apply(decodeRecord(encodeRecord(record)));
        RC_ASSERT(compacted == system.table);
    }

    void show(std::ostream& os) const override { os << name() << ' ' << m_program.text(); }

protected:
    virtual void act(const TableModel& before, ProgramSystem&) const = 0;
    virtual std::string name() const = 0;

    const ProgramModel& of(const TableModel& model) const { return model.programs.at(m_program); }
    ProgramModel& of(TableModel& model) const { return model.programs.at(m_program); }

    ProgramId m_program;
};

class OpenChild final : public ProgramStep {
public:
    explicit OpenChild(const TableModel& model)
        : ProgramStep(model)
        , m_child(m_program.text() + "." + std::to_string(model.programs.size()))
        , m_budget(*rc::gen::inRange<TokenCount>(0, rootBudget))
    {
    }

    void checkPreconditions(const TableModel& model) const override
    {
        ProgramStep::checkPreconditions(model);
        RC_PRE(!model.programs.contains(m_child));
    }

    void apply(TableModel& model) const override
    {
        if (fits(model))
            model.programs[m_child] = newProgram();
    }

private:
    ProgramModel newProgram() const
    {
        ProgramModel program;
        program.parent = m_program;
        program.budget = m_budget;
        return program;
    }

    bool fits(const TableModel& model) const
    {
        const ProgramModel& parent = of(model);
        return parent.open && m_budget <= parent.budget - model.spentWithin(m_program) - parent.reserved - model.reservedForChildren(m_program);
    }

    void act(const TableModel& before, ProgramSystem& system) const override
    {
        ProgramOpened wanted { m_child, EnvironmentId("e"), OperatorId("o"), {}, m_program, m_budget, now, {}, ProgramLimits { .maxRepeatedCalls = 1'000 } };
        bool refused = isRefused([&] { system.commit(system.table.open(wanted)); });
        RC_ASSERT(refused != fits(before));
    }

    std::string name() const override { return "open child with " + std::to_string(m_budget); }

    ProgramId m_child;
    TokenCount m_budget;
};

class StartTurn final : public ProgramStep {
public:
    explicit StartTurn(const TableModel& model)
        : ProgramStep(model)
        , m_key(*rc::gen::element<std::string>("", "a", "b", "c"))
        , m_content(*rc::gen::inRange(0, 100))
        , m_whole(*rc::gen::arbitrary<bool>())
        , m_foreign(*rc::gen::inRange(0, 8) == 0)
    {
    }

    void apply(TableModel& model) const override
    {
        ProgramModel& program = of(model);
        if (!mayStart(program) || reserve(program) > program.budget - model.spentWithin(m_program) - program.reserved - model.reservedForChildren(m_program))
            return;
        program.openKey = m_key;
        program.openMessages = { message() };
        program.reserved = reserve(program);
    }

private:
    std::string message() const { return R"({"n":)" + std::to_string(m_content) + "}"; }

    // Each answered call costs costOfTurn tokens, which is also the size of the context after it.
    TokenCount reserve(const ProgramModel& program) const { return contextOf(program) + message().size() + maxOutputOfTurn; }
    static TokenCount contextOf(const ProgramModel& program) { return program.messages.empty() ? 0 : costOfTurn; }

    bool isForeign(const ProgramModel& program) const { return m_foreign && !program.messages.empty(); }

    bool mayStart(const ProgramModel& program) const
    {
        return program.open && program.reserved == 0 && !program.hasOpenTool() && !program.answersByKey.contains(m_key) && !isForeign(program);
    }

    TurnRequest request(const ProgramModel& program) const
    {
        std::vector<std::string> list;
        if (m_whole || isForeign(program))
            list = program.messages;
        if (isForeign(program))
            list.back() = R"({"role":"assistant","content":"never said"})";
        list.push_back(message());
        return { m_program, RequestKey(m_key), textOf(list), maxOutputOfTurn };
    }

    void act(const TableModel& before, ProgramSystem& system) const override
    {
        const ProgramModel& program = of(before);
        bool known = program.answersByKey.contains(m_key);
        bool refused = isRefused([&] {
            CallDecision decision = system.table.startTurn(request(program), now);
            if (const auto* recorded = std::get_if<RecordedAnswer>(&decision)) {
                RC_ASSERT(known && recorded->body == program.answersByKey.at(m_key));
                return;
            }
            RC_ASSERT(mayStart(program));
            system.commit(std::get<ProgramRecord>(decision));
        });
        bool starts = of(nextState(before)).reserved != program.reserved;
        RC_ASSERT(known || refused != starts);
    }

    std::string name() const override { return "start turn " + m_key + ":" + message() + (m_whole ? " whole" : "") + (m_foreign ? " foreign" : ""); }

    std::string m_key;
    int m_content;
    bool m_whole;
    /// Whether the message list contains an answer that is not in the history.
    bool m_foreign;
};

class EndTurn final : public ProgramStep {
public:
    explicit EndTurn(const TableModel& model)
        : ProgramStep(model)
        , m_answered(*rc::gen::inRange(0, 4) != 0)
        , m_answer(R"({"content":"A)" + std::to_string(*rc::gen::inRange(0, 1'000)) + R"(","role":"assistant"})")
    {
    }

    void checkPreconditions(const TableModel& model) const override
    {
        ProgramStep::checkPreconditions(model);
        RC_PRE(of(model).reserved > 0);
    }

    void apply(TableModel& model) const override
    {
        ProgramModel& program = of(model);
        program.spent += m_answered ? costOfTurn : program.reserved;
        program.reserved = 0;
        if (!m_answered)
            return;
        program.messages.push_back(program.openMessages.front());
        program.messages.push_back(m_answer);
        if (!program.openKey.empty())
            program.answersByKey[program.openKey] = m_answer;
    }

private:
    void act(const TableModel&, ProgramSystem& system) const override
    {
        if (m_answered)
            system.commit(system.table.finishTurn(m_program, m_answer, costOfTurn));
        else
            system.commit(system.table.failTurn(m_program, ~TokenCount(0)));
    }

    std::string name() const override { return m_answered ? "finish turn" : "fail turn"; }

    bool m_answered;
    std::string m_answer;
};

class Intent final : public ProgramStep {
public:
    explicit Intent(const TableModel& model)
        : ProgramStep(model)
        , m_key(*rc::gen::element<std::string>("p", "q", "r"))
    {
    }

    void apply(TableModel& model) const override
    {
        if (maySend(of(model)))
            of(model).tools[m_key] = std::nullopt;
    }

private:
    bool maySend(const ProgramModel& program) const
    {
        auto it = program.tools.find(m_key);
        return program.open && program.reserved == 0 && (it == program.tools.end() || it->second == Executed::No);
    }

    void act(const TableModel& before, ProgramSystem& system) const override
    {
        bool answered = false;
        bool refused = isRefused([&] {
            CallDecision decision = system.table.recordIntent({ m_program, RequestKey(m_key), "pay", m_key }, now);
            answered = std::holds_alternative<RecordedAnswer>(decision);
            if (!answered)
                system.commit(std::get<ProgramRecord>(decision));
        });
        RC_ASSERT((refused || answered) != maySend(of(before)));
    }

    std::string name() const override { return "intent " + m_key; }

    std::string m_key;
};

class Outcome final : public ProgramStep {
public:
    explicit Outcome(const TableModel& model)
        : ProgramStep(model)
        , m_key(*rc::gen::element<std::string>("p", "q", "r"))
        , m_executed(*rc::gen::element(Executed::No, Executed::Yes, Executed::Unknown))
    {
    }

    void apply(TableModel& model) const override
    {
        if (settles(of(model)))
            of(model).tools[m_key] = m_executed;
    }

private:
    bool settles(const ProgramModel& program) const
    {
        auto it = program.tools.find(m_key);
        return it != program.tools.end() && (!it->second || (it->second == Executed::Unknown && m_executed == Executed::Yes));
    }

    void act(const TableModel& before, ProgramSystem& system) const override
    {
        bool refused = isRefused([&] { system.commit(system.table.recordOutcome(m_program, RequestKey(m_key), m_executed, 200, "paid")); });
        RC_ASSERT(refused != settles(of(before)));
    }

    std::string name() const override { return "outcome " + m_key + " " + std::string(toString(m_executed)); }

    std::string m_key;
    Executed m_executed;
};

class Close final : public ProgramStep {
public:
    using ProgramStep::ProgramStep;

    void apply(TableModel& model) const override
    {
        if (mayClose(model))
            of(model).open = false;
    }

private:
    bool mayClose(const TableModel& model) const
    {
        const ProgramModel& program = of(model);
        return program.open && program.reserved == 0 && !program.hasOpenTool() && !model.hasOpenChild(m_program);
    }

    void act(const TableModel& before, ProgramSystem& system) const override
    {
        bool refused = isRefused([&] { system.commit(system.table.close(m_program, CloseReason::Caller)); });
        RC_ASSERT(refused != mayClose(before));
    }

    std::string name() const override { return "close"; }
};

} // namespace

static void settle(ProgramModel& program)
{
    program.spent += program.reserved;
    program.reserved = 0;
    for (auto& [key, executed] : program.tools)
        executed = executed.value_or(Executed::Unknown);
}

namespace {

class CloseTree final : public ProgramStep {
public:
    using ProgramStep::ProgramStep;

    void apply(TableModel& model) const override { closeWithin(model, m_program); }

private:
    static void closeWithin(TableModel& model, const ProgramId& root)
    {
        for (auto& [id, it] : model.programs) {
            if (it.parent == root)
                closeWithin(model, id);
        }
        ProgramModel& program = model.programs.at(root);
        settle(program);
        program.open = false;
    }

    void act(const TableModel&, ProgramSystem& system) const override
    {
        for (const ProgramRecord& record : system.table.closeTree(m_program, CloseReason::Deadline, now))
            system.commit(record);
    }

    std::string name() const override { return "close tree"; }
};

/// A new owner rebuilds the table from the records alone.
class TakeOver final : public ProgramStep {
public:
    using ProgramStep::ProgramStep;

    void apply(TableModel& model) const override
    {
        for (auto& [id, program] : model.programs)
            settle(program);
    }

private:
    void act(const TableModel&, ProgramSystem& system) const override
    {
        system.table = ProgramTable { ProgramLimits {} };
        for (const ProgramRecord& record : system.records)
            system.table.apply(decodeRecord(encodeRecord(record)));
        for (const ProgramRecord& record : system.table.recoverAfterTakeOver(now))
            system.commit(record);
        RC_ASSERT(system.table.recoverAfterTakeOver(now).empty());
    }

    std::string name() const override { return "take over"; }
};

} // namespace

namespace {

/// Makes each run use the same cases, unless RC_PARAMS is set in the environment.
struct FixedSeed {
    FixedSeed() { ::setenv("RC_PARAMS", "seed=20261203 max_success=1000", 0); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ProgramStatefulTest)

BOOST_FIXTURE_TEST_CASE(agreesWithTheModelAfterEveryStep, FixedSeed)
{
    rc::detail::checkBoostTest([] {
        ProgramSystem system;
        rc::state::check(initialModel(), system, rc::state::gen::execOneOfWithArgs<OpenChild, StartTurn, StartTurn, EndTurn, EndTurn, Intent, Outcome, Close, CloseTree, TakeOver>());
    });
}

BOOST_AUTO_TEST_SUITE_END()
