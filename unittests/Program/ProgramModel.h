#pragma once

#include "basilpoint/Program/ProgramTable.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basilpoint {

/// What a test knows of one program: plain lists and sums, no digests.
struct ProgramModel {
    ProgramId parent;
    TokenCount budget = 0;
    /// What its own calls have cost.
    TokenCount spent = 0;
    TokenCount reserved = 0;
    std::vector<std::string> messages;
    std::vector<std::string> openMessages;
    std::string openKey;
    std::map<std::string, std::string> answersByKey;
    /// Empty outcome: under way.
    std::map<std::string, std::optional<Executed>> tools;
    bool open = true;

    bool hasOpenTool() const;
};

/// The test's own account of a whole table, kept from what the callers saw.
struct TableModel {
    std::map<ProgramId, ProgramModel> programs;

    /// Cost of a program and all that was carved out of its budget.
    TokenCount spentWithin(const ProgramId&) const;
    /// Budgets of the open sub-agents.
    TokenCount carvedOut(const ProgramId&) const;
    bool hasOpenChild(const ProgramId&) const;
};

/// The table under test and every record it has made.
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

/// Output that each model call asks for, and what each answered call costs.
constexpr TokenCount maxOutputOfTurn = 20;
constexpr TokenCount costOfTurn = 9;

/// Model of a table in which only the root program is open.
TableModel initialModel();

/// First rule that \p table breaks; empty if it agrees with the model.
std::string findDisagreement(const ProgramTable& table, const TableModel&);

/// First rule that the records, replayed into a new table, break; empty if there is none.
std::string findReplayFault(const std::vector<ProgramRecord>&, const TableModel&);

} // namespace basilpoint
