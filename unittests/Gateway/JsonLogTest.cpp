#include "basilpoint/Gateway/JsonLog.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace basilpoint;

namespace {

struct Pipe {
    Pipe() { BOOST_REQUIRE(::pipe(ends.data()) == 0); }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string readAll()
    {
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 65536> buf;
        for (ssize_t n = ::read(ends[0], buf.data(), buf.size()); n > 0; n = ::read(ends[0], buf.data(), buf.size()))
            text.append(buf.data(), static_cast<std::size_t>(n));
        return text;
    }

    std::array<int, 2> ends {};
};

std::vector<nlohmann::json> linesOf(const std::string& text)
{
    std::vector<nlohmann::json> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(nlohmann::json::parse(line));
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JsonLogTest)

BOOST_AUTO_TEST_CASE(writesOneJsonObjectPerLine)
{
    Pipe pipe;
    ManualClock clock;
    JsonLog log(clock, pipe.ends[1], "d-1");
    log.write(LogLine("refused").field("request", "a\"b\\c\n\x01\xff").field("status", 503).field("isLate", true).field("wait", Milliseconds(20)));
    log.flush();
    auto lines = linesOf(pipe.readAll());
    BOOST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines[0]["event"] == "refused");
    BOOST_TEST(lines[0]["instance"] == "d-1");
    BOOST_TEST(lines[0]["status"] == 503);
    BOOST_TEST(lines[0]["isLate"] == true);
    BOOST_TEST(lines[0]["wait"] == 20);
    BOOST_TEST(lines[0]["time"].get<std::string>().back() == 'Z');
}

BOOST_AUTO_TEST_CASE(stalledReaderDoesNotBlockTheWriterAndDroppedLinesAreCounted)
{
    Pipe pipe;
    ManualClock clock;
    JsonLog log(clock, pipe.ends[1], "d-1");
    std::string text(200, 'x');
    for (int n = 0; n < 20'000; ++n)
        log.write(LogLine("decision").field("n", n).field("text", text));
    BOOST_TEST(log.waitingBytes() <= JsonLog::maxWaitingBytes);
    BOOST_TEST(log.dropped() > 0U);
    std::string all;
    for (int n = 0; n < 100; ++n) {
        log.flush();
        all += pipe.readAll();
    }
    auto lines = linesOf(all);
    std::uint64_t reported = 0;
    for (const auto& it : lines)
        if (it["event"] == "log-lines-dropped")
            reported += it["count"].get<std::uint64_t>();
    BOOST_TEST(reported == log.dropped());
    BOOST_TEST(lines.size() - 1 + reported == 20'000U);
}

BOOST_AUTO_TEST_SUITE_END()
