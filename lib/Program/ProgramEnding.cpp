#include "basilpoint/Program/Errors.h"
#include "basilpoint/Program/ProgramTable.h"

#include <algorithm>

namespace basilpoint {

// The open calls may have been executed: outcomes become unknown, and reservations are charged in full.
static void settleOpenCalls(const ProgramState& state, std::vector<ProgramRecord>& records)
{
    const ProgramId& program = state.opened.program;
    for (const auto& [key, call] : state.tools) {
        if (!call.executed)
            records.emplace_back(OutcomeRecorded { program, key, Executed::Unknown, 0, {} });
    }
    if (state.openTurn)
        records.emplace_back(TurnFailed { program, state.openTurn->turn, state.openTurn->reserved });
}

static bool isOverdue(const ProgramState& state, WallTimePoint now)
{
    return !state.closed && state.opened.deadline && now >= *state.opened.deadline;
}

static std::optional<ForgetScope> forgetScope(const ProgramState& state, const ProgramLimits& limits, WallTimePoint now)
{
    if (!state.closed)
        return std::nullopt;
    WallTimePoint end = std::max({ state.closedAt, state.opened.openedAt, state.opened.deadline.value_or(WallTimePoint()) });
    if (now - end >= limits.keyRetention)
        return ForgetScope::Everything;
    if (now - end >= limits.answerRetention && !state.finishedTurns.empty())
        return ForgetScope::Answers;
    return std::nullopt;
}

bool ProgramTable::isWithin(const ProgramId& program, const ProgramId& root) const
{
    for (auto it = m_programs.find(program); it != m_programs.end(); it = m_programs.find(it->second.opened.parent)) {
        if (it->first == root)
            return true;
    }
    return false;
}

std::size_t ProgramTable::depthOf(const ProgramId& program) const
{
    std::size_t depth = 0;
    for (auto it = m_programs.find(program); it != m_programs.end(); it = m_programs.find(it->second.opened.parent))
        ++depth;
    return depth;
}

// Programs of equal depth are ordered by id, so that the order of records does not depend on the hash table.
void ProgramTable::sortChildrenFirst(std::vector<ProgramId>& programs) const
{
    std::vector<std::pair<std::size_t, ProgramId>> byDepth;
    byDepth.reserve(programs.size());
    for (ProgramId& program : programs)
        byDepth.emplace_back(depthOf(program), std::move(program));
    std::sort(byDepth.begin(), byDepth.end(), std::greater<>());
    programs.clear();
    for (auto& [depth, program] : byDepth)
        programs.push_back(std::move(program));
}

std::vector<ProgramId> ProgramTable::openSubtree(const ProgramId& root) const
{
    std::vector<ProgramId> programs;
    for (const auto& [id, state] : m_programs) {
        if (!state.closed && isWithin(id, root))
            programs.push_back(id);
    }
    sortChildrenFirst(programs);
    return programs;
}

ProgramRecord ProgramTable::close(const ProgramId& program, CloseReason reason, WallTimePoint now) const
{
    const ProgramState& state = requireOpenProgram(program);
    if (state.openTurn || state.hasOpenTool() || state.openChildren > 0)
        throw ProgramBusyError(program);
    return ProgramClosed { program, reason, now };
}

std::vector<ProgramRecord> ProgramTable::closeTree(const ProgramId& root, CloseReason reason, WallTimePoint now) const
{
    if (requireProgram(root).closed)
        return {};
    std::vector<ProgramRecord> records;
    for (const ProgramId& program : openSubtree(root)) {
        settleOpenCalls(requireProgram(program), records);
        records.emplace_back(ProgramClosed { program, reason, now });
    }
    return records;
}

std::vector<ProgramRecord> ProgramTable::closeOverdue(WallTimePoint now) const
{
    std::vector<ProgramId> programs;
    for (const auto& [id, state] : m_programs) {
        if (isOverdue(state, now))
            programs.push_back(id);
    }
    // A sub-agent's deadline is never later than its parent's, so that no sub-agent outlives its parent.
    sortChildrenFirst(programs);
    std::vector<ProgramRecord> records;
    for (const ProgramId& program : programs) {
        settleOpenCalls(requireProgram(program), records);
        records.emplace_back(ProgramClosed { program, CloseReason::Deadline, now });
    }
    return records;
}

std::vector<ProgramRecord> ProgramTable::recoverAfterTakeOver(WallTimePoint now) const
{
    std::vector<ProgramRecord> records = closeOverdue(now);
    std::vector<ProgramId> programs;
    for (const auto& [id, state] : m_programs) {
        if (!isOverdue(state, now))
            programs.push_back(id);
    }
    sortChildrenFirst(programs);
    for (const ProgramId& program : programs)
        settleOpenCalls(requireProgram(program), records);
    return records;
}

std::vector<ProgramRecord> ProgramTable::forgetExpired(WallTimePoint now) const
{
    std::vector<ProgramRecord> records;
    for (const auto& [id, state] : m_programs) {
        if (auto scope = forgetScope(state, limitsOf(state), now))
            records.emplace_back(ProgramForgotten { id, *scope });
    }
    return records;
}

std::vector<ProgramRecord> ProgramTable::compactRecords() const
{
    std::vector<ProgramRecord> records;
    records.reserve(m_programs.size());
    for (const auto& [id, state] : m_programs)
        records.emplace_back(ProgramSnapshot { id, state });
    return records;
}

} // namespace basilpoint
