#pragma once

#include "Process.h"

#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Support/Endpoint.h"

#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace basilpoint::test {

/// Runs \p body in a fiber on the test process's single event loop.
void runInFiber(const std::function<void(HttpClient&)>& body);

/// Suspends until \p condition holds. \returns false if it does not hold within \p timeout.
bool eventually(const std::function<bool()>& condition, Milliseconds timeout);

class TestFleet;

/// Fails and ends the test, printing the daemons' logs, if \p condition does not hold within \p timeout.
void requireEventually(const TestFleet&, const std::function<bool()>& condition, Milliseconds timeout);

/// Stand-ins and daemons that run as separate processes on the loopback address.
class TestFleet {
public:
    struct Options {
        unsigned daemons = 1;
        unsigned engines = 1;
        std::vector<std::string> engineArguments;
        std::vector<std::string> toolArguments;
        /// Number of daemons, counted from the first one, that keep their journal on disk.
        unsigned durableDaemons = 0;
    };

    TestFleet(HttpClient&, Options);
    ~TestFleet();

    /// Starts or restarts daemon \p n, always as a new instance with the same addresses and data folder.
    void startDaemon(unsigned n);
    Process& daemon(unsigned n) { return *m_daemons[n]; }
    unsigned daemonCount() const { return static_cast<unsigned>(m_daemons.size()); }

    /// Address on which daemon \p n serves callers.
    const Endpoint& callerAddress(unsigned n) const { return m_addresses[n].callers; }
    const std::vector<Endpoint>& engines() const { return m_engines; }
    /// Number of calls that \p engine has started, or empty if it does not answer.
    std::optional<std::uint64_t> startedCalls(unsigned engine);
    unsigned runningEngineCount();
    /// Posts \p body to the operator listener of daemon \p n.
    HttpResponse postToOperatorListener(unsigned n, const std::string& path, const nlohmann::json& body);
    const Endpoint& tool() const { return m_tool; }
    const Endpoint& keyValue() const { return m_keyValue; }

    /// The answer of daemon \p n to GET /debug/state; null if it does not answer.
    nlohmann::json state(unsigned n) const;
    bool ready(unsigned n) const;
    /// Whether every daemon is ready and every shard is owned.
    bool allReady() const;

    /// Environment "test" with model "m" on all engines and the tools "pay" (not idempotent) and "look" (idempotent).
    nlohmann::json document() const;

    /// Runs `basilpoint env apply` on \p document. \returns its exit status.
    int apply(const nlohmann::json& document);

    /// Sets the faults that the stand-in at this address simulates.
    void setFault(const Endpoint&, const nlohmann::json& fault);

    /// Number of effects of each idempotency key at the tool.
    nlohmann::json effects();

    /// The ends of all daemons' logs, for the message of a failed check.
    std::string logs() const;

private:
    struct Addresses {
        Endpoint callers;
        Endpoint operators;
        Endpoint peers;
    };

    Endpoint startStandIn(const std::string& kind, std::vector<std::string> arguments);
    std::string path(const std::string& name) const { return (m_folder / name).string(); }

    HttpClient& m_client;
    Options m_options;
    std::filesystem::path m_folder;
    std::vector<std::unique_ptr<Process>> m_standIns;
    std::vector<std::unique_ptr<Process>> m_daemons;
    std::vector<Addresses> m_addresses;
    std::vector<Endpoint> m_engines;
    Endpoint m_tool;
    Endpoint m_keyValue;
    unsigned m_fileCount = 0;
};

} // namespace basilpoint::test
