#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Endpoint.h"
#include "basilpoint/Support/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace basilpoint {

/// A daemon that makes calls to the store for other daemons.
struct RelayAddress {
    std::string instance;
    DataCentreId dataCentre;
    Endpoint endpoint;
    /// Whether it is a keeper, which serves no callers and so has time to group commits.
    bool isKeeper = false;

    auto operator<=>(const RelayAddress&) const = default;
};

/// Returns the keepers of \p relays, or the others if \p isKeeper is false.
std::vector<RelayAddress> filterRelays(const std::vector<RelayAddress>& relays, bool isKeeper);

/// A path to the store: through a relay, or directly if \ref relay is empty.
struct StorePath {
    std::string relay;

    auto operator<=>(const StorePath&) const = default;
};

/// Chooses the paths on which to call the store.
///
/// Commits and watches go through a keeper, which merges the calls of several daemons; reads go directly. Few daemons
/// share one keeper, so that the store gets the fewest calls. Many daemons are distributed over the keepers by data
/// centre, since one keeper could not handle the load of all. Reads that many daemons make at the same time go through
/// keepers as well, spread over those of the data centre. A path that fails is suspended for some time, so that a daemon
/// without a connection to the store calls it through another daemon.
///
/// While the store fails on all paths, suspended paths are not tried at all: hundreds of daemons that each repeat what
/// they need on three paths would make thousands of calls a second to a store that serves none of them.
class StorePaths {
public:
    /// \param seed spreads the daemons over the keepers.
    explicit StorePaths(DataCentreId own, std::uint64_t seed = 0)
        : m_own(std::move(own))
        , m_seed(seed)
    {
    }

    void setRelays(const std::vector<RelayAddress>&);

    enum class Purpose {
        Commit,
        Watch,
        /// Reads that all daemons make, which a keeper makes once for several of them.
        SharedRead,
        Read,
    };

    /// Paths to try, the best first; never empty. The direct path is always among them.
    /// \param commitDataCentre data centre whose keeper comes first if there are many daemons; this daemon's own if
    /// empty.
    std::vector<StorePath> orderedPaths(Purpose, TimePoint now, const DataCentreId& commitDataCentre = {}) const;

    /// Those of \p paths that may be tried while the store fails; may be empty.
    std::vector<StorePath> duePaths(std::vector<StorePath> paths, TimePoint now) const;

    /// Paths to keepers that may have a program's records cached, the likeliest first; without suspended ones. If there are
    /// many daemons, one keeper of each data centre, since one commits all changes of the programs that began there.
    std::vector<StorePath> recallPaths(TimePoint now, const DataCentreId& commitDataCentre = {}) const;

    /// Whether the path leads through a keeper.
    bool isKeeper(const StorePath&) const;

    /// Whether there are too many daemons for one keeper.
    bool hasManyDaemons() const;

    /// How long to wait for the store before falling back to the keepers' disks.
    Milliseconds fallbackDelay(bool isStoreSlow, bool isStoreFailing) const;

    /// Number of grants that a daemon may request from the keepers at the same time.
    std::size_t maxConcurrentGrants() const;

    void failed(const StorePath&, TimePoint now);
    /// A failed path is about to be tried; until that call ends, other calls do not try it.
    void retried(const StorePath&, TimePoint now);
    void answered(const StorePath& path) { m_failures.erase(path); }
    /// Whether the path has failed since it last answered.
    bool hasFailed(const StorePath& path) const { return m_failures.contains(path); }

    const std::map<std::string, RelayAddress>& relays() const { return m_relays; }

    /// Number of paths that one call tries.
    static constexpr std::size_t maxTries = 3;
    /// Maximum number of daemons serving callers for which one keeper commits. With 72 daemons a keeper used all of its
    /// 0.3 of a core; with 7 daemons at twice the request rate each it used 0.025.
    static constexpr std::size_t daemonsPerKeeper = 20;

private:
    struct Failure {
        TimePoint at;
        TimePoint until;
        unsigned count = 0;
    };

    std::vector<StorePath> keepers(const DataCentreId& commitDataCentre) const;
    void moveSuspendedToEnd(std::vector<StorePath>&, TimePoint now) const;
    bool isSuspended(const StorePath&, TimePoint now) const;

    Milliseconds maxRetry(const StorePath&) const;
    void spread(std::vector<StorePath>&) const;

    DataCentreId m_own;
    std::uint64_t m_seed;
    std::map<std::string, RelayAddress> m_relays;
    std::map<StorePath, Failure> m_failures;
};

} // namespace basilpoint
