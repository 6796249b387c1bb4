#pragma once

#include "basilpoint/Program/ProgramTable.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basilpoint {

/// Expected state of one program, with plain lists and sums instead of digests.
struct ProgramModel {
    ProgramId parent;
    TokenCount budget = 0;
    /// Cost of its own calls, without its sub-agents.
    TokenCount spent = 0;
    TokenCount reserved = 0;
    std::vector<std::string> messages;
    std::vector<std::string> openMessages;
    std::string openKey;
    std::map<std::string, std::string> answersByKey;
    /// Outcomes by key; empty while the call is in progress.
    std::map<std::string, std::optional<Executed>> tools;
    bool open = true;

    bool hasOpenTool() const;
};

/// Expected state of a whole table, computed from the calls and their results alone.
struct TableModel {
    std::map<ProgramId, ProgramModel> programs;

    /// Cost of a program and its closed sub-agents.
    TokenCount spentWithin(const ProgramId&) const;
    /// Budgets of the open sub-agents.
    TokenCount reservedForChildren(const ProgramId&) const;
    bool hasOpenChild(const ProgramId&) const;
};

/// The table under test and all records that it made.
struct ProgramSystem {
    /// Opens the root program.
    ProgramSystem();

    void commit(const ProgramRecord&);

    ProgramTable table { ProgramLimits {} };
    std::vector<ProgramRecord> records;
};

/// Root program of every run, and its budget.
extern const ProgramId rootProgram;
constexpr TokenCount rootBudget = 2'000;

/// Output tokens requested by each model call, and cost of each answered call.
constexpr TokenCount maxOutputOfTurn = 20;
constexpr TokenCount costOfTurn = 9;

/// Model of a table in which only the root program is open.
TableModel initialModel();

/// First rule that \p table breaks; empty if it agrees with the model.
std::string findDisagreement(const ProgramTable& table, const TableModel&);

/// First rule that is broken when the records are replayed into a new table; empty if there is none.
std::string findReplayFault(const std::vector<ProgramRecord>&, const TableModel&);

} // namespace basilpoint
