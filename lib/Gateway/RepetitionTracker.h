#pragma once

#include "basilpoint/Fleet/NoticeController.h"
#include "basilpoint/Forwarding/RepetitionLimit.h"
#include "basilpoint/Forwarding/TargetDirectory.h"
#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Support/Metrics.h"
#include "basilpoint/Support/Random.h"

namespace basilpoint {

/// Keeps the \ref RepetitionLimit of all gateways together by notices.
class RepetitionTracker {
public:
    using Verdict = RepetitionLimit::Verdict;
    using RunEnd = RepetitionLimit::RunEnd;

    RepetitionTracker(const TargetDirectory&, NoticeController&, RandomEngine::result_type seed, const Clock&, JsonLog&, Metrics&);

    void start();

    Verdict verdictOn(const Digest& request) const { return m_limit.verdictOn(request); }

    /// Records that a request is sent. \param lifetime lifetime of the target; empty if another gateway chooses it.
    /// \returns an identifier of the run.
    std::uint64_t sent(const Digest& request, const std::string& lifetime);
    void located(std::uint64_t run, const std::string& lifetime) { m_limit.located(run, lifetime); }
    void heard(std::uint64_t run) { m_limit.heard(run, m_clock.now()); }
    void ended(std::uint64_t run, RunEnd end) { m_limit.ended(run, end, m_clock.now()); }

    /// Records that a target has accepted a connection that was requested at \p since.
    void accepted(const Registration&, TimePoint since);
    /// Records that a lifetime of a target has ended without a planned stop.
    void targetEnded(const Registration&);

    /// Handles a notice about an unanswered run, of this or another gateway.
    void apply(const NoticeSubject&, bool inForce);

private:
    RepetitionLimit::TargetFate fateOf(const std::string& lifetime) const;
    void tick();

    const TargetDirectory& m_directory;
    NoticeController& m_notices;
    RandomEngine m_random;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    RepetitionLimit m_limit;
};

} // namespace basilpoint
