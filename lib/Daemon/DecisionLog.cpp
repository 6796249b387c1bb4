#include "DecisionLog.h"

#include <algorithm>
#include <cassert>

namespace basilpoint {

static constexpr std::size_t maxDecisions = 20'000;

std::string_view toString(DecisionKind kind)
{
    switch (kind) {
    case DecisionKind::Opened:
        return "opened";
    case DecisionKind::Closed:
        return "closed";
    case DecisionKind::Forwarded:
        return "forwarded";
    case DecisionKind::ForwardRetried:
        return "forward-retried";
    case DecisionKind::Queued:
        return "queued";
    case DecisionKind::Dispatched:
        return "dispatched";
    case DecisionKind::Retried:
        return "retried";
    case DecisionKind::Refused:
        return "refused";
    case DecisionKind::Finished:
        return "finished";
    case DecisionKind::Failed:
        return "failed";
    case DecisionKind::IntentRecorded:
        return "intent-recorded";
    case DecisionKind::OutcomeRecorded:
        return "outcome-recorded";
    case DecisionKind::AnsweredFromJournal:
        return "answered-from-journal";
    }
    assert(false && "unhandled enumerator");
    return {};
}

DecisionLog::DecisionLog(const Clock& clock)
    : m_clock(clock)
{
}

void DecisionLog::record(const ProgramId& program, DecisionKind kind, std::string subject)
{
    m_decisions.push_back({ m_clock.wallNow(), program, kind, std::move(subject) });
    if (m_decisions.size() > maxDecisions)
        m_decisions.pop_front();
}

std::vector<Decision> DecisionLog::find(const ProgramId& program) const
{
    std::vector<Decision> result;
    std::copy_if(m_decisions.begin(), m_decisions.end(), std::back_inserter(result), [&](const Decision& it) { return it.program == program; });
    return result;
}

} // namespace basilpoint
