#pragma once

#include "JournalService.h"
#include "ShardDirectory.h"
#include "ShardDriver.h"

#include "basilpoint/Fleet/Membership.h"
#include "basilpoint/Fleet/ShardPlacement.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/PeerLink.h"

#include <map>
#include <optional>

namespace basilpoint {

/// What a daemon knows of its fleet from its settings.
struct FleetSettings {
    MembershipSettings membership;
    /// Peer addresses that are asked to join; none at a single daemon.
    std::vector<Endpoint> peers;
    /// The platform's list of instances, if there is one.
    std::optional<Endpoint> platform;
    std::uint64_t shardCount = 64;
};

/// Keeps this daemon's shards in line with the members of the fleet.
class FleetController final : public ShardDirectory {
public:
    FleetController(const Clock&, MemberInfo self, RandomEngine::result_type seed, FleetSettings, HttpClient&, KeyValueStore&, ShardDriver&, ShardController&, JournalService&);

    /// Links are made after this controller, since they deliver to it.
    void attach(PeerLinks& links) { m_links = &links; }

    void start();

    /// Called with the ids of the other members after each change.
    void onMembers(std::function<void(const std::vector<InstanceId>&)> hook) { m_onMembers = std::move(hook); }

    /// Called with each member that is given up for dead.
    void onDeath(std::function<void(const InstanceId&)> hook) { m_onDeath = std::move(hook); }

    void received(const std::string& body);

    /// Answers a peer that asks for a shard. \returns "1" once it is released.
    std::string handOver(const std::string& body);

    /// Carries a request to a holder anywhere. \throws PeerUnreachableError.
    HolderReply callHolder(const HolderId&, ShardId, const HolderRequest&);

    /// Member that coordinates \p name; empty if that is this daemon.
    std::optional<MemberInfo> coordinator(const std::string& name) const;
    /// \throws PeerUnreachableError.
    std::string call(const MemberInfo&, PeerChannel, const std::string& body, Milliseconds timeout);
    void send(const InstanceId&, PeerChannel, const std::string& body);
    void broadcast(PeerChannel, const std::string& body);

    std::optional<ShardRoute> route(ShardId) const override;

    /// Announces the planned stop and suspends until no shard is left here, at most for \p limit.
    void leave(Milliseconds limit);

    std::vector<MemberInfo> members() const { return m_membership.members(); }
    bool settled() const;

private:
    bool single() const { return m_settings.peers.empty() && !m_settings.platform; }
    void perform(const MembershipActions&);
    void tickLoop();
    void listLoop();
    void reconcileLoop();
    void reconcile();
    void claim(ShardId, const ShardAssignment&);
    void repairHolders(ShardId, const ShardAssignment&);
    bool ownerGone(const ShardRecord&) const;
    Milliseconds joinTime() const;
    void checkOwnership(ShardId);
    std::set<HolderId> lostHolders() const;
    std::vector<Endpoint> listedPeers();
    const MemberInfo* findMember(const InstanceId&) const;
    const MemberInfo* findHolder(const HolderId&) const;

    const Clock& m_clock;
    FleetSettings m_settings;
    Membership m_membership;
    HttpClient& m_client;
    KeyValueStore& m_store;
    ShardDriver& m_driver;
    ShardController& m_shards;
    JournalService& m_journal;
    PeerLinks* m_links = nullptr;
    std::function<void(const std::vector<InstanceId>&)> m_onMembers;
    std::function<void(const InstanceId&)> m_onDeath;
    std::map<InstanceId, MemberInfo> m_members;
    std::map<ShardId, ShardAssignment> m_placement;
    /// Shards that are being claimed now, with the number of attempts.
    std::map<ShardId, unsigned> m_claims;
    std::map<ShardId, unsigned> m_attempts;
    /// When a shard that is owned here but placed elsewhere is checked next.
    std::map<ShardId, TimePoint> m_checkAt;
    TimePoint m_startedAt;
    bool m_membersChanged = true;
};

} // namespace basilpoint
