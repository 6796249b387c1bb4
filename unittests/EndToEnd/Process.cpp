#include "Process.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace basilpoint::test {

// Runs in the child. The kernel kills the child if the test process dies without running destructors.
[[noreturn]] static void execProgram(const std::string& path, const std::vector<char*>& argv, const std::string& logFile)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    // A listening socket of the test process would otherwise stay open in the child after the test closes it.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(path.c_str(), argv.data());
    _exit(127);
}

Process::Process(const std::string& program, const std::vector<std::string>& arguments, std::string logFile)
    : m_logFile(std::move(logFile))
{
    std::string path = std::string(BASILPOINT_BIN_DIR) + "/" + program;
    std::vector<char*> argv { path.data() };
    std::vector<std::string> copies = arguments;
    for (std::string& argument : copies)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    m_id = fork();
    if (m_id < 0)
        throw std::runtime_error("cannot start " + path);
    if (m_id == 0)
        execProgram(path, argv, m_logFile);
}

Process::~Process()
{
    if (!running())
        return;
    signal(SIGKILL);
    waitpid(m_id, nullptr, 0);
}

void Process::signal(int number) const
{
    kill(m_id, number);
}

bool Process::running()
{
    if (m_ended)
        return false;
    int status = 0;
    if (waitpid(m_id, &status, WNOHANG) == 0)
        return true;
    m_ended = true;
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    m_signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return false;
}

std::string Process::log() const
{
    std::ifstream in(m_logFile);
    std::ostringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

static bool canBind(unsigned port)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    bool isBound = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    return isBound;
}

// Picks ports below the system's ephemeral range: otherwise an outgoing connection could take the port
// before the program that is to listen on it has started.
unsigned freePort()
{
    static constexpr unsigned firstPort = 12'000;
    static constexpr unsigned portCount = 18'000;
    static unsigned next = static_cast<unsigned>(getpid()) * 199;
    for (unsigned n = 0; n < portCount; ++n) {
        unsigned port = firstPort + next++ % portCount;
        if (canBind(port))
            return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace basilpoint::test
