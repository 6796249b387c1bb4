#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Hash.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// One run of a request on a target that has not answered it whole.
struct UnansweredRun {
    /// Identifies the request across its caller's attempts.
    Digest request;
    /// Random number.
    std::uint64_t id = 0;
    /// Lifetime of the target; empty if it is not known.
    std::string lifetime;

    auto operator<=>(const UnansweredRun&) const = default;
};

/// Text of a notice about the run.
std::string toText(const UnansweredRun&);
/// \throws InvalidInputError if \p text is not the result of toText().
UnansweredRun parseUnansweredRun(std::string_view text);

/// Bounds how many targets a request may end, over all daemons together.
///
/// A request that crashes targets is never answered, however they end and whatever the daemons see of it. So each lifetime
/// of a target counts that has run the request without answering it whole, until the runs there are proved harmless. A whole
/// answer to the same request clears all its runs. A run is also cleared by proof that the process which got it has outlived
/// it: what answers at the target's address, or accepts a connection there, may be its next process, under the name of the
/// last lifetime until the registration changes. Several runs on one lifetime are one end at most, unless they follow each
/// other after the request is limited. The daemons tell each other of such runs.
class RepetitionLimit {
public:
    enum class Verdict {
        Unlimited,
        /// The request may be sent to one target for each attempt of its caller.
        OneTarget,
        /// The request is not sent to any target.
        Refused,
    };

    /// How a run has ended for the daemon that sent it.
    enum class RunEnd {
        /// A whole answer has arrived.
        Answered,
        /// An answer has arrived whose end was that of its connection, which may have been the target's end as well.
        EndedWithConnection,
        /// The target has closed or reset the connection before the end of its answer.
        ConnectionLost,
        /// The target has refused the request.
        NotRun,
        Unanswered,
    };

    /// What has become of a target since a run.
    enum class TargetFate {
        Alive,
        Ended,
        Unknown,
    };

    /// Runs that the other daemons have to be told of.
    struct Changes {
        std::vector<UnansweredRun> unanswered;
        /// Runs on targets that have ended since. These are remembered for longer.
        std::vector<UnansweredRun> ended;
        /// Runs that no longer count.
        std::vector<UnansweredRun> cleared;
    };

    Verdict verdictOn(const Digest& request) const;

    /// Sets whether the registrations of targets can be read.
    void setRegistrationsKnown(bool areKnown) { m_areRegistrationsKnown = areKnown; }

    /// Records that this daemon sends a request to a target.
    void sent(const UnansweredRun&, TimePoint now);
    /// Records the target of a run that was sent through another daemon.
    void located(std::uint64_t id, const std::string& lifetime);
    /// Records that a part of the answer has arrived.
    void heard(std::uint64_t id, TimePoint now);
    void ended(std::uint64_t id, RunEnd, TimePoint now);

    /// Records that a target has accepted a connection that was requested at \p since, while its registrations can be read. So
    /// it probably did not end with the connections lost before, which do not count then, unless their requests are limited.
    void accepted(const std::string& lifetime, TimePoint since);

    /// Records that a target has begun to answer a call that was sent to it at \p since, on a connection established at
    /// \p connectedAt. The process at the other end has outlived the runs that it got before \p since, if it accepted the
    /// connection before it was last heard of by them.
    void targetAnswered(const std::string& lifetime, TimePoint connectedAt, TimePoint since, TimePoint now);

    /// Records that a target's lifetime has ended without a planned stop.
    void targetEnded(const std::string& lifetime, TimePoint now);

    /// Counts or clears a run that a notice names, of this daemon or another.
    void countReported(const UnansweredRun&, TimePoint now);
    void clearReported(const UnansweredRun&, TimePoint now);

    /// Checks runs by what has become of their targets. Call about once a second.
    void sweep(TimePoint now, const std::function<TargetFate(const std::string& lifetime)>& fateOf);

    /// Finds the runs that have been silent for too long, and returns all changes since the last call.
    Changes takeChanges(TimePoint now);

    /// Runs of all requests that are limited, in the order of their requests; one for each lifetime of a target.
    std::vector<UnansweredRun> limitedRuns() const;
    /// Whether this daemon has sent a run of the request that counts.
    bool hasOwnRun(const Digest& request) const;

    /// Number of runs that count.
    std::size_t size() const { return m_size; }

    /// Targets that may end under a request before it is limited.
    static constexpr std::size_t toleratedEnds = 3;
    /// Further targets that may run it, one for each attempt of the caller.
    static constexpr std::size_t maxRepetitions = 3;
    /// Silence after which a run counts before it has ended; sound targets may pause for about a second.
    static constexpr Milliseconds maxSilence { 1'500 };
    /// Runs on one target whose registrations cannot be read are taken to have run together, and so are one end, if they count
    /// within this time.
    static constexpr Milliseconds minTimeBetweenEnds { 1'000 };
    /// How long the report of a run may be on its way.
    static constexpr Milliseconds maxReportTime { 5'000 };
    /// Longer than the attempt to connect to a target after it has lost a connection.
    static constexpr Milliseconds maxProbeTime { 500 };
    /// A target that is still registered this long after a run has survived it; longer than the registration of one that has ended.
    static constexpr std::chrono::seconds survivalTime { 30 };
    /// How long a run counts if it is not known what has become of its target, and if the target has ended.
    static constexpr std::chrono::minutes retention { 10 };
    static constexpr std::chrono::hours endedRetention { 24 };
    /// Requests answered within this time are known not to crash each target that runs them.
    static constexpr std::chrono::minutes answerRetention { 10 };
    /// Beyond these numbers the oldest runs and answers are forgotten.
    static constexpr std::size_t maxRuns = 10'000;
    static constexpr std::size_t maxAnswers = 4'000;

private:
    struct Running {
        UnansweredRun run;
        TimePoint heardAt;
        bool isCounted = false;
    };

    struct CountedRun {
        std::string lifetime;
        TimePoint countedAt;
        /// A time at which the process that got the run was alive, or had not got it.
        TimePoint aliveAt;
        /// Whether this daemon has sent it and told the others.
        bool isOwn = false;
        bool hasTargetEnded = false;
        /// Whether the target's registrations could be read, so that a later lifetime of it would have another name.
        bool isLifetimeCertain = true;

        bool isExpired(TimePoint now) const;
    };

    /// Runs by their identifiers.
    using Runs = std::map<std::uint64_t, CountedRun>;
    using RunName = std::pair<Digest, std::uint64_t>;

    /// Run that counts only if its target has ended with it, or in the case of a lost connection also if that stays unknown. A
    /// run that a sign of life has cleared is one, since the sign may come from the target's next lifetime.
    struct Uncertain {
        UnansweredRun run;
        RunEnd end = RunEnd::ConnectionLost;
        TimePoint endedAt;
        /// As \ref CountedRun::aliveAt.
        TimePoint aliveAt;
        bool isAccepted = false;
    };

    struct HashOfDigest {
        std::size_t operator()(const Digest& digest) const noexcept { return digest.low; }
    };

    /// Counts a run of this daemon, and tells the others.
    void countAndReport(const UnansweredRun&, TimePoint aliveAt, TimePoint now);
    /// Clears a run of any daemon, and tells the others.
    void clearAndReport(const UnansweredRun&);
    void count(const UnansweredRun&, bool isOwn, TimePoint aliveAt, TimePoint now);
    void answered(const Digest& request, TimePoint now);
    bool wasAnswered(const Digest& request) const { return m_answers.contains(request); }
    void erase(const Digest& request, std::uint64_t id);
    /// Keeps a run of this daemon that was cleared, until its target has survived it.
    void watchOn(const UnansweredRun&, TimePoint now);
    void addUncertain(UnansweredRun, RunEnd, TimePoint aliveAt, TimePoint now);
    void accept(Uncertain&);
    /// Corrects \ref m_uncertainRuns for a run that is removed.
    void uncount(const Uncertain&);
    /// Removes uncertain runs for which \p predicate returns true.
    template <typename Predicate>
    void eraseUncertain(Predicate);
    static std::size_t endsOf(const Runs&);
    static std::size_t repetitionsOf(const Runs&);
    bool isLimited(const Digest& request) const { return verdictOn(request) != Verdict::Unlimited; }
    bool isCounted(const Digest& request, std::uint64_t id) const;
    void dropOldAnswers(TimePoint now);
    template <typename Predicate>
    void countUncertain(Predicate, TimePoint now);

    std::unordered_map<std::uint64_t, Running> m_running;
    std::unordered_map<Digest, Runs, HashOfDigest> m_runs;
    /// Runs in m_runs by the lifetimes of their targets.
    std::unordered_map<std::string, std::set<RunName>> m_byLifetime;
    std::size_t m_size = 0;
    bool m_areRegistrationsKnown = true;
    /// The runs in m_runs, the oldest first, and some that were cleared.
    std::deque<RunName> m_order;
    /// The oldest first.
    std::deque<Uncertain> m_uncertain;
    /// Number of uncertain runs on each lifetime, since each answer of a target asks for them.
    std::unordered_map<std::string, std::size_t> m_uncertainRuns;
    /// Requests that were answered whole, with the number of their answers in m_answerOrder.
    std::unordered_map<Digest, unsigned, HashOfDigest> m_answers;
    std::deque<std::pair<TimePoint, Digest>> m_answerOrder;
    Changes m_changes;
};

} // namespace basilpoint
