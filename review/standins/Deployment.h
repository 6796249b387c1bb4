#pragma once

#include "Platform.h"

#include "basilpoint/Net/HttpClient.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>

namespace basilpoint::review {

/// Figures of a site's sheet.
struct Figures {
    unsigned gatewayMegabytes = 0;
    unsigned keeperMegabytes = 0;
    int deadlineMs = 0;
};

inline constexpr Figures kjpBasil { 110, 130, 4'000 };
inline constexpr Figures futoorProd { 260, 270, 3'000 };

/// A small deployment: gateways and keepers run as processes with the command of the deploy file, on loopback.
class Deployment {
public:
    /// \param program path of the program that the deploy file names.
    Deployment(boost::asio::io_context&, Record&, std::filesystem::path folder, std::string program, const Figures&);
    ~Deployment();

    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    void addGateway(const std::string& name, const std::string& zone);
    void addKeeper(const std::string& name, const std::string& zone);

    /// Starts a process, again with its addresses and disk if it has run before.
    void start(const std::string& name);
    void startAll();
    void signal(const std::string& name, int number);
    /// Has the operator empty a keeper's machine and take it away with its disk. \returns whether the system says that it is empty.
    bool retire(const std::string& keeper, Milliseconds limit);
    /// Kills all processes at the same moment.
    void killAll();

    /// Writes the manifest and the entries of the replicas.
    void putManifest();

    /// Waits until all gateways are ready and \p keepers keepers are members of the view. \returns whether they are.
    bool awaitReady(std::size_t keepers, Milliseconds limit);

    struct Turn {
        std::string id;
        std::string program;
        std::string previous;
        std::string body;
    };

    struct Answer {
        /// 0 if no complete answer came.
        int status = 0;
        std::string body;
    };

    /// Sends a turn once, on a connection of its own.
    Answer send(const std::string& gateway, const Turn&);

    /// Sends bytes to a gateway on a connection of its own. \returns what comes back until the gateway closes or \p limit has passed.
    std::string exchange(const std::string& gateway, const std::string& bytes, Milliseconds limit);

    const std::vector<std::string>& gateways() const { return m_gateways; }
    /// The log of a process.
    std::filesystem::path logOf(const std::string& name) const { return m_folder / (name + ".log"); }
    /// From now on, kills each process that uses more memory than its settings allow, and restarts each process that has ended.
    void enforceMemory();
    /// How often a process has ended without a signal of the script's other parts, by name.
    const std::map<std::string, unsigned>& ends() const { return m_ends; }
    /// Largest memory that a process has used, in megabytes.
    const std::map<std::string, unsigned>& peaks() const { return m_peaks; }

    Store store;
    Replica engine;
    /// A replica of the plain service.
    Replica app;

private:
    struct Machine {
        std::string zone;
        bool isGateway = false;
        unsigned callers = 0;
        unsigned readiness = 0;
        unsigned peers = 0;
        unsigned memoryMegabytes = 0;
        int starts = 0;
        pid_t process = 0;
    };

    void add(const std::string& name, const std::string& zone, bool isGateway);
    void writeSettings(const std::string& name, const Machine&) const;
    bool isReady(const Machine&);
    void checkMemory(const std::string& name, Machine&);

    boost::asio::io_context& m_io;
    Record& m_record;
    std::filesystem::path m_folder;
    std::string m_program;
    Figures m_figures;
    std::map<std::string, Machine> m_machines;
    std::vector<std::string> m_gateways;
    std::map<std::string, unsigned> m_ends;
    std::map<std::string, unsigned> m_peaks;
    bool m_isEnforcing = false;
};

} // namespace basilpoint::review
