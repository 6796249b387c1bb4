#include "EnvCommand.h"

#include "basilpoint/Config/Settings.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/HttpKeyValueStore.h"
#include "basilpoint/Support/Error.h"

#include <fmt/format.h>

using namespace basilpoint;

static constexpr int exitFailure = 1;
static constexpr int exitUsage = 2;

static const std::vector<SettingSpec> specs {
    { "key-value", "127.0.0.1:2379", "Address of the key-value service's JSON gateway.", "ADDRESS:PORT" },
};

static constexpr auto usage = R"(Usage: basilpoint [flags] COMMAND

Commands:
  env validate FILE   check an environment document without storing it
  env apply FILE      check a document and put it in force

)";

static void printHelp()
{
    fmt::print("{}{}\n", usage, settingsHelp("basilpoint", "Command line for operators.", specs));
}

// Flags stand before the command, so that a command's own words are never taken for flags.
static std::size_t commandIndex(const std::vector<std::string>& arguments)
{
    std::size_t n = 0;
    while (n < arguments.size() && arguments[n].starts_with("--"))
        n += arguments[n].find('=') == std::string::npos ? 2 : 1;
    return std::min(n, arguments.size());
}

static int runCommand(const SettingValues& values, const std::vector<std::string>& command)
{
    int status = exitUsage;
    FiberRuntime runtime;
    runtime.run([&] {
        HttpClient client(runtime.io());
        HttpKeyValueStore store(client, values.endpoint("key-value"));
        if (command.size() == 3 && command[0] == "env")
            status = runEnvCommand(store, command[1], command[2]);
        else
            printHelp();
    });
    return status;
}

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help") {
        printHelp();
        return arguments.empty() ? exitUsage : 0;
    }
    try {
        auto split = arguments.begin() + static_cast<std::ptrdiff_t>(commandIndex(arguments));
        SettingValues values = resolveSettings(specs, { arguments.begin(), split }, processEnvironment);
        return runCommand(values, { split, arguments.end() });
    } catch (const InvalidInputError& error) {
        fmt::print(stderr, "basilpoint: {}\n", error.what());
        return exitUsage;
    } catch (const Error& error) {
        fmt::print(stderr, "basilpoint: {}\n", error.what());
        return exitFailure;
    }
}
