#include "ForwardedResponse.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace basilpoint;

namespace {

class CollectingWriter final : public ResponseWriter {
public:
    void send(const HttpResponse& response) override
    {
        m_started = true;
        whole = response;
    }
    void begin(int, const HttpHeaders&) override { m_started = true; }
    void write(std::string_view chunk) override { streamed.append(chunk); }
    void end() override { ended = true; }
    bool started() const override { return m_started; }

    HttpResponse whole;
    std::string streamed;
    bool ended = false;

private:
    bool m_started = false;
};

} // namespace

static const HttpResponse streamHeader { 200, { { "content-type", "text/event-stream" } }, {} };

static std::string eventOf(std::size_t id, const std::string& content)
{
    nlohmann::json chunk { { "choices", nlohmann::json::array({ { { "delta", { { "content", content } } } } }) } };
    return "id: " + std::to_string(id) + "\ndata: " + chunk.dump() + "\n\n";
}

BOOST_AUTO_TEST_SUITE(ForwardedResponseTest)

BOOST_AUTO_TEST_CASE(continuesAtTheNextOwnerAfterTheLastWholeEvent)
{
    CollectingWriter writer;
    ForwardedResponse forwarded(writer);
    forwarded.onHeader(streamHeader);
    forwarded.onBytes(eventOf(3, "abc") + eventOf(5, "de").substr(0, 20));
    HttpRequest request { "POST", "/v1/chat/completions", {}, "{\"model\":\"m\"}" };
    forwarded.resume(request);
    BOOST_TEST(request.headers["last-event-id"] == "3");
    BOOST_TEST(nlohmann::json::parse(request.body)["basilpoint_resume"] == "abc");
    forwarded.onHeader(streamHeader);
    forwarded.onBytes(eventOf(5, "de") + "data: [DONE]\n\n");
    forwarded.finish(streamHeader);
    BOOST_TEST(writer.streamed == eventOf(3, "abc") + eventOf(5, "de") + "data: [DONE]\n\n");
    BOOST_TEST(forwarded.closed());
    BOOST_TEST(writer.ended);
}

BOOST_AUTO_TEST_CASE(resumesFromTheCallersOffsetWithoutTheEarlierContent)
{
    CollectingWriter writer;
    ForwardedResponse forwarded(writer);
    forwarded.onHeader(streamHeader);
    forwarded.onBytes(eventOf(12, "cd"));
    HttpRequest request { "POST", "/v1/chat/completions", { { "last-event-id", "10" } }, "{\"model\":\"m\"}" };
    forwarded.resume(request);
    BOOST_TEST(request.headers["last-event-id"] == "12");
    BOOST_TEST(!nlohmann::json::parse(request.body).contains("basilpoint_resume"));
}

// Guards against an answer that lacks the pieces between the delivered content and twice its length.
BOOST_AUTO_TEST_CASE(secondResumeContinuesAfterTheDeliveredContentOnly)
{
    CollectingWriter writer;
    ForwardedResponse forwarded(writer);
    forwarded.onHeader(streamHeader);
    forwarded.onBytes(eventOf(3, "abc"));
    HttpRequest request { "POST", "/v1/chat/completions", {}, "{\"model\":\"m\"}" };
    // The second owner ends before it sends anything, the third one after one event.
    for (int n = 0; n < 2; ++n) {
        forwarded.resume(request);
        BOOST_TEST(request.headers["last-event-id"] == "3");
        BOOST_TEST(nlohmann::json::parse(request.body)["basilpoint_resume"] == "abc");
    }
    forwarded.onHeader(streamHeader);
    forwarded.onBytes(eventOf(5, "de"));
    forwarded.resume(request);
    BOOST_TEST(request.headers["last-event-id"] == "5");
    BOOST_TEST(nlohmann::json::parse(request.body)["basilpoint_resume"] == "abcde");
}

BOOST_AUTO_TEST_CASE(secondResumeKeepsTheCallersOffset)
{
    CollectingWriter writer;
    ForwardedResponse forwarded(writer);
    forwarded.onHeader(streamHeader);
    forwarded.onBytes(eventOf(12, "cd"));
    HttpRequest request { "POST", "/v1/chat/completions", { { "last-event-id", "10" } }, "{\"model\":\"m\"}" };
    for (int n = 0; n < 2; ++n) {
        forwarded.resume(request);
        BOOST_TEST(request.headers["last-event-id"] == "12");
    }
}

BOOST_AUTO_TEST_CASE(forwardsProblemDocumentsWithRetryAfter)
{
    CollectingWriter writer;
    ForwardedResponse forwarded(writer);
    HttpResponse problem { 402, { { "content-type", "application/problem+json" }, { "retry-after", "3" }, { "server", "x" } }, "{\"executed\":\"no\"}" };
    forwarded.onHeader({ problem.status, problem.headers, {} });
    forwarded.finish(problem);
    BOOST_TEST(writer.whole.status == 402);
    BOOST_TEST(writer.whole.body == problem.body);
    BOOST_TEST(writer.whole.headers.at("retry-after") == "3");
}

BOOST_AUTO_TEST_SUITE_END()
