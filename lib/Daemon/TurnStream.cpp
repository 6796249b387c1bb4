#include "TurnStream.h"

namespace basilpoint {

void TurnStream::append(std::string_view content)
{
    if (content.empty())
        return;
    m_content.append(content);
    m_changed.notifyAll();
}

void TurnStream::finish(std::string message)
{
    m_message = std::move(message);
    m_ended = true;
    m_changed.notifyAll();
}

void TurnStream::fail(std::exception_ptr failure)
{
    m_failure = std::move(failure);
    m_ended = true;
    m_changed.notifyAll();
}

std::string TurnStream::waitForContentAfter(std::size_t offset)
{
    while (m_content.size() <= offset && !m_ended)
        m_changed.wait();
    if (m_content.size() > offset)
        return m_content.substr(offset);
    if (m_failure)
        std::rethrow_exception(m_failure);
    return {};
}

const std::string& TurnStream::waitForMessage()
{
    while (!m_ended)
        m_changed.wait();
    if (m_failure)
        std::rethrow_exception(m_failure);
    return m_message;
}

} // namespace basilpoint
