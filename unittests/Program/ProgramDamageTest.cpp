#include "ProgramModel.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

/// Records of a short run, which the tests damage, and a model of the correct state.
struct FixedRun {
    FixedRun()
    {
        system.commit(system.table.open({ child, EnvironmentId("e"), OperatorId("o"), {}, rootProgram, 500, {}, {} }));
        runTurn(rootProgram, R"({"n":1})");
        runTurn(child, R"({"n":2})");
        system.commit(std::get<ProgramRecord>(system.table.recordIntent({ rootProgram, RequestKey("p"), "pay", "p" }, {})));
        system.commit(system.table.recordOutcome(rootProgram, RequestKey("p"), Executed::Unknown, 0, {}));
        system.commit(system.table.close(child, CloseReason::Caller));
        model.programs[child].parent = rootProgram;
        model.programs[child].budget = 500;
        model.programs[child].open = false;
        model.programs[child].spent = costOfTurn;
        model.programs[rootProgram].spent = costOfTurn;
        model.programs[rootProgram].messages = { R"({"n":1})", answer };
        model.programs[rootProgram].tools["p"] = Executed::Unknown;
    }

    void runTurn(const ProgramId& program, const std::string& message)
    {
        system.commit(std::get<ProgramRecord>(system.table.startTurn({ program, {}, "[" + message + "]", maxOutputOfTurn }, {})));
        system.commit(system.table.finishTurn(program, answer, costOfTurn));
    }

    const ProgramId child { "1-1-child" };
    const std::string answer = R"({"said":1})";
    ProgramSystem system;
    TableModel model = initialModel();
};

} // namespace

BOOST_AUTO_TEST_SUITE(ProgramDamageTest)

BOOST_FIXTURE_TEST_CASE(modelDetectsLostAndRepeatedRecords, FixedRun)
{
    BOOST_TEST(findReplayFault(system.records, model) == "");
    for (std::size_t at = 0; at < system.records.size(); ++at) {
        std::vector<ProgramRecord> lost = system.records;
        lost.erase(lost.begin() + static_cast<std::ptrdiff_t>(at));
        BOOST_TEST(findReplayFault(lost, model) != "", "record " << at << " lost");
        std::vector<ProgramRecord> doubled = system.records;
        doubled.insert(doubled.begin() + static_cast<std::ptrdiff_t>(at), doubled[at]);
        BOOST_TEST(findReplayFault(doubled, model) != "", "record " << at << " twice");
    }
}

BOOST_FIXTURE_TEST_CASE(modelDetectsChangedRecords, FixedRun)
{
    auto isDetected = [&](auto change) {
        std::vector<ProgramRecord> records = system.records;
        for (ProgramRecord& record : records)
            std::visit(change, record);
        return !findReplayFault(records, model).empty();
    };
    auto cheaper = [](auto& it) {
        if constexpr (requires { it.used; })
            --it.used;
    };
    auto otherAnswer = [](auto& it) {
        if constexpr (requires { it.answer; })
            it.answer = "{}";
    };
    auto moved = [&](auto& it) {
        if constexpr (
            requires { it.messages; } || requires { it.answer; })
            it.program = it.program == child ? rootProgram : child;
    };
    auto settled = [](auto& it) {
        if constexpr (requires { it.executed; })
            it.executed = Executed::No;
    };
    auto largerChild = [&](auto& it) {
        if constexpr (requires { it.budget; })
            it.budget = it.program == child ? 10 * rootBudget : it.budget;
    };
    BOOST_TEST(isDetected(cheaper));
    BOOST_TEST(isDetected(otherAnswer));
    BOOST_TEST(isDetected(moved));
    BOOST_TEST(isDetected(settled));
    BOOST_TEST(isDetected(largerChild));
}

BOOST_AUTO_TEST_SUITE_END()
