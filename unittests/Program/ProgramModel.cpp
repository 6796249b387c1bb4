#include "ProgramModel.h"

#include "basilpoint/Program/Errors.h"

#include <algorithm>
#include <numeric>

namespace basilpoint {

const ProgramId rootProgram { "1-1-root" };

ProgramSystem::ProgramSystem()
{
    commit(table.open({ rootProgram, EnvironmentId("e"), OperatorId("o"), {}, {}, rootBudget, {}, {}, ProgramLimits { .maxRepeatedCalls = 1'000 } }));
}

void ProgramSystem::commit(const ProgramRecord& record)
{
    table.apply(record);
    records.push_back(record);
}

TableModel initialModel()
{
    TableModel model;
    model.programs[rootProgram].budget = rootBudget;
    return model;
}

bool ProgramModel::hasOpenTool() const
{
    return std::any_of(tools.begin(), tools.end(), [](const auto& it) { return !it.second; });
}

TokenCount TableModel::spentWithin(const ProgramId& program) const
{
    TokenCount sum = programs.at(program).spent;
    for (const auto& [id, it] : programs) {
        if (it.parent == program && !it.open)
            sum += spentWithin(id);
    }
    return sum;
}

TokenCount TableModel::reservedForChildren(const ProgramId& program) const
{
    return std::accumulate(programs.begin(), programs.end(), TokenCount(0), [&](TokenCount sum, const auto& it) {
        return it.second.parent == program && it.second.open ? sum + it.second.budget : sum;
    });
}

bool TableModel::hasOpenChild(const ProgramId& program) const
{
    return std::any_of(programs.begin(), programs.end(), [&](const auto& it) { return it.second.parent == program && it.second.open; });
}

static std::string joined(const std::vector<std::string>& messages)
{
    std::string text = "[";
    for (const std::string& message : messages)
        text += (text.size() > 1 ? "," : "") + message;
    return text + "]";
}

static std::string checkTool(const ProgramTable& table, const ProgramId& program, const std::string& key, const std::optional<Executed>& expected)
{
    std::optional<Executed> executed;
    try {
        CallDecision decision = table.recordIntent({ program, RequestKey(key), "pay", key }, WallTimePoint());
        executed = std::holds_alternative<RecordedAnswer>(decision) ? Executed::Yes : Executed::No;
    } catch (const OutcomeUnknownError&) {
        executed = Executed::Unknown;
    } catch (const ProgramBusyError&) {
        // A call that was never sent is refused while a model call is open.
        return expected && *expected != Executed::No ? "a finished call is not busy" : "";
    } catch (const ProgramEndedError&) {
        executed = Executed::No;
    } catch (const ConflictError&) {
        return "a key belongs to its call";
    }
    return executed == expected ? "" : "an outcome is what its target reported";
}

static std::string checkProgram(const ProgramTable& table, const TableModel& model, const ProgramId& id)
{
    const ProgramModel& expected = model.programs.at(id);
    ProgramSummary seen = table.summary(id);
    if (seen.open != expected.open)
        return "a program is open until it is closed";
    if (seen.spent != model.spentWithin(id))
        return "a program has spent what its calls cost";
    if (seen.reserved != expected.reserved + model.reservedForChildren(id))
        return "open calls and open sub-agents reserve their worst case";
    if (seen.spent + seen.reserved > expected.budget)
        return "a program stays within its budget";
    if (expected.open && table.history(id) != joined(expected.messages))
        return "a history is what its calls added";
    for (const auto& [key, executed] : expected.tools) {
        std::string fault = checkTool(table, id, key, executed);
        if (!fault.empty())
            return fault;
    }
    return "";
}

std::string findDisagreement(const ProgramTable& table, const TableModel& model)
{
    if (table.size() != model.programs.size())
        return "a program exists once it was opened";
    for (const auto& [id, expected] : model.programs) {
        std::string fault = checkProgram(table, model, id);
        if (!fault.empty())
            return fault;
    }
    return "";
}

std::string findReplayFault(const std::vector<ProgramRecord>& records, const TableModel& model)
{
    ProgramTable table { ProgramLimits {} };
    try {
        for (const ProgramRecord& record : records)
            table.apply(decodeRecord(encodeRecord(record)));
        return findDisagreement(table, model);
    } catch (const RecordMismatchError&) {
        return "records follow from the records before them";
    } catch (const ProgramNotFoundError&) {
        return "a program exists once it was opened";
    }
}

} // namespace basilpoint
