#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace basilpoint::test {

/// A program of this project that runs as a child process.
class Process {
public:
    /// Starts \p program from the build's bin folder; its output goes to \p logFile.
    Process(const std::string& program, const std::vector<std::string>& arguments, std::string logFile);
    ~Process();

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;

    /// Whether the process is still running.
    bool running();

    /// Exit status after running() has returned false; -1 if a signal ended the process.
    int exitStatus() const { return m_status; }
    /// Signal that ended the process; 0 if none did.
    int endingSignal() const { return m_signal; }

    std::string log() const;
    pid_t id() const { return m_id; }

private:
    pid_t m_id = 0;
    int m_status = -1;
    int m_signal = 0;
    bool m_ended = false;
    std::string m_logFile;
};

/// \returns a loopback port that no process is listening on.
/// \throws std::runtime_error if there is none.
unsigned freePort();

} // namespace basilpoint::test
