#include "basilpoint/Fleet/ConfigurationGossip.h"

#include "PullQueue.h"
#include "RevisionTable.h"

#include <algorithm>
#include <set>

namespace basilpoint {

static constexpr auto gossipPeriod = std::chrono::milliseconds(1'000);
/// Peers that get a digest at once when a revision has come into force.
static constexpr std::size_t fanOut = 3;
/// Digests list a revision for this long after it came into force.
static constexpr auto recentPeriod = std::chrono::seconds(10);
static constexpr std::size_t maxRecent = 32;
/// Minimum time between two comparisons of buckets while recent revisions may explain a difference.
static constexpr auto comparisonInterval = std::chrono::milliseconds(2'000);
/// Time between two requests for digests while this daemon is not ready.
static constexpr auto joinRetryInterval = std::chrono::milliseconds(400);
/// Number of ready peers, all of whose revisions a starting daemon must hold.
static constexpr std::size_t requiredPeers = 3;
static constexpr std::size_t maxDigestRevisions = 4'000;
static constexpr std::size_t maxDocumentsBytes = 256 * 1024;

struct ConfigurationGossip::Impl {
    Impl(InstanceId own, RandomEngine::result_type seed)
        : self(std::move(own))
        , random(seed)
    {
    }

    void send(ConfigurationActions& actions, const InstanceId& to, ConfigurationMessage message) const
    {
        actions.emplace_back(SendConfigurationAction { to, std::move(message) });
    }

    RevisionDigestMessage digest() const
    {
        RevisionDigestMessage message { self, {}, table.summary() };
        for (const auto& [id, since] : recent) {
            if (message.revisions.size() == maxRecent)
                break;
            message.revisions.emplace(id, table.revision(id));
        }
        message.ready = ready;
        return message;
    }

    RevisionDigestMessage digestReply() const
    {
        RevisionDigestMessage message = digest();
        message.reply = true;
        return message;
    }

    std::vector<InstanceId> randomPeers(std::size_t n)
    {
        std::vector<InstanceId> drawn;
        std::sample(peers.begin(), peers.end(), std::back_inserter(drawn), n, random);
        return drawn;
    }

    void applyIfNewer(ConfigurationActions& actions, const EnvironmentId& id, const StoredEnvironment& stored, TimePoint now)
    {
        if (!table.applyIfNewer(id, stored))
            return;
        recent[id] = now;
        hasUnsentRevisions = true;
        actions.emplace_back(ApplyEnvironmentAction { id, stored });
    }

    void pull(ConfigurationActions& actions, const InstanceId& peer, TimePoint now)
    {
        auto chunk = pulls.nextChunk(peer, table, now);
        if (!chunk.empty())
            send(actions, peer, PullMessage { self, std::move(chunk) });
    }

    void handle(const RevisionDigestMessage& message, ConfigurationActions& actions, TimePoint now)
    {
        bool newer = pulls.addAnnounced(message.from, message.revisions, table, now);
        if (newer)
            pull(actions, message.from, now);
        if (!message.buckets.empty())
            offerNewer(message, actions);
        bool equal = message.summary == table.summary();
        if (equal || (!newer && !message.buckets.empty() && !message.truncated))
            markInSync(message);
        if (message.wantsReply)
            send(actions, message.from, digestReply());
        else if (!equal && !newer && message.buckets.empty())
            compareBuckets(message, actions, now);
    }

    /// Announces the revisions that are newer here in the buckets that the peer has listed completely.
    void offerNewer(const RevisionDigestMessage& message, ConfigurationActions& actions) const
    {
        RevisionDigestMessage offer { self, {}, table.summary() };
        for (EnvironmentBucket bucket : message.buckets) {
            if (bucket >= RevisionTable::bucketCount)
                continue;
            for (const auto& [id, revision] : table.revisions(bucket)) {
                auto theirs = message.revisions.find(id);
                if (theirs == message.revisions.end() || theirs->second < revision)
                    offer.revisions.emplace(id, revision);
            }
        }
        if (offer.revisions.empty())
            return;
        offer.ready = ready;
        offer.reply = true;
        send(actions, message.from, std::move(offer));
    }

    /// Starts a comparison of buckets unless recent revisions may explain why the summaries differ.
    void compareBuckets(const RevisionDigestMessage& message, ConfigurationActions& actions, TimePoint now)
    {
        // A starting daemon compares at once. A ready one may differ only by a revision that is still being distributed.
        bool explained = ready && !recent.empty() && now < lastComparison + comparisonInterval;
        if (explained && !message.reply)
            send(actions, message.from, digestReply());
        if (explained || (ready && message.reply))
            return;
        lastComparison = now;
        const auto& hashes = table.bucketHashes();
        send(actions, message.from, BucketHashesMessage { self, { hashes.begin(), hashes.end() } });
    }

    void handle(const BucketHashesMessage& message, ConfigurationActions& actions, TimePoint)
    {
        if (message.hashes.size() != RevisionTable::bucketCount)
            return;
        RevisionDigestMessage answer { self, {}, table.summary() };
        answer.ready = ready;
        answer.reply = true;
        for (std::size_t bucket = 0; bucket < RevisionTable::bucketCount; ++bucket) {
            if (message.hashes[bucket] == table.bucketHashes()[bucket])
                continue;
            answer.truncated = answer.revisions.size() >= maxDigestRevisions;
            if (answer.truncated)
                break;
            answer.buckets.push_back(static_cast<EnvironmentBucket>(bucket));
            answer.revisions.merge(table.revisions(static_cast<EnvironmentBucket>(bucket)));
        }
        send(actions, message.from, std::move(answer));
    }

    void handle(const PullMessage& message, ConfigurationActions& actions, TimePoint)
    {
        DocumentsMessage answer { self, {} };
        std::size_t bytes = 0;
        for (const EnvironmentId& id : message.environments) {
            auto it = table.documents().find(id);
            if (it == table.documents().end())
                continue;
            bytes += it->second.document.size();
            if (!answer.documents.empty() && bytes > maxDocumentsBytes)
                break;
            answer.documents.insert(*it);
        }
        send(actions, message.from, std::move(answer));
    }

    void handle(const DocumentsMessage& message, ConfigurationActions& actions, TimePoint now)
    {
        for (const auto& [id, stored] : message.documents)
            applyIfNewer(actions, id, stored, now);
        pulls.answered(message.from, !message.documents.empty(), table);
        pull(actions, message.from, now);
        if (!ready && !pulls.hasPending(message.from))
            requestDigest(actions, message.from);
    }

    /// Records that all revisions in \p message are in force here.
    void markInSync(const RevisionDigestMessage& message)
    {
        syncedPeers.insert(message.from);
        if (message.ready)
            syncedReadyPeers.insert(message.from);
        updateReady();
    }

    /// Never reverts to not ready: periodic gossip brings all that a ready daemon misses.
    void updateReady()
    {
        if (ready)
            return;
        if (peers.empty()) {
            ready = listComplete;
            return;
        }
        auto countIn = [this](const std::set<InstanceId>& ids) {
            return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const InstanceId& it) { return ids.contains(it); }));
        };
        bool syncedWithEnough = countIn(syncedReadyPeers) >= std::min(requiredPeers, peers.size());
        bool syncedWithAll = countIn(syncedPeers) == peers.size() && !table.documents().empty();
        // A read of the key-value service may be stale, so that at least one peer must be in sync as well.
        bool confirmedList = listComplete && countIn(syncedPeers) > 0;
        ready = syncedWithEnough || syncedWithAll || confirmedList;
    }

    void requestDigest(ConfigurationActions& actions, const InstanceId& peer) const
    {
        RevisionDigestMessage message = digest();
        message.wantsReply = true;
        send(actions, peer, std::move(message));
    }

    void tick(ConfigurationActions& actions, TimePoint now)
    {
        std::erase_if(recent, [&](const auto& it) { return it.second + recentPeriod < now; });
        updateReady();
        if (hasUnsentRevisions) {
            hasUnsentRevisions = false;
            for (const InstanceId& peer : randomPeers(fanOut))
                send(actions, peer, digest());
        }
        if (!ready && now >= nextJoinAttempt) {
            nextJoinAttempt = now + joinRetryInterval;
            for (const InstanceId& peer : randomPeers(requiredPeers)) {
                pull(actions, peer, now);
                if (!pulls.hasPending(peer))
                    requestDigest(actions, peer);
            }
        }
        if (ready && now >= nextGossip) {
            nextGossip = now + gossipPeriod;
            for (const InstanceId& peer : randomPeers(1))
                send(actions, peer, digest());
        }
    }

    InstanceId self;
    RandomEngine random;
    std::vector<InstanceId> peers;
    RevisionTable table;
    PullQueue pulls;
    /// Environments whose revision came into force within recentPeriod, and when.
    std::map<EnvironmentId, TimePoint> recent;
    std::set<InstanceId> syncedPeers;
    std::set<InstanceId> syncedReadyPeers;
    TimePoint lastComparison;
    TimePoint nextGossip;
    TimePoint nextJoinAttempt;
    bool hasUnsentRevisions = false;
    bool listComplete = false;
    bool ready = false;
};

ConfigurationGossip::ConfigurationGossip(InstanceId self, RandomEngine::result_type seed)
    : m_impl(std::make_unique<Impl>(std::move(self), seed))
{
}

ConfigurationGossip::~ConfigurationGossip() = default;

void ConfigurationGossip::setPeers(std::vector<InstanceId> peers)
{
    std::erase(peers, m_impl->self);
    m_impl->pulls.retainPeers(peers);
    m_impl->peers = std::move(peers);
}

void ConfigurationGossip::restore(const std::map<EnvironmentId, StoredEnvironment>& documents)
{
    for (const auto& [id, stored] : documents)
        m_impl->table.applyIfNewer(id, stored);
}

void ConfigurationGossip::markListComplete()
{
    m_impl->listComplete = true;
    m_impl->updateReady();
}

ConfigurationActions ConfigurationGossip::stored(const EnvironmentId& id, const StoredEnvironment& stored, TimePoint now)
{
    ConfigurationActions actions;
    m_impl->applyIfNewer(actions, id, stored, now);
    return actions;
}

ConfigurationActions ConfigurationGossip::received(const ConfigurationMessage& message, TimePoint now)
{
    ConfigurationActions actions;
    std::visit([&](const auto& it) { m_impl->handle(it, actions, now); }, message);
    return actions;
}

ConfigurationActions ConfigurationGossip::tick(TimePoint now)
{
    ConfigurationActions actions;
    m_impl->tick(actions, now);
    return actions;
}

bool ConfigurationGossip::ready() const
{
    return m_impl->ready;
}

const std::map<EnvironmentId, StoredEnvironment>& ConfigurationGossip::inForce() const
{
    return m_impl->table.documents();
}

} // namespace basilpoint
