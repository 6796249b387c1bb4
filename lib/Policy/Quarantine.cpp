#include "basilpoint/Policy/Quarantine.h"

#include <algorithm>
#include <utility>

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

Quarantine::Status Quarantine::crashed(const Digest& digest, LifetimeId replica, TimePoint dispatchedAt, TimePoint now)
{
    ended(digest, false, now);
    return addCrash(digest, replica, { now, now - dispatchedAt }, now);
}

Quarantine::Status Quarantine::suspect(const Digest& digest, std::optional<LifetimeId> replica, TimePoint now)
{
    return addCrash(digest, replica, { now, std::chrono::nanoseconds(0) }, now);
}

Quarantine::Status Quarantine::addCrash(const Digest& digest, std::optional<LifetimeId> replica, const SuspectRank& rank, TimePoint now)
{
    if (m_quarantined.contains(digest) || (replica && m_attributedCrashes.contains(*replica)))
        return statusOf(digest);
    bool wasKnownGood = m_knownGood.erase(digest) > 0;
    if (wasKnownGood && m_settings.sparesKnownGood)
        return statusOf(digest);
    auto it = m_suspects.find(digest);
    if (it == m_suspects.end()) {
        makeRoom();
        it = m_suspects.emplace(digest, Suspicion { {}, rank }).first;
    }
    auto& replicas = it->second.replicas;
    // Several copies lost with one replica count as one crash, and a replica that is not named may be one of the others.
    if (!replicas.empty() && (!replica || std::find(replicas.begin(), replicas.end(), replica) != replicas.end()))
        return Status::Suspect;
    replicas.push_back(replica);
    if (replicas.size() < m_settings.crashes)
        return Status::Suspect;
    auto crashes = std::exchange(replicas, {});
    quarantine(digest, now);
    for (const auto& crash : crashes)
        if (crash)
            attributeCrash(*crash, now);
    return Status::Quarantined;
}

void Quarantine::makeRoom()
{
    if (m_suspects.size() < m_settings.maxSuspects)
        return;
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.replicas.size(), a.second.rank.crashedAt) < std::pair(b.second.replicas.size(), b.second.rank.crashedAt);
    }));
}

void Quarantine::attributeCrash(LifetimeId replica, TimePoint now)
{
    m_attributedCrashes[replica] = now;
    for (auto& [digest, suspicion] : m_suspects)
        std::erase(suspicion.replicas, std::optional(replica));
    std::erase_if(m_suspects, [](const auto& entry) { return entry.second.replicas.empty(); });
}

void Quarantine::withdraw(const Digest& digest, LifetimeId replica)
{
    auto it = m_suspects.find(digest);
    if (it == m_suspects.end())
        return;
    std::erase(it->second.replicas, std::optional(replica));
    if (it->second.replicas.empty())
        m_suspects.erase(it);
}

std::vector<LifetimeId> Quarantine::crashesOf(const Digest& digest) const
{
    std::vector<LifetimeId> crashes;
    auto it = m_suspects.find(digest);
    if (it != m_suspects.end())
        for (const auto& replica : it->second.replicas)
            if (replica)
                crashes.push_back(*replica);
    return crashes;
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
