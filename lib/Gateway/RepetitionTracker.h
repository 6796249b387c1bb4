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

    /// Stores the runs of limited requests. \returns whether they are stored.
    using SaveHook = std::function<bool(const std::string& runs)>;

    /// Key of the stored runs, in the list of daemons, so that each daemon reads them with the list.
    static constexpr const char* key = "daemons/.runs";

    /// Without this hook, a fleet that restarts as a whole forgets all runs.
    void onSave(SaveHook hook) { m_onSave = std::move(hook); }
    /// Takes over the stored runs, once: later on, the notices are newer.
    void load(const std::string& runs);

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
    /// Records that a target has begun to answer a call that was sent to it at \p since, on a connection established at
    /// \p connectedAt.
    void targetAnswered(const Registration&, TimePoint connectedAt, TimePoint since);
    /// Records that a lifetime of a target has ended without a planned stop.
    void targetEnded(const Registration&);

    /// Handles a notice about an unanswered run, of this or another gateway.
    void apply(const NoticeSubject&, bool inForce);

private:
    RepetitionLimit::TargetFate fateOf(const std::string& lifetime) const;
    void tick();
    void save();

    const TargetDirectory& m_directory;
    NoticeController& m_notices;
    RandomEngine m_random;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    RepetitionLimit m_limit;
    SaveHook m_onSave;
    bool m_isLoaded = false;
    /// Whether runs of limited requests may have changed since they were stored.
    bool m_hasUnsaved = false;
    std::string m_saved;
};

} // namespace basilpoint
