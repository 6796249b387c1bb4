#include "LoadRun.h"

#include "basilpoint/Config/Settings.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Error.h"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace basilpoint;
using namespace basilpoint::bench;

static const std::vector<SettingSpec> specs {
    { "address", "127.0.0.1:8080", "Daemon or engine to call.", "ADDRESS:PORT" },
    { "environment", "", "Environment in which each stream opens a program; if empty, an engine is called directly.", "a name or empty" },
    { "model", "m", "Model to call.", "a name" },
    { "streams", "1", "Number of concurrent streams.", "1 to 10000", { { 1, 10'000 } } },
    { "calls", "10", "Number of sequential calls per stream.", "1 to 1000000", { { 1, 1'000'000 } } },
    { "tokens", "16", "Tokens per response.", "1 to 100000", { { 1, 100'000 } } },
    { "ramp-ms", "1000", "Milliseconds over which the streams' starts are spread.", "0 to 3600000", { { 0, 3'600'000 } } },
    { "pid", "0", "Process whose CPU time is reported; 0 for none.", "0 to 4194304", { { 0, 4'194'304 } } },
};

// Reads utime and stime, fields 14 and 15 of /proc/PID/stat. Fields are counted from the end of the process name, which
// may contain spaces.
static double cpuSeconds(std::int64_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::ostringstream buf;
    buf << in.rdbuf();
    std::string text = buf.str();
    if (pid == 0 || text.empty())
        return 0;
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int n = 3; n < 14; ++n)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

static nlohmann::json quantiles(const LatencyHistogram& histogram)
{
    auto at = [&](double quantile) { return fmt::format("{:.3f}", histogram.quantileMilliseconds(quantile)); };
    return { { "count", histogram.count() }, { "p50Ms", at(0.5) }, { "p95Ms", at(0.95) }, { "p99Ms", at(0.99) } };
}

static void run(const SettingValues& values)
{
    LoadSettings settings { values.endpoint("address"), values.text("environment"), values.text("model"), static_cast<unsigned>(values.number("streams")), static_cast<unsigned>(values.number("calls")), static_cast<unsigned>(values.number("tokens")), Milliseconds(values.number("ramp-ms")) };
    std::int64_t pid = values.number("pid");
    FiberRuntime runtime;
    runtime.run([&] {
        double before = cpuSeconds(pid);
        LoadResult result = runLoad(runtime.io(), settings);
        double cpu = cpuSeconds(pid) - before;
        double seconds = std::chrono::duration<double>(result.duration).count();
        double tokensPerSecond = static_cast<double>(result.tokens) / seconds;
        nlohmann::json json { { "streams", settings.streams }, { "failures", result.failures }, { "tokens", result.tokens }, { "seconds", fmt::format("{:.2f}", seconds) }, { "tokensPerSecond", fmt::format("{:.0f}", tokensPerSecond) } };
        json["firstToken"] = quantiles(result.firstToken);
        json["betweenTokens"] = quantiles(result.betweenTokens);
        json["cpuSeconds"] = fmt::format("{:.2f}", cpu);
        json["cpuPercentPerThousandTokensPerSecond"] = fmt::format("{:.1f}", 100 * cpu / seconds / (tokensPerSecond / 1'000));
        fmt::print("{}\n", json.dump());
    });
}

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments.front() == "--help") {
        fmt::print("{}\n", settingsHelp("basilpoint-load", "Streams model calls and reports their latency.", specs));
        return 0;
    }
    try {
        run(resolveSettings(specs, arguments, processEnvironment));
    } catch (const Error& error) {
        fmt::print(stderr, "basilpoint-load: {}\n", error.what());
        return 2;
    }
    exitProcess(0);
}
