#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace basilpoint {

/// One whole event of a text/event-stream body.
struct StreamEvent {
    /// The event's bytes with the empty line that ends it.
    std::string bytes;
    /// Its data lines, joined by line feeds.
    std::string data;

    bool operator==(const StreamEvent&) const = default;
};

/// Cuts the body of an event stream into whole events.
class EventStreamSplitter {
public:
    /// \returns the events that \p bytes complete.
    std::vector<StreamEvent> append(std::string_view bytes);

    /// Whether bytes of an event have come whose end has not.
    bool hasPartialEvent() const { return !m_rest.empty(); }

private:
    std::string m_rest;
};

} // namespace basilpoint
