#include "basilpoint/Gateway/StorePaths.h"

#include <algorithm>
#include <limits>

namespace basilpoint {

std::vector<RelayAddress> filterRelays(const std::vector<RelayAddress>& relays, bool isKeeper)
{
    std::vector<RelayAddress> found;
    std::copy_if(relays.begin(), relays.end(), std::back_inserter(found), [isKeeper](const RelayAddress& it) { return it.isKeeper == isKeeper; });
    return found;
}

// A way that failed is left out this long, doubled with each failure in a row up to the longest.
static constexpr Milliseconds firstSuspension { 250 };
static constexpr Milliseconds longestSuspension { 8'000 };
static constexpr unsigned maxDoublings = 5;
// Beyond the usual time of a commit, 50 ms in a group and its answer.
static constexpr Milliseconds patienceOfFew { 160 };
// Beyond that of a slow store as well; callers' targets for a program leave room for one such wait.
static constexpr Milliseconds patienceOfMany { 1'000 };
// A grant is some three calls to each keeper, of which it answers about a thousand a second at 0.3 of a core; with more
// than two of each of 72 daemons they would take longer than a grant waits.
static constexpr std::size_t maxGrantsOfMany = 2;

void StorePaths::setRelays(const std::vector<RelayAddress>& relays)
{
    m_relays.clear();
    for (const RelayAddress& it : relays)
        m_relays[it.instance] = it;
}

bool StorePaths::isSuspended(const StorePath& path, TimePoint now) const
{
    auto it = m_failures.find(path);
    return it != m_failures.end() && now < it->second.until;
}

bool StorePaths::isKeeper(const StorePath& path) const
{
    auto it = m_relays.find(path.relay);
    return it != m_relays.end() && it->second.isKeeper;
}

bool StorePaths::hasManyDaemons() const
{
    auto n = std::count_if(m_relays.begin(), m_relays.end(), [](const auto& it) { return !it.second.isKeeper; });
    return static_cast<std::size_t>(n) > daemonsPerKeeper;
}

// Every grant and every kept turn is a call or more to each keeper. Those of few daemons they carry at any time, and
// callers are served sooner; those of many only if there is no other way.
Milliseconds StorePaths::fallbackDelay(bool isStoreSlow, bool isStoreFailing) const
{
    if (isStoreFailing || (isStoreSlow && !hasManyDaemons()))
        return Milliseconds(0);
    return hasManyDaemons() ? patienceOfMany : patienceOfFew;
}

// In an outage, what the keepers can't carry is refused at once, before a target works in vain.
std::size_t StorePaths::maxConcurrentGrants() const
{
    return hasManyDaemons() ? maxGrantsOfMany : std::numeric_limits<std::size_t>::max();
}

std::vector<StorePath> StorePaths::keepers(const DataCentreId& home) const
{
    const DataCentreId& first = home.empty() ? m_own : home;
    std::vector<StorePath> paths;
    for (const auto& [name, relay] : m_relays)
        if (relay.isKeeper)
            paths.push_back({ name });
    if (hasManyDaemons())
        std::stable_partition(paths.begin(), paths.end(), [&](const StorePath& it) { return m_relays.at(it.relay).dataCentre == first; });
    return paths;
}

void StorePaths::preferUsable(std::vector<StorePath>& paths, TimePoint now) const
{
    std::stable_partition(paths.begin(), paths.end(), [&](const StorePath& it) { return !isSuspended(it, now); });
}

std::vector<StorePath> StorePaths::memories(TimePoint now, const DataCentreId& home) const
{
    std::vector<StorePath> paths = keepers(home);
    // Unlike a commit this can be left out, and one that is cut off would cost each turn its time-out.
    std::erase_if(paths, [&](const StorePath& it) { return isSuspended(it, now); });
    return paths;
}

std::vector<StorePath> StorePaths::order(Purpose purpose, TimePoint now, const DataCentreId& home) const
{
    std::vector<StorePath> others;
    for (const auto& [name, relay] : m_relays)
        if (!relay.isKeeper)
            others.push_back({ name });
    std::stable_partition(others.begin(), others.end(), [&](const StorePath& it) { return m_relays.at(it.relay).dataCentre == m_own; });
    std::vector<StorePath> paths = keepers(home);
    switch (purpose) {
    case Purpose::Commit:
    case Purpose::Wait:
        paths.push_back({});
        break;
    case Purpose::Read:
        paths.insert(paths.begin(), StorePath {});
        break;
    }
    paths.insert(paths.end(), others.begin(), others.end());
    preferUsable(paths, now);
    if (paths.size() > maxTries)
        paths.resize(maxTries);
    return paths;
}

void StorePaths::failed(const StorePath& path, TimePoint now)
{
    Failure& failure = m_failures[path];
    failure.until = now + std::min(longestSuspension, firstSuspension * (1 << std::min(failure.count, maxDoublings)));
    ++failure.count;
}

} // namespace basilpoint
