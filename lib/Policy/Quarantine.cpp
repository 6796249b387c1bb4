#include "basilpoint/Policy/Quarantine.h"

#include <algorithm>

namespace basilpoint {

// Two in flight bound the deaths before the first is noticed; greetings that many send alike are soon proven.
static constexpr unsigned maxCopies = 2;
static constexpr std::size_t maxProven = 10'000;
static constexpr std::chrono::minutes provenLifetime { 10 };
// How late the ends of a dead replica's other requests may be reported.
static constexpr std::chrono::minutes explanationLifetime { 1 };

Quarantine::Verdict Quarantine::verdict(const Digest& digest) const
{
    if (m_quarantined.contains(digest))
        return Verdict::Quarantined;
    return m_suspects.contains(digest) ? Verdict::Suspect : Verdict::Clear;
}

Quarantine::SuspectRank Quarantine::rank(const Digest& digest) const
{
    auto it = m_suspects.find(digest);
    return it == m_suspects.end() ? SuspectRank {} : it->second.rank;
}

bool Quarantine::mayDispatch(const Digest& digest) const
{
    auto it = m_inFlight.find(digest);
    unsigned copies = it == m_inFlight.end() ? 0 : it->second;
    switch (verdict(digest)) {
    case Verdict::Clear:
        return copies < maxCopies || m_proven.contains(digest);
    case Verdict::Suspect:
        return copies == 0;
    case Verdict::Quarantined:
        return false;
    }
    return false;
}

void Quarantine::dispatched(const Digest& digest)
{
    ++m_inFlight[digest];
}

void Quarantine::ended(const Digest& digest, bool finished, TimePoint now)
{
    auto it = m_inFlight.find(digest);
    if (it != m_inFlight.end() && --it->second == 0)
        m_inFlight.erase(it);
    if (!finished)
        return;
    m_suspects.erase(digest);
    if (m_proven.size() < maxProven)
        m_proven[digest] = now;
}

Quarantine::Verdict Quarantine::died(const Digest& digest, ReplicaIndex replica, TimePoint dispatchedAt, TimePoint now)
{
    ended(digest, false, now);
    m_proven.erase(digest);
    if (m_quarantined.contains(digest))
        return Verdict::Quarantined;
    auto it = m_suspects.find(digest);
    // Two copies lost with one replica are one death.
    if (it != m_suspects.end() && it->second.replica == replica)
        return Verdict::Suspect;
    if (it != m_suspects.end()) {
        std::optional<ReplicaIndex> first = it->second.replica;
        quarantine(digest, now);
        explain(replica, now);
        if (first)
            explain(*first, now);
        return Verdict::Quarantined;
    }
    if (m_explained.contains(replica))
        return Verdict::Clear;
    m_suspects[digest] = { replica, { now, now - dispatchedAt } };
    return Verdict::Suspect;
}

void Quarantine::explain(ReplicaIndex replica, TimePoint now)
{
    m_explained[replica] = now;
    std::erase_if(m_suspects, [&](const auto& entry) { return entry.second.replica == replica; });
}

void Quarantine::suspect(const Digest& digest, TimePoint now)
{
    if (!m_quarantined.contains(digest))
        m_suspects.try_emplace(digest, Suspicion { std::nullopt, { now, std::chrono::nanoseconds(0) } });
}

void Quarantine::quarantine(const Digest& digest, TimePoint now)
{
    m_suspects.erase(digest);
    m_quarantined[digest] = now;
}

void Quarantine::lift(const Digest& digest)
{
    m_quarantined.erase(digest);
    m_suspects.erase(digest);
}

void Quarantine::sweep(TimePoint now)
{
    std::erase_if(m_suspects, [&](const auto& entry) { return now - entry.second.rank.diedAt > suspicionLifetime; });
    std::erase_if(m_proven, [&](const auto& entry) { return now - entry.second > provenLifetime; });
    std::erase_if(m_quarantined, [&](const auto& entry) { return now - entry.second > quarantineLifetime; });
    std::erase_if(m_explained, [&](const auto& entry) { return now - entry.second > explanationLifetime; });
}

std::vector<Digest> Quarantine::quarantinedDigests() const
{
    std::vector<Digest> digests;
    for (const auto& [digest, since] : m_quarantined)
        digests.push_back(digest);
    std::sort(digests.begin(), digests.end());
    return digests;
}

} // namespace basilpoint
