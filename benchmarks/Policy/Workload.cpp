#include "Workload.h"

#include <algorithm>
#include <cmath>

namespace basilpoint::bench {

// Rough time of a turn without any queue, for deadlines in proportion to the work.
static constexpr double secondsPerOutputToken = 0.016;
static constexpr double deadlineFactor = 3;
static constexpr double loopShare = 0.01;
static constexpr double hangShare = 0.003;
// The daemon's tool timeout ends a hang.
static constexpr double hangSeconds = 30;

namespace {

    /// Draws programs of one kind.
    class Drawer {
    public:
        Drawer(WorkloadKind kind, RandomEngine& random)
            : m_kind(kind)
            , m_random(random)
        {
        }

        ProgramShape program(bool subAgent)
        {
            return m_kind == WorkloadKind::PeriodClose ? reconciliation(subAgent) : chat();
        }

    private:
        double logNormal(double median, double sigma) { return std::lognormal_distribution<double>(std::log(median), sigma)(m_random); }
        bool chance(double share) { return std::bernoulli_distribution(share)(m_random); }
        TokenCount tokens(double median, double sigma, double longest) { return static_cast<TokenCount>(std::clamp(logNormal(median, sigma), 8.0, longest)); }

        ProgramShape reconciliation(bool subAgent)
        {
            ProgramShape shape;
            shape.owner = chance(0.5) ? "societies-a" : "societies-b";
            shape.promptTokens = tokens(3'000, 0.5, 12'000);
            auto turns = static_cast<std::size_t>(std::clamp(logNormal(subAgent ? 3 : 7, 1.0), 1.0, subAgent ? 12.0 : 120.0));
            for (std::size_t n = 0; n < turns; ++n) {
                Turn turn;
                turn.outputTokens = tokens(150, 0.7, 2'000);
                turn.addedTokens = tokens(300, 0.8, 4'000);
                pickTool(turn);
                if (!subAgent && chance(0.01))
                    turn.subAgents = { reconciliation(true), reconciliation(true) };
                shape.turns.push_back(std::move(turn));
            }
            return shape;
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

        ProgramShape chat()
        {
            ProgramShape shape;
            shape.owner = "breakfast-" + std::to_string(std::uniform_int_distribution<int>(0, 4)(m_random));
            shape.promptTokens = tokens(1'800, 0.4, 6'000);
            shape.latencyWeight = 0.6;
            shape.cacheWeight = 0.4;
            auto turns = static_cast<std::size_t>(std::clamp(logNormal(4, 0.7), 1.0, 40.0));
            for (std::size_t n = 0; n < turns; ++n) {
                Turn turn;
                turn.outputTokens = tokens(90, 0.6, 800);
                turn.addedTokens = tokens(60, 0.8, 1'000);
                bool lookup = chance(0.3);
                turn.tool = lookup ? "head-count" : "";
                turn.pauseSeconds = lookup ? logNormal(0.2, 0.5) : std::min(180.0, logNormal(8, 1.0));
                shape.turns.push_back(std::move(turn));
            }
            return shape;
        }

        WorkloadKind m_kind;
        RandomEngine& m_random;
    };

} // namespace

static double idealSeconds(const ProgramShape& shape)
{
    double seconds = 0;
    for (const Turn& turn : shape.turns) {
        double longest = 0;
        for (const ProgramShape& subAgent : turn.subAgents)
            longest = std::max(longest, idealSeconds(subAgent));
        seconds += longest + turn.pauseSeconds + static_cast<double>(turn.outputTokens) * secondsPerOutputToken;
    }
    return seconds;
}

static void loopForever(ProgramShape& shape)
{
    static constexpr std::size_t loopTurns = 460;
    shape.loops = true;
    Turn repeated = shape.turns.front();
    repeated.subAgents.clear();
    repeated.pauseSeconds = std::min(repeated.pauseSeconds, 1.0);
    repeated.addedTokens = std::min<TokenCount>(repeated.addedTokens, 100);
    shape.turns.assign(loopTurns, repeated);
}

std::vector<ProgramShape> makeWorkload(const WorkloadSettings& settings)
{
    RandomEngine random(settings.seed);
    Drawer drawer(settings.kind, random);
    std::exponential_distribution<double> gap(1);
    std::bernoulli_distribution loop(loopShare);
    double minDeadline = settings.kind == WorkloadKind::PeriodClose ? 60 : 30;
    std::vector<ProgramShape> programs;
    // Arrivals at unit rate are scaled, so that every load has the same programs in the same order.
    for (double at = gap(random); at / settings.programsPerSecond < settings.durationSeconds; at += gap(random)) {
        ProgramShape shape = drawer.program(false);
        shape.arrivalSeconds = at / settings.programsPerSecond;
        shape.deadlineSeconds = minDeadline + deadlineFactor * idealSeconds(shape);
        if (loop(random))
            loopForever(shape);
        programs.push_back(std::move(shape));
    }
    return programs;
}

} // namespace basilpoint::bench
