#include "StandIn.h"

#include "basilpoint/Config/Settings.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Error.h"

#include <boost/asio/signal_set.hpp>
#include <cassert>
#include <cstdio>
#include <fmt/format.h>

using namespace basilpoint;

static const std::vector<SettingSpec> specs {
    { "kind", "engine", "Service to simulate.", "engine, tool, kv or platform", {}, { "engine", "tool", "kv", "platform" } },
    { "listen", "127.0.0.1:0", "Address to listen on; port 0 picks a free port. The address is printed.", "ADDRESS:PORT" },
    { "prefill-ms", "20", "Engine: milliseconds to the first token per 1,000 uncached prompt tokens.", "0 to 60000", { { 0, 60'000 } } },
    { "token-ms", "2", "Engine: milliseconds between tokens.", "0 to 60000", { { 0, 60'000 } } },
    { "answer-tokens", "16", "Engine: most tokens of an answer.", "1 to 100000", { { 1, 100'000 } } },
    { "tool-ms", "5", "Tool: milliseconds per call.", "0 to 3600000", { { 0, 3'600'000 } } },
    { "crash-on", "", "Engine: the process exits when a request contains this text; empty disables this.", "any text" },
    { "cache-tokens", "1000000", "Engine: capacity of the prompt cache in tokens.", "0 to 1000000000", { { 0, 1'000'000'000 } } },
    { "honours-fencing", "1", "Engine: whether orders with an outdated fencing number are refused.", "0 or 1", { { 0, 1 } } },
    { "lag-ms", "0", "Engine, platform: age in milliseconds of load reports and instance lists.", "0 to 3600000", { { 0, 3'600'000 } } },
};

static HttpServer::Handler makeHandler(boost::asio::io_context& io, const Clock& clock, const SettingValues& values)
{
    standin::StandInSettings settings { Milliseconds(values.number("prefill-ms")), Milliseconds(values.number("token-ms")), static_cast<unsigned>(values.number("answer-tokens")), Milliseconds(values.number("tool-ms")), values.text("crash-on"), static_cast<std::size_t>(values.number("cache-tokens")), values.number("honours-fencing") == 1, Milliseconds(values.number("lag-ms")) };
    const std::string& kind = values.text("kind");
    if (kind == "engine")
        return standin::makeEngine(io, clock, settings);
    if (kind == "tool")
        return standin::makeTool(io, settings);
    if (kind == "kv")
        return standin::makeKeyValue(io, clock);
    assert(kind == "platform" && "the settings allow these kinds only");
    return standin::makePlatform(clock, settings);
}

static void serve(const SettingValues& values)
{
    SystemClock clock;
    FiberRuntime runtime;
    runtime.run([&] {
        boost::asio::io_context& io = runtime.io();
        HttpServer server(io, values.endpoint("listen"), {}, makeHandler(io, clock, values));
        server.start();
        fmt::print("{}\n", server.endpoint().text());
        std::fflush(stdout);
        boost::asio::signal_set signals(io, SIGINT, SIGTERM);
        awaitSignal(signals);
    });
}

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments.front() == "--help") {
        fmt::print("{}\n", settingsHelp("basilpoint-standin", "Simulates a service that basilpoint works with, for tests and demos.", specs));
        return 0;
    }
    try {
        serve(resolveSettings(specs, arguments, processEnvironment));
    } catch (const InvalidInputError& error) {
        fmt::print(stderr, "basilpoint-standin: {}\n", error.what());
        return 2;
    } catch (const Error& error) {
        fmt::print(stderr, "basilpoint-standin: {}\n", error.what());
        return 1;
    }
    exitProcess(0);
}
