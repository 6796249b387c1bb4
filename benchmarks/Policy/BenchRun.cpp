#include "BenchRun.h"

#include "ProgramDriver.h"

#include <algorithm>

namespace basilpoint::bench {

static constexpr double warmUpSeconds = 120;
static constexpr double drainSeconds = 900;
static constexpr double tickSeconds = 0.1;
static constexpr double sampleSeconds = 5;
static constexpr double restartSeconds = 30;
static constexpr double crashDelaySeconds = 0.3;

namespace {

    /// One run of a policy, engines, programs and faults.
    class Bench {
    public:
        explicit Bench(const RunSettings& settings)
            : m_settings(settings)
            , m_random(settings.workload.seed + 1)
            , m_policy(makePolicy(settings.policy, settings.scheduler, settings.workload.seed + 2))
            , m_driver(m_events, *m_policy, settings.workload.seed + 3)
            , m_engines(m_events, settings.engine, reportSettings(settings), hooks(), settings.workload.seed + 4)
            , m_programs(makeWorkload(settings.workload))
        {
            m_driver.setEngines(m_engines);
            m_driver.onCrashRequestSent = [this](const TargetId& target) {
                ++m_crashRequestCrashes;
                m_events.after(crashDelaySeconds, [this, target] { kill(target, restartSeconds); });
            };
        }

        RunResult run()
        {
            for (unsigned n = 0; n < m_settings.replicas; ++n)
                start(TargetId("replica-" + std::to_string(n)));
            for (const ProgramSpec& spec : m_programs)
                m_events.after(spec.arrivalSeconds, [this, &spec] { m_driver.begin(spec); });
            scheduleFaults();
            tick();
            sample();
            m_events.run(m_settings.workload.durationSeconds + drainSeconds);
            return result();
        }

    private:
        static ReportSettings reportSettings(const RunSettings& settings)
        {
            if (!settings.faults.staleReports)
                return {};
            return { 2, 8, 0.5, 10 };
        }

        EnginePool::Hooks hooks()
        {
            return {
                [this](CallId id) { m_driver.firstToken(id); },
                [this](CallId id) { m_driver.finished(id); },
                [this](const LoadReport& report) { m_driver.apply(m_policy->loadReported(report, m_events.now())); },
                [this](const TargetId& target, const ProgramId& program) { m_driver.apply(m_policy->cacheEvicted(target, program, m_events.now())); },
                [this](const TargetId& target) { m_driver.apply(m_policy->cacheEventsMissed(target, m_events.now())); },
            };
        }

        void start(const TargetId& target)
        {
            m_engines.start(target);
            m_driver.apply(m_policy->addTarget(target, m_events.now()));
        }

        void kill(const TargetId& target, double downFor)
        {
            if (!m_engines.isRunning(target))
                return;
            std::vector<CallId> lost = m_engines.kill(target);
            m_driver.apply(m_policy->removeTarget(target, m_events.now()));
            m_driver.targetCrashed(lost);
            m_events.after(downFor, [this, target] { start(target); });
        }

        void scheduleRandomCrash()
        {
            m_events.after(std::exponential_distribution<double>(1 / m_settings.faults.crashInterval)(m_random), [this] {
                std::vector<TargetId> targets = m_engines.targets();
                if (targets.size() > 1)
                    kill(targets[std::uniform_int_distribution<std::size_t>(0, targets.size() - 1)(m_random)], restartSeconds);
                scheduleRandomCrash();
            });
        }

        void scheduleFaults()
        {
            const FaultSettings& faults = m_settings.faults;
            if (faults.crashInterval > 0)
                scheduleRandomCrash();
            if (faults.dataCentreLostAt > 0)
                m_events.after(faults.dataCentreLostAt, [this] { loseDataCentre(); });
            if (faults.crashRequestAt > 0)
                m_events.after(faults.crashRequestAt, [this] { sendCrashRequest(); });
        }

        void loseDataCentre()
        {
            std::vector<TargetId> targets = m_engines.targets();
            targets.resize(targets.size() / 3);
            for (const TargetId& target : targets)
                kill(target, m_settings.faults.dataCentreLostFor);
        }

        void sendCrashRequest()
        {
            m_crashSpec = m_programs.front();
            m_crashSpec.crashes = true;
            m_crashSpec.deadlineSeconds = drainSeconds;
            m_driver.begin(m_crashSpec);
        }

        void tick()
        {
            m_driver.apply(m_policy->tick(m_events.now()));
            m_events.after(tickSeconds, [this] { tick(); });
        }

        void sample()
        {
            if (m_events.seconds() >= warmUpSeconds && m_events.seconds() <= m_settings.workload.durationSeconds) {
                auto use = m_engines.idleUse([this](const ProgramId& program) { return m_driver.hasEnded(program); });
                m_idleUse += use.idle;
                m_endedUse += use.ended;
                ++m_samples;
            }
            m_events.after(sampleSeconds, [this] { sample(); });
        }

        RunResult result() const;

        RunSettings m_settings;
        EventQueue m_events;
        RandomEngine m_random;
        std::unique_ptr<Policy> m_policy;
        ProgramDriver m_driver;
        EnginePool m_engines;
        std::vector<ProgramSpec> m_programs;
        ProgramSpec m_crashSpec;
        unsigned m_crashRequestCrashes = 0;
        double m_idleUse = 0;
        double m_endedUse = 0;
        std::size_t m_samples = 0;
    };

} // namespace

static double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    auto nth = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

static double pauseOf(const ProgramSpec& spec)
{
    double seconds = 0;
    for (std::size_t n = 0; n + 1 < spec.turns.size(); ++n)
        seconds += spec.turns[n].pauseSeconds;
    return seconds;
}

static TokenCount outputOf(const ProgramSpec& spec)
{
    TokenCount tokens = 0;
    for (const Turn& turn : spec.turns) {
        tokens += turn.outputTokens;
        for (const ProgramSpec& subAgent : turn.subAgents)
            tokens += outputOf(subAgent);
    }
    return tokens;
}

RunResult Bench::result() const
{
    RunResult result;
    std::vector<double> latencies;
    std::vector<double> served;
    std::size_t inTime = 0;
    double sum = 0;
    double servedSum = 0;
    TokenCount tokens = 0;
    for (const ProgramDriver::Outcome& outcome : m_driver.outcomes()) {
        if (outcome.arrivedAt < warmUpSeconds || outcome.spec->loops || outcome.spec->crashes)
            continue;
        latencies.push_back(outcome.latency);
        served.push_back(outcome.latency - (outcome.finished ? pauseOf(*outcome.spec) : 0));
        servedSum += served.back();
        sum += outcome.latency;
        inTime += outcome.finished ? 1 : 0;
        tokens += outcome.finished ? outputOf(*outcome.spec) : 0;
    }
    double n = static_cast<double>(std::max<std::size_t>(1, latencies.size()));
    result.programs = latencies.size();
    result.inTime = static_cast<double>(inTime) / n;
    result.goodput = static_cast<double>(inTime) / (m_settings.workload.durationSeconds - warmUpSeconds);
    result.goodTokens = static_cast<double>(tokens) / (m_settings.workload.durationSeconds - warmUpSeconds);
    result.mean = sum / n;
    result.p50 = quantile(latencies, 0.5);
    result.p95 = quantile(latencies, 0.95);
    result.p99 = quantile(latencies, 0.99);
    result.servedMean = servedSum / n;
    result.servedP95 = quantile(served, 0.95);
    result.recomputed = m_engines.recomputedTokens();
    result.prefilled = m_engines.prefilledTokens();
    result.idleCache = m_idleUse / static_cast<double>(std::max<std::size_t>(1, m_samples));
    result.endedProgramCache = m_endedUse / static_cast<double>(std::max<std::size_t>(1, m_samples));
    result.refusals = m_driver.refusals();
    result.crashRequestCrashes = m_crashRequestCrashes;
    return result;
}

RunResult run(const RunSettings& settings)
{
    return Bench(settings).run();
}

} // namespace basilpoint::bench
