#include "ForwardedResponse.h"

#include "ChatStream.h"
#include "JsonBody.h"

namespace basilpoint {

static constexpr int statusOk = 200;
static constexpr std::string_view eventEnd = "\n\n";
static constexpr std::string_view closingEvent = "data: [DONE]";
static constexpr std::string_view idPrefix = "id: ";

// Content is addressed by its length, so what all delivered events hold is what a caller has.
static std::string contentOf(const std::string& events)
{
    ChatStream stream;
    stream.feed(events);
    return stream.content();
}

static std::string firstIdOf(const std::string& events)
{
    auto begin = events.find(idPrefix);
    if (begin == std::string::npos)
        return {};
    begin += idPrefix.size();
    return events.substr(begin, events.find('\n', begin) - begin);
}

ForwardedAnswer::ForwardedAnswer(ResponseWriter& writer)
    : m_writer(writer)
{
}

void ForwardedAnswer::onHeader(const HttpResponse& response)
{
    m_partial.clear();
    m_body.clear();
    m_headers = response.headers;
    auto type = response.headers.find("content-type");
    m_streaming = response.status == statusOk && type != response.headers.end() && type->second.starts_with("text/event-stream");
}

void ForwardedAnswer::onBytes(std::string_view bytes)
{
    if (!m_streaming) {
        m_body.append(bytes);
        return;
    }
    m_partial.append(bytes);
    passEvents();
}

// Only whole events go out: an event that broke off in the middle comes again from the next owner.
void ForwardedAnswer::passEvents()
{
    auto end = m_partial.rfind(eventEnd);
    if (end == std::string::npos)
        return;
    std::string events = m_partial.substr(0, end + eventEnd.size());
    m_partial.erase(0, events.size());
    if (!m_writer.started())
        m_writer.begin(statusOk, { { "content-type", "text/event-stream" }, { "cache-control", "no-store" } });
    m_writer.write(events);
    m_delivered += events;
    m_closed = m_closed || events.find(closingEvent) != std::string::npos;
}

void ForwardedAnswer::finish(const HttpResponse& response)
{
    if (m_streaming)
        return m_writer.end();
    HttpResponse answer { response.status, {}, response.status == statusOk ? m_body : response.body };
    for (const char* name : { "content-type", "retry-after" }) {
        auto it = response.headers.find(name);
        if (it != response.headers.end())
            answer.headers.insert(*it);
    }
    m_writer.send(answer);
}

void ForwardedAnswer::resume(HttpRequest& request) const
{
    std::string content = contentOf(m_delivered);
    if (content.empty())
        return;
    // With an offset of the caller's own the earlier content is not here; the next owner then needs it journalled.
    std::size_t before = 0;
    auto given = request.headers.find("last-event-id");
    if (given != request.headers.end() && !firstIdOf(m_delivered).empty())
        before = std::stoul(given->second);
    request.headers["last-event-id"] = std::to_string(before + content.size());
    if (before > 0)
        return;
    nlohmann::json body = parseJsonBody(request);
    body["basilpoint_resume"] = content;
    request.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace basilpoint
