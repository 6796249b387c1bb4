#include "basilpoint/Fleet/ConfigurationGossip.h"

#include "PullQueue.h"
#include "RevisionTable.h"

#include <algorithm>
#include <set>

namespace basilpoint {

static constexpr auto gossipPeriod = std::chrono::milliseconds(1'000);
/// Peers told at once of a revision that has just come into force.
static constexpr std::size_t fanOut = 3;
/// A revision is named in digests for this long after it came into force.
static constexpr auto recentPeriod = std::chrono::seconds(10);
static constexpr std::size_t maxRecent = 32;
/// Pause between two comparisons by buckets while recent revisions may explain a difference.
static constexpr auto comparisonPause = std::chrono::milliseconds(2'000);
/// Pause between two attempts of a daemon that is not ready.
static constexpr auto startPause = std::chrono::milliseconds(400);
/// Peers that report ready and whose revisions a starting daemon must hold.
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

    void raise(ConfigurationActions& actions, const EnvironmentId& id, const StoredEnvironment& stored, TimePoint now)
    {
        if (!table.raise(id, stored))
            return;
        recent[id] = now;
        untold = true;
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
        bool newer = pulls.want(message.from, message.revisions, table, now);
        if (newer)
            pull(actions, message.from, now);
        if (!message.buckets.empty())
            offerNewer(message, actions);
        bool equal = message.summary == table.summary();
        if (equal || (!newer && !message.buckets.empty() && !message.truncated))
            heardAll(message);
        if (message.wantsReply)
            send(actions, message.from, digestReply());
        else if (!equal && !newer && message.buckets.empty())
            compare(message, actions, now);
    }

    /// Names what is newer here than in the parts that the peer has listed wholly.
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

    /// Looks for a difference that the revisions in \p message do not explain.
    void compare(const RevisionDigestMessage& message, ConfigurationActions& actions, TimePoint now)
    {
        // A starting daemon needs the answer now, others may just be early with a new revision.
        bool explained = ready && !recent.empty() && now < lastComparison + comparisonPause;
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
            raise(actions, id, stored, now);
        pulls.answered(message.from, !message.documents.empty(), table);
        pull(actions, message.from, now);
        if (!ready && !pulls.isWaitingFor(message.from))
            ask(actions, message.from);
    }

    /// All that \p message shows is in force here.
    void heardAll(const RevisionDigestMessage& message)
    {
        heard.insert(message.from);
        if (message.ready)
            heardReady.insert(message.from);
        updateReady();
    }

    /// Sticky: a daemon that was ready has nothing to learn that gossip will not bring.
    void updateReady()
    {
        if (ready)
            return;
        if (peers.empty()) {
            ready = listed;
            return;
        }
        auto countIn = [this](const std::set<InstanceId>& ids) {
            return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const InstanceId& it) { return ids.contains(it); }));
        };
        bool heardEnough = countIn(heardReady) >= std::min(requiredPeers, peers.size());
        bool heardEveryone = countIn(heard) == peers.size() && !table.documents().empty();
        // A read of the service may be stale, so that one peer must agree with it.
        bool confirmedList = listed && countIn(heard) > 0;
        ready = heardEnough || heardEveryone || confirmedList;
    }

    void ask(ConfigurationActions& actions, const InstanceId& peer) const
    {
        RevisionDigestMessage message = digest();
        message.wantsReply = true;
        send(actions, peer, std::move(message));
    }

    void tick(ConfigurationActions& actions, TimePoint now)
    {
        std::erase_if(recent, [&](const auto& it) { return it.second + recentPeriod < now; });
        updateReady();
        if (untold) {
            untold = false;
            for (const InstanceId& peer : randomPeers(fanOut))
                send(actions, peer, digest());
        }
        if (!ready && now >= nextStart) {
            nextStart = now + startPause;
            for (const InstanceId& peer : randomPeers(requiredPeers)) {
                pull(actions, peer, now);
                if (!pulls.isWaitingFor(peer))
                    ask(actions, peer);
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
    /// When environments came into force; only the latest.
    std::map<EnvironmentId, TimePoint> recent;
    std::set<InstanceId> heard;
    std::set<InstanceId> heardReady;
    TimePoint lastComparison;
    TimePoint nextGossip;
    TimePoint nextStart;
    bool untold = false;
    bool listed = false;
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
        m_impl->table.raise(id, stored);
}

void ConfigurationGossip::markListComplete()
{
    m_impl->listed = true;
    m_impl->updateReady();
}

ConfigurationActions ConfigurationGossip::stored(const EnvironmentId& id, const StoredEnvironment& stored, TimePoint now)
{
    ConfigurationActions actions;
    m_impl->raise(actions, id, stored, now);
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
