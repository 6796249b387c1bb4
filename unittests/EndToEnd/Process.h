#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace basilpoint::test {

/// A program of this project, started as a process of its own.
class Process {
public:
    /// Starts \p program from the build's bin folder; its output goes to \p logFile.
    Process(const std::string& program, const std::vector<std::string>& arguments, std::string logFile);
    ~Process();

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;

    /// Whether the process still runs.
    bool running();

    /// Exit status once the process has ended; -1 after a signal.
    int exitStatus() const { return m_status; }

    std::string log() const;
    pid_t id() const { return m_id; }

private:
    pid_t m_id = 0;
    int m_status = -1;
    bool m_ended = false;
    std::string m_logFile;
};

/// A port of the loopback address that nothing listens on now.
unsigned freePort();

} // namespace basilpoint::test
