#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Endpoint.h"
#include "basilpoint/Support/Ids.h"

#include <map>
#include <string>
#include <vector>

namespace basilpoint {

/// A daemon that makes calls to the store for others.
struct RelayAddress {
    std::string instance;
    DataCentreId dataCentre;
    Endpoint endpoint;
    /// Stands beside a disk and serves no callers, so it has time to group commits.
    bool isKeeper = false;

    auto operator<=>(const RelayAddress&) const = default;
};

/// Those of \p relays that are keepers, or those that are not.
std::vector<RelayAddress> filterRelays(const std::vector<RelayAddress>& relays, bool isKeeper);

/// A way to the store: by a relay, or directly if \ref relay is empty.
struct StorePath {
    std::string relay;

    auto operator<=>(const StorePath&) const = default;
};

/// Chooses by which way to call the store.
///
/// Commits and waits for changes go by a keeper, where daemons share calls; reads go directly. Few daemons share one
/// keeper, for the fewest calls. Many are dealt out to the keepers of their data centres, of which none could carry all.
/// Whatever fails is left out for a time, so a daemon that is cut from the store goes by one that is not.
class StorePaths {
public:
    explicit StorePaths(DataCentreId own)
        : m_own(std::move(own))
    {
    }

    void setRelays(const std::vector<RelayAddress>&);

    enum class Purpose {
        Commit,
        Wait,
        Read,
    };

    /// Ways to try, the best first; never empty.
    /// \param home data centre whose keeper is the first, where daemons are dealt out; its own if empty.
    std::vector<StorePath> order(Purpose, TimePoint now, const DataCentreId& home = {}) const;

    /// Keepers that may remember what they committed, the likeliest first; without those that failed lately.
    std::vector<StorePath> memories(TimePoint now, const DataCentreId& home = {}) const;

    /// Whether the way leads by a keeper.
    bool isKeeper(const StorePath&) const;

    /// Whether there are too many daemons for one keeper.
    bool hasManyDaemons() const;

    /// How long a daemon waits for the store before it turns to the keepers' disks.
    Milliseconds fallbackDelay(bool isStoreSlow, bool isStoreFailing) const;

    /// Grants that a daemon may ask the keepers for at once.
    std::size_t maxConcurrentGrants() const;

    void failed(const StorePath&, TimePoint now);
    void answered(const StorePath& path) { m_failures.erase(path); }

    const std::map<std::string, RelayAddress>& relays() const { return m_relays; }

    /// Ways that one call tries.
    static constexpr std::size_t maxTries = 3;
    /// Daemons that serve callers for which one keeper commits. At 72 the keeper of kjp-basil-grown stood at its 0.3 of
    /// a core; of 7 at twice the requests each it took 0.025.
    static constexpr std::size_t daemonsPerKeeper = 20;

private:
    struct Failure {
        TimePoint until;
        unsigned count = 0;
    };

    std::vector<StorePath> keepers(const DataCentreId& home) const;
    void preferUsable(std::vector<StorePath>&, TimePoint now) const;
    bool isSuspended(const StorePath&, TimePoint now) const;

    DataCentreId m_own;
    std::map<std::string, RelayAddress> m_relays;
    std::map<StorePath, Failure> m_failures;
};

} // namespace basilpoint
