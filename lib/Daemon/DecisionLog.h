#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <deque>
#include <string>
#include <vector>

namespace basilpoint {

/// Kind of a decision about a program's request.
enum class DecisionKind {
    Opened,
    Closed,
    Forwarded,
    ForwardRetried,
    Queued,
    Dispatched,
    Retried,
    Refused,
    Finished,
    Failed,
    IntentRecorded,
    OutcomeRecorded,
    AnsweredFromJournal,
};

std::string_view toString(DecisionKind);

/// Decision as shown by `basilpoint explain`.
struct Decision {
    WallTimePoint time;
    ProgramId program;
    DecisionKind kind = DecisionKind::Opened;
    /// What the decision refers to: a target, model, owner, key, environment or error code.
    std::string subject;

    bool operator==(const Decision&) const = default;
};

/// The latest decisions of this daemon, up to a fixed number.
class DecisionLog {
public:
    explicit DecisionLog(const Clock&);

    void record(const ProgramId&, DecisionKind, std::string subject);

    /// Decisions about \p program that are still in the log, oldest first.
    std::vector<Decision> find(const ProgramId&) const;

    std::size_t size() const { return m_decisions.size(); }

private:
    const Clock& m_clock;
    std::deque<Decision> m_decisions;
};

} // namespace basilpoint
