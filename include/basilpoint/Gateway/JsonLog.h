#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Metrics.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <type_traits>

namespace basilpoint {

/// Builds one line of the log field by field.
class LogLine {
public:
    explicit LogLine(std::string_view event);

    LogLine& field(std::string_view name, std::string_view text);
    LogLine& field(std::string_view name, const char* text) { return field(name, std::string_view(text)); }
    LogLine& field(std::string_view name, bool value);
    template <typename Number>
    requires std::is_arithmetic_v<Number>
        LogLine& field(std::string_view name, Number value)
    {
        return raw(name, std::to_string(value));
    }
    LogLine& field(std::string_view name, Milliseconds duration) { return field(name, duration.count()); }

    const std::string& text() const { return m_text; }

private:
    LogLine& raw(std::string_view name, std::string_view json);

    std::string m_text;
};

/// Adds all counters to \p line.
void addCounters(LogLine& line, const Metrics&);

/// Log of JSON lines that never blocks its writer.
///
/// While the reader stalls, lines are buffered up to a limit. Further lines are dropped, and their number is logged
/// once there is room again.
class JsonLog {
public:
    /// \param descriptor file descriptor of the log; may be a pipe whose reader stalls.
    JsonLog(const Clock&, int descriptor, std::string instance);

    void write(const LogLine&);

    /// Writes as many buffered lines as the descriptor takes without blocking.
    void flush();

    std::uint64_t dropped() const { return m_dropped; }
    std::size_t waitingBytes() const { return m_waitingBytes; }

    /// Upper limit of the buffered bytes.
    static constexpr std::size_t maxWaitingBytes = 256 * 1024;

private:
    void append(std::string line);

    const Clock& m_clock;
    int m_descriptor;
    std::string m_instance;
    std::deque<std::string> m_lines;
    std::size_t m_waitingBytes = 0;
    /// Bytes of the first line that have been written.
    std::size_t m_written = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedUnreported = 0;
};

} // namespace basilpoint
