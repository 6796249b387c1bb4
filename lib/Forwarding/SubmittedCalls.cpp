#include "basilpoint/Forwarding/SubmittedCalls.h"

namespace basilpoint {

void SubmittedCalls::forgetOld(TimePoint now)
{
    while (!m_byAge.empty() && (now - m_byAge.front().first >= retention || m_byAge.size() > maxCalls)) {
        const auto& [begunAt, id] = m_byAge.front();
        auto it = m_calls.find(id);
        // The call may have been forgotten and begun again since.
        if (it != m_calls.end() && it->second == begunAt)
            m_calls.erase(it);
        m_byAge.pop_front();
    }
}

bool SubmittedCalls::begin(const std::string& id, TimePoint now)
{
    forgetOld(now);
    if (!m_calls.try_emplace(id, now).second)
        return false;
    m_byAge.emplace_back(now, id);
    return true;
}

void SubmittedCalls::end(const std::string& id, bool mayHaveRun)
{
    if (!mayHaveRun)
        m_calls.erase(id);
}

} // namespace basilpoint
