#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace basilpoint {

/// A complete event of a text/event-stream body.
struct StreamEvent {
    /// The event's bytes, including the empty line that ends it.
    std::string bytes;
    /// Values of the data fields, joined by line feeds.
    std::string data;

    bool operator==(const StreamEvent&) const = default;
};

/// Splits the body of an event stream into complete events.
class EventStreamSplitter {
public:
    /// Appends \p bytes of the body. \returns the events that they complete.
    std::vector<StreamEvent> append(std::string_view bytes);

    /// Whether the bytes so far end within an event.
    bool hasPartialEvent() const { return !m_rest.empty(); }

    /// Bytes of the event that has not ended yet.
    std::size_t partialBytes() const { return m_rest.size(); }

private:
    std::string m_rest;
};

} // namespace basilpoint
