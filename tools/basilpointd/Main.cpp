#include "basilpoint/Config/Settings.h"
#include "basilpoint/Daemon/Daemon.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Error.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

using namespace basilpoint;

static constexpr int exitFailure = 1;
static constexpr int exitUsage = 2;

static void startLogging(const std::string& level)
{
    auto parsed = spdlog::level::from_str(level);
    if (parsed == spdlog::level::off)
        throw InvalidInputError("--log-level", level, "trace, debug, info, warn, error");
    spdlog::set_level(parsed);
    spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","message":"%v"})", spdlog::pattern_time_type::utc);
}

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments.front() == "--help") {
        fmt::print("{}\n", settingsHelp("basilpointd", "Schedules agent programs between callers and their targets.", daemonSettings()));
        return 0;
    }
    try {
        SettingValues values = resolveSettings(daemonSettings(), arguments, processEnvironment);
        startLogging(values.text("log-level"));
        FiberRuntime runtime;
        runtime.run([&] { runDaemon(runtime.io(), values); });
    } catch (const InvalidInputError& error) {
        fmt::print(stderr, "basilpointd: {}\n", error.what());
        return exitUsage;
    } catch (const Error& error) {
        fmt::print(stderr, "basilpointd: {}\n", error.what());
        return exitFailure;
    }
    exitProcess(0);
}
