#include "basilpoint/Gateway/StorePaths.h"

#include <algorithm>
#include <limits>
#include <set>

namespace basilpoint {

std::vector<RelayAddress> filterRelays(const std::vector<RelayAddress>& relays, bool isKeeper)
{
    std::vector<RelayAddress> found;
    std::copy_if(relays.begin(), relays.end(), std::back_inserter(found), [isKeeper](const RelayAddress& it) { return it.isKeeper == isKeeper; });
    return found;
}

// Suspension of a path that failed; doubles with each failure in a row.
static constexpr Milliseconds minSuspension { 250 };
static constexpr Milliseconds maxSuspension { 8'000 };
static constexpr unsigned maxDoublings = 5;
// Longest time between two attempts on a path while the store fails. Relays answer at once whether the store is back, and
// call it no more often themselves; a direct call of each daemon is the last resort of one that reaches no relay.
static constexpr Milliseconds maxRelayRetry { 500 };
static constexpr Milliseconds maxDirectRetry { 2'000 };
// Longer than a usual commit, which takes up to 50 ms of grouping and the store's response time.
static constexpr Milliseconds fallbackDelayOfFew { 160 };
// Longer than a commit to a slow store too. Latency targets of programs leave room for one such delay.
static constexpr Milliseconds fallbackDelayOfMany { 1'000 };
// A grant makes about three calls to each keeper, which serves about a thousand calls a second on 0.3 of a core. With
// more than two concurrent grants of each of 72 daemons, the calls would exceed the timeout of a grant.
static constexpr std::size_t maxConcurrentGrantsOfMany = 2;

// Keepers that are tried before other daemons. A daemon that reaches none of so many is cut off from the others as well.
static constexpr std::size_t maxKeepers = 5;

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

// Each grant and each turn on the keepers' disks makes one call or more to every keeper. Keepers can always serve those
// of few daemons, which then need not wait for a slow store. Many daemons fall back to them only if the store fails.
Milliseconds StorePaths::fallbackDelay(bool isStoreSlow, bool isStoreFailing) const
{
    if (isStoreFailing || (isStoreSlow && !hasManyDaemons()))
        return Milliseconds(0);
    return hasManyDaemons() ? fallbackDelayOfMany : fallbackDelayOfFew;
}

// During an outage, grants beyond the keepers' capacity are refused at once, before a target runs the turn for nothing.
std::size_t StorePaths::maxConcurrentGrants() const
{
    return hasManyDaemons() ? maxConcurrentGrantsOfMany : std::numeric_limits<std::size_t>::max();
}

std::vector<StorePath> StorePaths::keepers(const DataCentreId& commitDataCentre) const
{
    const DataCentreId& first = commitDataCentre.empty() ? m_own : commitDataCentre;
    std::vector<StorePath> paths;
    for (const auto& [name, relay] : m_relays)
        if (relay.isKeeper)
            paths.push_back({ name });
    if (hasManyDaemons())
        std::stable_partition(paths.begin(), paths.end(), [&](const StorePath& it) { return m_relays.at(it.relay).dataCentre == first; });
    return paths;
}

// Rotates the paths to this data centre's keepers, or to all keepers if it has none.
void StorePaths::spread(std::vector<StorePath>& keepers) const
{
    auto end = std::find_if(keepers.begin(), keepers.end(), [&](const StorePath& it) { return m_relays.at(it.relay).dataCentre != m_own; });
    if (end == keepers.begin())
        end = keepers.end();
    if (keepers.begin() != end)
        std::rotate(keepers.begin(), keepers.begin() + static_cast<std::ptrdiff_t>(m_seed % static_cast<std::uint64_t>(end - keepers.begin())), end);
}

Milliseconds StorePaths::maxRetry(const StorePath& path) const
{
    return path.relay.empty() && !m_relays.empty() ? maxDirectRetry : maxRelayRetry;
}

void StorePaths::retried(const StorePath& path, TimePoint now)
{
    auto failure = m_failures.find(path);
    if (failure == m_failures.end())
        return;
    failure->second.at = now;
    failure->second.until = now + maxRetry(path);
}

std::vector<StorePath> StorePaths::duePaths(std::vector<StorePath> paths, TimePoint now) const
{
    std::erase_if(paths, [&](const StorePath& it) {
        auto failure = m_failures.find(it);
        if (failure == m_failures.end())
            return false;
        return now < std::min(failure->second.until, failure->second.at + maxRetry(it));
    });
    return paths;
}

void StorePaths::moveSuspendedToEnd(std::vector<StorePath>& paths, TimePoint now) const
{
    std::stable_partition(paths.begin(), paths.end(), [&](const StorePath& it) { return !isSuspended(it, now); });
}

std::vector<StorePath> StorePaths::recallPaths(TimePoint now, const DataCentreId& commitDataCentre) const
{
    std::vector<StorePath> paths = keepers(commitDataCentre);
    // Recall is optional, unlike a commit, and an unreachable keeper would delay each turn by a timeout.
    std::erase_if(paths, [&](const StorePath& it) { return isSuspended(it, now); });
    if (!hasManyDaemons())
        return paths;
    std::set<DataCentreId> asked;
    std::erase_if(paths, [&](const StorePath& it) { return !asked.insert(m_relays.at(it.relay).dataCentre).second; });
    return paths;
}

std::vector<StorePath> StorePaths::orderedPaths(Purpose purpose, TimePoint now, const DataCentreId& commitDataCentre) const
{
    std::vector<StorePath> others;
    for (const auto& [name, relay] : m_relays)
        if (!relay.isKeeper)
            others.push_back({ name });
    std::stable_partition(others.begin(), others.end(), [&](const StorePath& it) { return m_relays.at(it.relay).dataCentre == m_own; });
    std::vector<StorePath> paths = keepers(commitDataCentre);
    if (purpose == Purpose::SharedRead && hasManyDaemons())
        spread(paths);
    paths.resize(std::min(paths.size(), maxKeepers));
    switch (purpose) {
    case Purpose::Commit:
    case Purpose::Watch:
    case Purpose::SharedRead:
        paths.push_back({});
        break;
    case Purpose::Read:
        paths.insert(paths.begin(), StorePath {});
        break;
    }
    paths.insert(paths.end(), others.begin(), others.end());
    moveSuspendedToEnd(paths, now);
    // Keepers that fail together must not cut a daemon off from a store that it reaches itself.
    auto direct = std::find(paths.begin(), paths.end(), StorePath {});
    auto last = paths.begin() + static_cast<std::ptrdiff_t>(std::min(maxTries, paths.size()) - 1);
    if (direct > last)
        std::rotate(last, direct, direct + 1);
    if (paths.size() > maxTries)
        paths.resize(maxTries);
    return paths;
}

void StorePaths::failed(const StorePath& path, TimePoint now)
{
    Failure& failure = m_failures[path];
    failure.at = now;
    failure.until = now + std::min(maxSuspension, minSuspension * (1 << std::min(failure.count, maxDoublings)));
    ++failure.count;
}

} // namespace basilpoint
