#include "DaemonCommand.h"
#include "EnvCommand.h"

#include "basilpoint/Config/Settings.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/HttpKeyValueStore.h"
#include "basilpoint/Support/Error.h"

#include <algorithm>
#include <fmt/format.h>

using namespace basilpoint;

static constexpr int exitFailure = 1;
static constexpr int exitUsage = 2;
static constexpr std::int64_t noBaseRevision = -1;

static const std::vector<SettingSpec> specs {
    { "key-value", "127.0.0.1:2379", "Address of the key-value service's JSON gateway.", "ADDRESS:PORT" },
    { "daemons", "127.0.0.1:8081", "Operator listeners of the daemons.", "ADDRESS:PORT, separated by commas" },
    { "operator-token", "", "Bearer token to send to the daemons.", "any text" },
    { "base", "-1", "Revision that an edit is based on; -1 for the current one.", "-1 to 9007199254740991", { { noBaseRevision, 9'007'199'254'740'991 } } },
    { "output", "table", "Output format.", "table or json", {}, { "table", "json" } },
};

static constexpr auto usage = R"(Usage: basilpoint [flags] COMMAND

Flags must precede the command. --json is short for --output json.

Commands:
  env validate FILE             check an environment document without storing it
  env diff FILE                 print what a document would change in production
  env try FILE                  store a document as the trial document
  env promote NAME DIGEST       make the trial document with this digest the production document
  env apply FILE                store a document as the production document, without a trial
  env show NAME                 print the stored documents
  env history NAME              list the last revisions, newest first
  env rollback NAME REVISION    restore an earlier production document as a new revision
  status                        print one line for each daemon
  dump                          print the full state of each daemon
  explain PROGRAM               list what the daemons decided about a program, and why
  drain                         start a planned stop of the daemons

Exit codes: 0 success, 1 failure, 2 invalid usage or invalid document.

)";

static void printHelp()
{
    fmt::print("{}{}\n", usage, settingsHelp("basilpoint", "Command line for operators.", specs));
}

// Returns the index of the first argument that is not a flag or a flag's value. Flags are accepted only
// before the command, so that the command's arguments are never taken for flags.
static std::size_t commandIndex(const std::vector<std::string>& arguments)
{
    std::size_t n = 0;
    while (n < arguments.size() && arguments[n].starts_with("--"))
        n += arguments[n].find('=') == std::string::npos ? 2 : 1;
    return std::min(n, arguments.size());
}

static OutputOptions outputOptions(const SettingValues& values)
{
    OutputOptions options { values.text("output") == "json", std::nullopt };
    if (std::int64_t base = values.number("base"); base != noBaseRevision)
        options.base = Revision(static_cast<std::uint64_t>(base));
    return options;
}

static int runCommand(const SettingValues& values, const std::vector<std::string>& command)
{
    static const std::vector<std::string> daemonCommands { "status", "dump", "explain", "drain" };
    OutputOptions options = outputOptions(values);
    bool isDaemonCommand = std::find(daemonCommands.begin(), daemonCommands.end(), command[0]) != daemonCommands.end();
    if (!isDaemonCommand && command[0] != "env")
        throw InvalidInputError("command", command[0], "a command that --help lists");
    int status = 0;
    FiberRuntime runtime;
    runtime.run([&] {
        HttpClient client(runtime.io());
        HttpKeyValueStore store(client, values.endpoint("key-value"));
        if (isDaemonCommand)
            status = runDaemonCommand(client, { values.endpoints("daemons"), values.text("operator-token") }, command, options);
        else
            runEnvCommand(store, { command.begin() + 1, command.end() }, options);
    });
    return status;
}

static int run(const std::vector<std::string>& arguments)
{
    auto commandBegin = arguments.begin() + static_cast<std::ptrdiff_t>(commandIndex(arguments));
    SettingValues values = resolveSettings(specs, { arguments.begin(), commandBegin }, processEnvironment);
    if (commandBegin == arguments.end())
        throw InvalidInputError("command", "", "a command that --help lists");
    return runCommand(values, { commandBegin, arguments.end() });
}

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help") {
        printHelp();
        return arguments.empty() ? exitUsage : 0;
    }
    std::replace(arguments.begin(), arguments.end(), std::string("--json"), std::string("--output=json"));
    try {
        return run(arguments);
    } catch (const InvalidInputError& error) {
        fmt::print(stderr, "basilpoint: {}\n", error.what());
        return exitUsage;
    } catch (const EditConflictError& error) {
        fmt::print(stderr, "basilpoint: {}\n{}", error.what(), error.diff());
        return exitFailure;
    } catch (const Error& error) {
        fmt::print(stderr, "basilpoint: {}\n", error.what());
        return exitFailure;
    }
}
