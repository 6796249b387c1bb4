// Case: the body of a request must not be run as a request of its own, whatever the transfer coding that the request names.

#include "Deployment.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>

using namespace basilpoint;
using namespace basilpoint::review;

static constexpr int exitHeld = 0;
static constexpr int exitBroken = 1;
static constexpr int exitNotRun = 2;
static constexpr std::size_t keepers = 3;
static constexpr Milliseconds startLimit { 20'000 };
// Longer than stableWindowMs.
static constexpr Milliseconds calmTime { 4'000 };
static constexpr Milliseconds answerLimit { 1'500 };

/// A request whose body looks like another request.
static std::string requestWith(int number, const std::string& framing, const std::string& body)
{
    return fmt::format("POST /calls/1 HTTP/1.1\r\nHost: h.example\r\nX-Basilpoint-Request-Id: outer-{}\r\nX-Basilpoint-Deadline-Ms: 1200\r\n{}\r\n\r\n{}", number, framing, body);
}

static std::string innerRequest(int number)
{
    return fmt::format("POST /calls/inner HTTP/1.1\r\nHost: h.example\r\nX-Basilpoint-Request-Id: inner-{}\r\nX-Basilpoint-Deadline-Ms: 1200\r\nContent-Length: 5\r\n\r\npay 1", number);
}

static std::size_t answersIn(const std::string& bytes)
{
    static constexpr std::string_view begin = "HTTP/1.1 ";
    std::size_t count = 0;
    for (auto at = bytes.find(begin); at != std::string::npos; at = bytes.find(begin, at + 1))
        ++count;
    return count;
}

static int run(Deployment& deployment, Record& record, bool hasTrouble)
{
    for (const char* zone : { "bp-a", "bp-b", "bp-c" }) {
        deployment.addGateway(std::string("front-") + zone + "-1", zone);
        deployment.addKeeper(std::string("store-") + zone + "-1", zone);
    }
    deployment.putManifest();
    deployment.startAll();
    if (!deployment.awaitReady(keepers, startLimit)) {
        record.write("the deployment did not become ready");
        return exitNotRun;
    }
    record.write("the deployment is ready");
    sleepFiber(calmTime);
    int number = 0;
    for (const char* coding : { "chunked, identity", "gzip", "identity", "xchunked" }) {
        std::string body = innerRequest(++number);
        std::string framing = hasTrouble ? fmt::format("Transfer-Encoding: {}", coding) : fmt::format("Content-Length: {}", body.size());
        record.write(fmt::format("sent: outer-{} with {}; its body is a request inner-{} that no client sends", number, framing, number));
        std::string answer = deployment.exchange(deployment.gateways().front(), requestWith(number, framing, body), answerLimit);
        record.write(fmt::format("answered: outer-{} with {} answers, the first is {}", number, answersIn(answer), answer.substr(0, answer.find('\r'))));
    }
    const auto& runs = deployment.app.runs();
    auto inner = std::count_if(runs.begin(), runs.end(), [](const Replica::Run& it) { return it.request.starts_with("inner-"); });
    auto changed = std::count_if(runs.begin(), runs.end(), [](const Replica::Run& it) { return it.request.starts_with("outer-") && it.body != innerRequest(std::stoi(it.request.substr(6))); });
    record.write(fmt::format("result: of {} requests {} ran with another body than was sent, and the bodies of {} were run as requests", number, changed, inner));
    return inner + changed > 0 ? exitBroken : exitHeld;
}

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fputs("arguments: PROGRAM FOLDER RECORD\n", stderr);
        return exitNotRun;
    }
    const char* trouble = std::getenv("TROUBLE");
    FiberRuntime runtime;
    runtime.run([&] {
        // Never deleted, since fibers use them until the process ends.
        auto& record = *new Record(argv[3]);
        auto& deployment = *new Deployment(runtime.io(), record, argv[2], argv[1], kjpBasil);
        int status = exitNotRun;
        try {
            status = run(deployment, record, !trouble || std::string(trouble) != "0");
        } catch (const std::exception& error) {
            record.write(fmt::format("the case could not run: {}", error.what()));
        }
        deployment.killAll();
        exitProcess(status);
    });
}
