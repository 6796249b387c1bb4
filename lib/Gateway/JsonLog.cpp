#include "basilpoint/Gateway/JsonLog.h"

#include <algorithm>
#include <cerrno>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace basilpoint {

// POSIX guarantees that a pipe that polls as writable takes this much without blocking.
static constexpr std::size_t pipeWriteBytes = 4096;
static constexpr std::size_t maxFieldBytes = 300;

static void appendEscaped(std::string& out, std::string_view text)
{
    for (char c : text.substr(0, maxFieldBytes)) {
        auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            out += '\\';
        if (byte < 0x20 || byte > 0x7e)
            out += fmt::format("\\u{:04x}", byte);
        else
            out += c;
    }
}

LogLine::LogLine(std::string_view event)
    : m_text(fmt::format("\"event\":\"{}\"", event))
{
}

LogLine& LogLine::raw(std::string_view name, std::string_view json)
{
    m_text.append(",\"").append(name).append("\":").append(json);
    return *this;
}

LogLine& LogLine::field(std::string_view name, std::string_view text)
{
    m_text.append(",\"").append(name).append("\":\"");
    appendEscaped(m_text, text);
    m_text += '"';
    return *this;
}

LogLine& LogLine::field(std::string_view name, bool value)
{
    return raw(name, value ? "true" : "false");
}

void addCounters(LogLine& line, const Metrics& metrics)
{
    for (const auto& [label, value] : metrics.counters()) {
        std::string name = label;
        // Names of counters carry quoted labels; quotes would have to be escaped in JSON.
        std::erase(name, '"');
        line.field(name, value);
    }
}

JsonLog::JsonLog(const Clock& clock, int descriptor, std::string instance)
    : m_clock(clock)
    , m_descriptor(descriptor)
    , m_instance(std::move(instance))
{
}

void JsonLog::append(std::string line)
{
    m_waitingBytes += line.size();
    m_lines.push_back(std::move(line));
}

void JsonLog::write(const LogLine& line)
{
    auto now = std::chrono::time_point_cast<Milliseconds>(m_clock.wallNow());
    auto milliseconds = now.time_since_epoch().count();
    std::string text = fmt::format("{{\"time\":\"{:%Y-%m-%dT%H:%M:%S}.{:03}Z\",\"instance\":\"{}\",{}}}\n", fmt::gmtime(static_cast<std::time_t>(milliseconds / 1000)), milliseconds % 1000, m_instance, line.text());
    if (m_waitingBytes + text.size() > maxWaitingBytes)
        flush();
    if (m_waitingBytes + text.size() > maxWaitingBytes) {
        ++m_dropped;
        ++m_droppedUnreported;
        return;
    }
    append(std::move(text));
    if (m_waitingBytes >= pipeWriteBytes)
        flush();
}

void JsonLog::flush()
{
    while (!m_lines.empty()) {
        std::string buf;
        for (const auto& line : m_lines) {
            std::string_view rest = std::string_view(line).substr(buf.empty() ? m_written : 0);
            if (!buf.empty() && buf.size() + rest.size() > pipeWriteBytes)
                break;
            buf.append(rest.substr(0, pipeWriteBytes));
        }
        pollfd ready { m_descriptor, POLLOUT, 0 };
        if (::poll(&ready, 1, 0) <= 0 || !(ready.revents & POLLOUT))
            return;
        ssize_t n = ::write(m_descriptor, buf.data(), buf.size());
        // The reader is gone or stalls; the lines stay buffered up to maxWaitingBytes.
        if (n <= 0)
            return;
        auto taken = static_cast<std::size_t>(n);
        m_waitingBytes -= taken;
        while (taken > 0) {
            std::size_t left = m_lines.front().size() - m_written;
            std::size_t part = std::min(left, taken);
            taken -= part;
            m_written += part;
            if (part < left)
                continue;
            m_lines.pop_front();
            m_written = 0;
        }
    }
    if (m_droppedUnreported == 0)
        return;
    auto n = std::exchange(m_droppedUnreported, 0);
    write(LogLine("log-lines-dropped").field("count", n));
}

} // namespace basilpoint
