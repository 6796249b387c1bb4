#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <deque>
#include <string>
#include <vector>

namespace basilpoint {

/// What a decision about a program's request was.
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

/// One decision, as `basilpoint explain` shows it.
struct Decision {
    WallTimePoint time;
    ProgramId program;
    DecisionKind kind = DecisionKind::Opened;
    /// Target, owner, key or error code that the decision names.
    std::string subject;

    bool operator==(const Decision&) const = default;
};

/// The latest decisions of this daemon, bounded.
class DecisionLog {
public:
    explicit DecisionLog(const Clock&);

    void record(const ProgramId&, DecisionKind, std::string subject);

    /// Decisions about \p program that are still held, oldest first.
    std::vector<Decision> find(const ProgramId&) const;

    std::size_t size() const { return m_decisions.size(); }

private:
    const Clock& m_clock;
    std::deque<Decision> m_decisions;
};

} // namespace basilpoint
