#include "basilpoint/Policy/Quarantine.h"

#include <algorithm>

namespace basilpoint {

// Copies in flight of a request that has not finished successfully yet. Bounds the crashes before the first one is
// noticed. Requests that many callers send alike, such as greetings, soon have a success and are not limited.
static constexpr unsigned maxCopies = 2;
static constexpr std::size_t maxKnownGood = 10'000;
static constexpr std::chrono::minutes knownGoodLifetime { 10 };
// Time within which the ends of a crashed replica's other requests are reported.
static constexpr std::chrono::minutes attributionLifetime { 1 };

Quarantine::Status Quarantine::statusOf(const Digest& digest) const
{
    if (m_quarantined.contains(digest))
        return Status::Quarantined;
    return m_suspects.contains(digest) ? Status::Suspect : Status::Clear;
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
    switch (statusOf(digest)) {
    case Status::Clear:
        return copies < maxCopies || m_knownGood.contains(digest);
    case Status::Suspect:
        return copies == 0;
    case Status::Quarantined:
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
    if (m_knownGood.size() < maxKnownGood)
        m_knownGood[digest] = now;
}

Quarantine::Status Quarantine::crashed(const Digest& digest, ReplicaIndex replica, TimePoint dispatchedAt, TimePoint now)
{
    ended(digest, false, now);
    m_knownGood.erase(digest);
    if (m_quarantined.contains(digest))
        return Status::Quarantined;
    auto it = m_suspects.find(digest);
    // Two copies lost with the same replica count as one crash.
    if (it != m_suspects.end() && it->second.replica == replica)
        return Status::Suspect;
    if (it != m_suspects.end()) {
        std::optional<ReplicaIndex> first = it->second.replica;
        quarantine(digest, now);
        attributeCrash(replica, now);
        if (first)
            attributeCrash(*first, now);
        return Status::Quarantined;
    }
    if (m_attributedCrashes.contains(replica))
        return Status::Clear;
    m_suspects[digest] = { replica, { now, now - dispatchedAt } };
    return Status::Suspect;
}

void Quarantine::attributeCrash(ReplicaIndex replica, TimePoint now)
{
    m_attributedCrashes[replica] = now;
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
    std::erase_if(m_suspects, [&](const auto& entry) { return now - entry.second.rank.crashedAt > suspicionLifetime; });
    std::erase_if(m_knownGood, [&](const auto& entry) { return now - entry.second > knownGoodLifetime; });
    std::erase_if(m_quarantined, [&](const auto& entry) { return now - entry.second > quarantineLifetime; });
    std::erase_if(m_attributedCrashes, [&](const auto& entry) { return now - entry.second > attributionLifetime; });
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
