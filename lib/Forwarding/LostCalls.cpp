#include "basilpoint/Forwarding/LostCalls.h"

#include <algorithm>

namespace basilpoint {

void LostCalls::dropOld(TimePoint now)
{
    while (!m_calls.empty() && (m_calls.size() > maxCalls || now - m_calls.front().lostAt > retention))
        m_calls.pop_front();
}

void LostCalls::add(const std::string& lifetime, const Digest& content, TimePoint now)
{
    m_calls.push_back({ lifetime, content, now });
    dropOld(now);
}

std::vector<Digest> LostCalls::take(const std::string& lifetime, TimePoint now)
{
    dropOld(now);
    std::vector<Digest> contents;
    std::erase_if(m_calls, [&](const Call& it) {
        if (it.lifetime != lifetime)
            return false;
        contents.push_back(it.content);
        return true;
    });
    std::sort(contents.begin(), contents.end());
    contents.erase(std::unique(contents.begin(), contents.end()), contents.end());
    return contents;
}

} // namespace basilpoint
