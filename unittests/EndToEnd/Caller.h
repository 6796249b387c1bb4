#pragma once

#include "TestFleet.h"

#include "basilpoint/Support/Random.h"

namespace basilpoint::test {

/// Outcome of a non-idempotent call as reported to its caller.
enum class ToolResult {
    Ran,
    NotRun,
    Unknown,
};

/// Thrown after a failed check of a caller was reported; ends the caller's program.
struct CallerFailed { };

/// A caller that, as real ones do, retries at another daemon with the same idempotency key when a
/// daemon does not respond.
class Caller {
public:
    Caller(HttpClient&, TestFleet&, unsigned seed);

    /// Opens a program. \returns its id.
    std::string open(const std::string& key, unsigned budgetTokens = 100'000);

    /// Runs a streamed model call to its closing event. \returns the content.
    /// Fails the test if the stream ends without the closing event.
    std::string chat(const std::string& program, const std::string& key, const std::string& question);

    /// Calls the non-idempotent tool "pay" with idempotency key \p key.
    ToolResult pay(const std::string& program, const std::string& key);

    nlohmann::json show(const std::string& program);
    void close(const std::string& program);

    /// Number of requests that had to be sent again.
    unsigned retries() const { return m_retries; }

    /// Sends the request to random daemons until one answers with a status other than 503.
    HttpResponse send(const HttpRequest&);

private:
    const Endpoint& anyDaemon();

    HttpClient& m_client;
    TestFleet& m_fleet;
    RandomEngine m_random;
    unsigned m_retries = 0;
};

/// Whether \p content is "LABEL-0 LABEL-1 ... LABEL-(tokens-1) " with one label, that is: complete, in
/// order and without duplicates.
bool isCompleteAnswer(const std::string& content, unsigned tokens);

/// Label of an answer's first token.
std::string labelOf(const std::string& content);

} // namespace basilpoint::test
