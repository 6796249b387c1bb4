#include "basilpoint/Gateway/EventStream.h"

#include <algorithm>
#include <optional>

namespace basilpoint {

// Returns the position after the empty line that ends the first event; npos if the event is incomplete.
static std::size_t endOfEvent(const std::string& text)
{
    std::size_t end = std::string::npos;
    for (std::string_view mark : { std::string_view("\n\n"), std::string_view("\r\n\r\n"), std::string_view("\n\r\n") }) {
        auto at = text.find(mark);
        if (at != std::string::npos)
            end = std::min(end, at + mark.size());
    }
    return end;
}

static std::string dataOf(std::string_view event)
{
    static constexpr std::string_view field = "data:";
    std::string data;
    bool isFirst = true;
    while (!event.empty()) {
        auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (!isFirst)
            data += '\n';
        isFirst = false;
        data += line;
    }
    return data;
}

std::vector<StreamEvent> EventStreamSplitter::append(std::string_view bytes)
{
    m_rest.append(bytes);
    std::vector<StreamEvent> events;
    for (auto end = endOfEvent(m_rest); end != std::string::npos; end = endOfEvent(m_rest)) {
        events.push_back({ m_rest.substr(0, end), dataOf(std::string_view(m_rest).substr(0, end)) });
        m_rest.erase(0, end);
    }
    return events;
}

} // namespace basilpoint
