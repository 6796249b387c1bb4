#include "Workload.h"

#include <algorithm>
#include <cmath>

namespace basilpoint::bench {

// Approximate time per output token without queueing, from which deadlines are derived.
static constexpr double secondsPerOutputToken = 0.016;
static constexpr double deadlineFactor = 3;
// Share of programs that repeat one turn until their deadline.
static constexpr double loopShare = 0.01;
// Share of tool calls that hang until the daemon's tool timeout.
static constexpr double hangShare = 0.003;
static constexpr double hangSeconds = 30;

namespace {

    /// Generates random programs of one kind.
    class ProgramGenerator {
    public:
        ProgramGenerator(WorkloadKind kind, RandomEngine& random)
            : m_kind(kind)
            , m_random(random)
        {
        }

        ProgramSpec program(bool subAgent)
        {
            return m_kind == WorkloadKind::PeriodClose ? reconciliation(subAgent) : chat();
        }

    private:
        double logNormal(double median, double sigma) { return std::lognormal_distribution<double>(std::log(median), sigma)(m_random); }
        bool chance(double share) { return std::bernoulli_distribution(share)(m_random); }
        TokenCount tokens(double median, double sigma, double longest) { return static_cast<TokenCount>(std::clamp(logNormal(median, sigma), 8.0, longest)); }

        ProgramSpec reconciliation(bool subAgent)
        {
            ProgramSpec spec;
            spec.owner = chance(0.5) ? "societies-a" : "societies-b";
            spec.promptTokens = tokens(3'000, 0.5, 12'000);
            auto turns = static_cast<std::size_t>(std::clamp(logNormal(subAgent ? 3 : 7, 1.0), 1.0, subAgent ? 12.0 : 120.0));
            for (std::size_t n = 0; n < turns; ++n) {
                Turn turn;
                turn.outputTokens = tokens(150, 0.7, 2'000);
                turn.addedTokens = tokens(300, 0.8, 4'000);
                pickTool(turn);
                if (!subAgent && chance(0.01))
                    turn.subAgents = { reconciliation(true), reconciliation(true) };
                spec.turns.push_back(std::move(turn));
            }
            return spec;
        }

        void pickTool(Turn& turn)
        {
            if (chance(0.6)) {
                turn.tool = "statement-lookup";
                turn.pauseSeconds = logNormal(0.3, 0.6);
            } else if (chance(0.8)) {
                turn.tool = "payout";
                turn.pauseSeconds = logNormal(2, 0.8);
            } else {
                turn.tool = "approval";
                turn.pauseSeconds = std::min(120.0, logNormal(10, 1.0));
            }
            if (chance(hangShare))
                turn.pauseSeconds = hangSeconds;
        }

        ProgramSpec chat()
        {
            ProgramSpec spec;
            spec.owner = "breakfast-" + std::to_string(std::uniform_int_distribution<int>(0, 4)(m_random));
            spec.promptTokens = tokens(1'800, 0.4, 6'000);
            spec.latencyWeight = 0.6;
            spec.cacheWeight = 0.4;
            auto turns = static_cast<std::size_t>(std::clamp(logNormal(4, 0.7), 1.0, 40.0));
            for (std::size_t n = 0; n < turns; ++n) {
                Turn turn;
                turn.outputTokens = tokens(90, 0.6, 800);
                turn.addedTokens = tokens(60, 0.8, 1'000);
                bool lookup = chance(0.3);
                turn.tool = lookup ? "head-count" : "";
                turn.pauseSeconds = lookup ? logNormal(0.2, 0.5) : std::min(180.0, logNormal(8, 1.0));
                spec.turns.push_back(std::move(turn));
            }
            return spec;
        }

        WorkloadKind m_kind;
        RandomEngine& m_random;
    };

} // namespace

static double idealSeconds(const ProgramSpec& spec)
{
    double seconds = 0;
    for (const Turn& turn : spec.turns) {
        double longest = 0;
        for (const ProgramSpec& subAgent : turn.subAgents)
            longest = std::max(longest, idealSeconds(subAgent));
        seconds += longest + turn.pauseSeconds + static_cast<double>(turn.outputTokens) * secondsPerOutputToken;
    }
    return seconds;
}

static void loopForever(ProgramSpec& spec)
{
    static constexpr std::size_t loopTurns = 460;
    spec.loops = true;
    Turn repeated = spec.turns.front();
    repeated.subAgents.clear();
    repeated.pauseSeconds = std::min(repeated.pauseSeconds, 1.0);
    repeated.addedTokens = std::min<TokenCount>(repeated.addedTokens, 100);
    spec.turns.assign(loopTurns, repeated);
}

std::vector<ProgramSpec> makeWorkload(const WorkloadSettings& settings)
{
    RandomEngine random(settings.seed);
    ProgramGenerator generator(settings.kind, random);
    std::exponential_distribution<double> gap(1);
    std::bernoulli_distribution loop(loopShare);
    double minDeadline = settings.kind == WorkloadKind::PeriodClose ? 60 : 30;
    std::vector<ProgramSpec> programs;
    // Arrivals are drawn at unit rate and scaled, so that every load has the same programs in the same order.
    for (double at = gap(random); at / settings.programsPerSecond < settings.durationSeconds; at += gap(random)) {
        ProgramSpec spec = generator.program(false);
        spec.arrivalSeconds = at / settings.programsPerSecond;
        spec.deadlineSeconds = minDeadline + deadlineFactor * idealSeconds(spec);
        if (loop(random))
            loopForever(spec);
        programs.push_back(std::move(spec));
    }
    return programs;
}

} // namespace basilpoint::bench
