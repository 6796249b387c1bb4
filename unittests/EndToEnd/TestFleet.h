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

/// Runs \p body in a fiber of this process's one event loop.
void runInFiber(const std::function<void(HttpClient&)>& body);

/// Suspends until \p condition holds. \returns false if it does not within \p limit.
bool eventually(const std::function<bool()>& condition, Milliseconds limit);

class TestFleet;

/// Ends the test with the daemons' logs if \p condition does not hold within \p limit.
void requireEventually(const TestFleet&, const std::function<bool()>& condition, Milliseconds limit);

/// Stand-ins and daemons as separate processes on loopback.
class TestFleet {
public:
    struct Options {
        unsigned daemons = 1;
        unsigned engines = 1;
        std::vector<std::string> engineArguments;
        std::vector<std::string> toolArguments;
        /// Daemons, from the first on, that keep their journal on disk.
        unsigned durable = 0;
    };

    TestFleet(HttpClient&, Options);
    ~TestFleet();

    /// Starts daemon \p n again, as a new instance on the same addresses and folder.
    void startDaemon(unsigned n);
    Process& daemon(unsigned n) { return *m_daemons[n]; }
    unsigned daemonCount() const { return static_cast<unsigned>(m_daemons.size()); }

    const Endpoint& callers(unsigned n) const { return m_addresses[n].callers; }
    const std::vector<Endpoint>& engines() const { return m_engines; }
    /// Calls that each engine has begun, or empty for one that is gone.
    std::optional<std::uint64_t> servedBy(unsigned engine);
    unsigned enginesRunning();
    /// Posts \p body to the operators' listener of daemon \p n.
    HttpResponse operate(unsigned n, const std::string& path, const nlohmann::json& body);
    const Endpoint& tool() const { return m_tool; }
    const Endpoint& keyValue() const { return m_keyValue; }

    /// Dump of daemon \p n; null if it does not answer.
    nlohmann::json state(unsigned n) const;
    bool ready(unsigned n) const;
    bool allReady() const;

    /// Environment "test" with model "m" on all engines and tools "pay" (not idempotent) and "look" (idempotent).
    nlohmann::json document() const;

    /// Runs `basilpoint env apply` on \p document. \returns its exit status.
    int apply(const nlohmann::json& document);

    /// Sets faults of a stand-in.
    void setFault(const Endpoint&, const nlohmann::json& fault);

    /// Effects of each key at the tool.
    nlohmann::json effects();

    /// Logs of all daemons, for a failed check.
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
    unsigned m_files = 0;
};

} // namespace basilpoint::test
