#pragma once

#include "FakeLink.h"
#include "FakePlatform.h"

#include "../EndToEnd/Process.h"
#include "../Net/TestRuntime.h"

#include "basilpoint/Net/HttpClient.h"

#include <filesystem>
#include <functional>
#include <optional>

namespace basilpoint::test {

inline const char* const defaultZone = "z";

/// A small deployment: gateways and keepers as separate processes, with a fake store and fake targets.
class Deployment {
public:
    /// \param toleratedLosses number of machines that may be lost, as the settings files specify it.
    /// \param moreTools tool services beside the first one; their ids are "i-tool-1" and so on.
    explicit Deployment(unsigned toleratedLosses = 0, unsigned moreTools = 0);

    void end();

    /// \param morePrefixes prefixes of further idempotent routes to the tool services.
    void putConfiguration(int version, const std::vector<std::string>& morePrefixes);

    /// Sets the organisations of configurations that are put from now on, as configurations write them.
    void setOrganisations(nlohmann::json organisations) { m_organisations = std::move(organisations); }

    /// Writes the registration of a target to the store.
    void put(const FakeTarget&, const char* state = "ready");

    /// Starts a process, again with the same addresses and disk if it has run before.
    void start(const std::string& name, bool isGateway, const std::string& zone = defaultZone);

    /// Waits until a process has begun to run its own program and handles signals. \returns whether it has.
    static bool awaitBegin(const Process&);

    /// Limits the descriptors of a running process to \ref descriptors.
    void limitDescriptors(const std::string& name);

    /// Largest memory that the process has used so far, in megabytes.
    unsigned peakMegabytes(const std::string& name);

    /// Kills a process. \returns whether it has ended.
    bool kill(const std::string& name);

    /// Makes the process find each target at the end of a link of its own, which can be cut. Call before start(). Processes
    /// must read the list of targets from the store and not through keepers.
    void linkTargets(const std::string& name);
    /// Link of the process to a target that it has found.
    FakeLink& linkTo(const std::string& name, const FakeTarget&);
    /// Cuts the process off from all targets until heal().
    void cut(const std::string& name, CutKind);
    void heal(const std::string& name);

    /// Makes one call on a new connection. \returns status 0 if no answer arrives.
    HttpResponse call(unsigned port, const std::string& method, const std::string& target, HttpHeaders headers = {}, const std::string& body = {});

    /// As call(); keeps the answer in \ref answer.
    int statusAt(unsigned port, const std::string& method, const std::string& target, HttpHeaders headers = {}, const std::string& body = {});

    bool isReady(const std::string& name) { return statusAt(instances[name].readiness, "GET", "/-/ready") == 200; }

    int turn(const std::string& at, const std::string& id, const std::string& previous, const std::string& input, const std::string& program = "p1", int budget = 1000);

    struct Links {
        /// By the address of the target.
        std::map<std::string, std::shared_ptr<FakeLink>> byAddress;
        std::optional<CutKind> cut;
    };

    struct Instance {
        unsigned callers = 0;
        unsigned readiness = 0;
        unsigned peers = 0;
        int starts = 0;
    };

    static inline int count = 0;

    std::filesystem::path folder;
    unsigned tolerated;
    /// Descriptors that processes may use, as their settings say; see limitDescriptors().
    unsigned descriptors = 4'096;
    /// Memory that processes may use, as their settings say.
    unsigned memoryMegabytes = 64;
    /// Time between the signal to stop a process and its kill, as their settings say.
    unsigned graceSeconds = 6;
    /// Longest reservation at the engines, as the configuration says; with 0 they take none.
    int longestReservation = 0;
    /// Whether the configuration says that broken streams may be continued.
    bool isResumable = false;
    FakeStore store;
    /// Addresses at which processes find the store, if not at its own.
    std::map<std::string, Endpoint> storeAddresses;
    /// By process.
    std::map<std::string, Links> links;
    FakeTarget engine;
    FakeTarget spare;
    FakeTarget tool;
    std::vector<std::unique_ptr<FakeTarget>> moreTools;
    std::map<std::string, Instance> instances;
    std::map<std::string, std::shared_ptr<Process>> processes;
    /// Headers of all calls that do not state them otherwise.
    HttpHeaders callerHeaders;
    /// Prefixes of idempotent routes to the tool services for which callers need no key.
    std::vector<std::string> publicPrefixes;
    std::string answer;
    HttpHeaders answerHeaders;
    int calls = 0;

private:
    /// Null if configurations have none.
    nlohmann::json m_organisations;
};

/// Polls until \p condition holds, for \p limit at most.
template <typename Condition>
bool eventually(Condition condition, std::chrono::seconds limit = std::chrono::seconds(10))
{
    auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        pause(std::chrono::milliseconds(20));
    }
    return true;
}

/// Starts the gateways "a" and "b" and the keepers, and waits until all are in the list of daemons.
void startAll(Deployment&, const std::map<std::string, std::string>& zonesOfKeepers);

/// Has the operator empty a keeper, then removes it together with its disk.
void emptyAndRemove(Deployment&, const std::string& keeper);

/// Runs \p body in a fiber of the test's event loop.
void inFiber(const std::function<void()>& body);

} // namespace basilpoint::test
