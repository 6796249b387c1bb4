#include "ChatStream.h"

#include "basilpoint/Support/Error.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace basilpoint;

static const std::string answer = "data: {\"choices\":[{\"delta\":{\"content\":\"Gr\u00fc\"}}]}\r\n\r\n"
                                  ": a comment\n\n"
                                  "data: {\"choices\":[{\"delta\":{\"content\":\"\u00dfe\",\"tool_calls\":[{\"index\":0,\"id\":\"c1\",\"function\":{\"name\":\"pay\",\"arguments\":\"{\\\"a\\\"\"}}]}}]}\n\n"
                                  "data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\":1}\"}}]},\"finish_reason\":\"tool_calls\"}],\"usage\":{\"total_tokens\":42}}\n\n"
                                  "data: [DONE]\n\n";

BOOST_AUTO_TEST_SUITE(ChatStreamTest)

BOOST_AUTO_TEST_CASE(assemblesTheSameMessageForAnyChunking)
{
    std::mt19937_64 random(7);
    for (unsigned run = 0; run < 200; ++run) {
        ChatStream stream;
        for (std::size_t n = 0; n < answer.size();) {
            std::size_t size = 1 + random() % 40;
            stream.feed(std::string_view(answer).substr(n, size));
            n += size;
        }
        BOOST_TEST(stream.done());
        BOOST_TEST(stream.content() == "Gr\u00fc\u00dfe");
        BOOST_TEST(stream.totalTokens().value() == 42U);
        auto message = nlohmann::json::parse(stream.messageWith(stream.content()));
        BOOST_TEST(message["tool_calls"][0]["function"]["arguments"] == "{\"a\":1}");
    }
}

BOOST_AUTO_TEST_CASE(damagedStreamsParseOrThrowInvalidInputError)
{
    std::mt19937_64 random(11);
    for (unsigned run = 0; run < 2'000; ++run) {
        std::string damaged = answer;
        for (unsigned n = 0; n < 3; ++n)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        ChatStream stream;
        try {
            stream.feed(damaged);
            stream.messageWith(stream.content());
        } catch (const InvalidInputError&) {
            continue;
        }
    }
    ChatStream endless;
    BOOST_CHECK_THROW(endless.feed(std::string(2'000'000, 'x')), InvalidInputError);
}

BOOST_AUTO_TEST_SUITE_END()
