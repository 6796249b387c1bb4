#pragma once

#include "TestFleet.h"

#include "basilpoint/Support/Random.h"

namespace basilpoint::test {

/// What became of a non-idempotent call, as its caller was told.
enum class ToolResult {
    Ran,
    NotRun,
    Unknown,
};

/// A check of a caller failed and was reported; its program goes no further.
struct CallerFailed { };

/// A caller as real ones are: tries another daemon under the same key when one is gone.
class Caller {
public:
    Caller(HttpClient&, TestFleet&, unsigned seed);

    /// Opens a program. \returns its id.
    std::string open(const std::string& key, unsigned budgetTokens = 100'000);

    /// Runs a streamed model call to its closing event. \returns the content.
    /// Fails the test if the answer is not whole.
    std::string chat(const std::string& program, const std::string& key, const std::string& question);

    ToolResult pay(const std::string& program, const std::string& key);

    nlohmann::json show(const std::string& program);
    void close(const std::string& program);

    /// Requests that had to be sent again.
    unsigned repeats() const { return m_repeats; }

    /// Sends to any daemon until one answers with anything but 503.
    HttpResponse send(const HttpRequest&);

private:
    const Endpoint& anyDaemon();

    HttpClient& m_client;
    TestFleet& m_fleet;
    RandomEngine m_random;
    unsigned m_repeats = 0;
};

/// Whether \p content is "LABEL-0 LABEL-1 ... LABEL-(n-1) " with one label: whole, in order, nothing twice.
bool isWholeAnswer(const std::string& content, unsigned tokens);

/// Label of an answer's first token.
std::string labelOf(const std::string& content);

} // namespace basilpoint::test
