#include "ForwardedResponse.h"

#include "ChatStream.h"
#include "JsonBody.h"

namespace basilpoint {

static constexpr int statusOk = 200;
static constexpr std::string_view eventEnd = "\n\n";
static constexpr std::string_view closingEvent = "data: [DONE]";
static constexpr std::string_view idPrefix = "id: ";

// Event ids are byte offsets in the content, so the caller's offset advances by the length of this content.
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

ForwardedResponse::ForwardedResponse(ResponseWriter& writer)
    : m_writer(writer)
{
}

void ForwardedResponse::onHeader(const HttpResponse& response)
{
    m_incompleteEvent.clear();
    m_body.clear();
    m_headers = response.headers;
    auto type = response.headers.find("content-type");
    m_streaming = response.status == statusOk && type != response.headers.end() && type->second.starts_with("text/event-stream");
}

void ForwardedResponse::onBytes(std::string_view bytes)
{
    if (!m_streaming) {
        m_body.append(bytes);
        return;
    }
    m_incompleteEvent.append(bytes);
    forwardCompleteEvents();
}

// Sends only complete events: the next owner repeats an event that was interrupted.
void ForwardedResponse::forwardCompleteEvents()
{
    auto end = m_incompleteEvent.rfind(eventEnd);
    if (end == std::string::npos)
        return;
    std::string events = m_incompleteEvent.substr(0, end + eventEnd.size());
    m_incompleteEvent.erase(0, events.size());
    if (!m_writer.started())
        m_writer.begin(statusOk, { { "content-type", "text/event-stream" }, { "cache-control", "no-store" } });
    m_writer.write(events);
    m_delivered += events;
    m_closed = m_closed || events.find(closingEvent) != std::string::npos;
}

void ForwardedResponse::finish(const HttpResponse& response)
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

void ForwardedResponse::resume(HttpRequest& request)
{
    std::string content = contentOf(m_delivered);
    if (content.empty())
        return;
    // If the caller itself resumed from an offset, the content before it is not known here, and the next owner
    // needs the answer in its journal. Read once: later, the header has the offset that is set below.
    if (!m_callerOffset) {
        auto lastEventId = request.headers.find("last-event-id");
        bool hasOffset = lastEventId != request.headers.end() && !firstIdOf(m_delivered).empty();
        m_callerOffset = hasOffset ? std::stoul(lastEventId->second) : 0;
    }
    request.headers["last-event-id"] = std::to_string(*m_callerOffset + content.size());
    if (*m_callerOffset > 0)
        return;
    nlohmann::json body = parseJsonBody(request);
    body["basilpoint_resume"] = content;
    request.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace basilpoint
