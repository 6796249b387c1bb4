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

/// Settings of a daemon about its fleet.
struct FleetSettings {
    MembershipSettings membership;
    /// Peer addresses through which this daemon joins; empty for a single daemon.
    std::vector<Endpoint> peers;
    /// Address of the platform's list of instances, if there is one.
    std::optional<Endpoint> platform;
    std::uint64_t shardCount = 64;
};

/// Takes over and hands over shards according to the members of the fleet, and reaches other members.
class FleetController final : public ShardDirectory {
public:
    FleetController(const Clock&, MemberInfo self, RandomEngine::result_type seed, FleetSettings, HttpClient&, KeyValueStore&, ShardDriver&, ShardController&, JournalService&);

    /// Sets the peer links. Call before start().
    void attach(PeerLinks& links) { m_links = &links; }

    void start();

    /// Called with the ids of the other members after each change.
    void onMembersChanged(std::function<void(const std::vector<InstanceId>&)> hook) { m_onMembersChanged = std::move(hook); }

    /// Called with each member whose state becomes Dead.
    void onMemberDead(std::function<void(const InstanceId&)> hook) { m_onMemberDead = std::move(hook); }

    void received(const std::string& body);

    /// Handles a peer's request to hand a shard over. \returns "1" once the shard is released, otherwise "0".
    std::string handOver(const std::string& body);

    /// Sends a request to a holder, which may be this daemon's.
    /// \throws Error if no living member runs the holder or the request fails.
    HolderReply callHolder(const HolderId&, ShardId, const HolderRequest&);

    /// Member that coordinates \p name, by rendezvous hashing over the living members; empty if that is this daemon.
    std::optional<MemberInfo> coordinator(const std::string& name) const;
    /// \throws PeerUnreachableError.
    std::string call(const MemberInfo&, PeerChannel, const std::string& body, Milliseconds timeout);
    void send(const InstanceId&, PeerChannel, const std::string& body);
    void broadcast(PeerChannel, const std::string& body);

    std::optional<ShardRoute> route(ShardId) const override;

    /// Announces that this daemon leaves and suspends until it owns no shard, at most for \p limit.
    void leave(Milliseconds limit);

    std::vector<MemberInfo> members() const { return m_membership.members(); }
    /// Whether this daemon owns all shards that are assigned to it.
    bool ownsAssignedShards() const;

private:
    bool isSingleDaemon() const { return m_settings.peers.empty() && !m_settings.platform; }
    void perform(const MembershipActions&);
    void tickLoop();
    void peerListLoop();
    void reconcileLoop();
    void reconcile();
    void claim(ShardId, const ShardAssignment&);
    void repairHolders(ShardId, const ShardAssignment&);
    bool isOwnerDead(const ShardRecord&) const;
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
    std::function<void(const std::vector<InstanceId>&)> m_onMembersChanged;
    std::function<void(const InstanceId&)> m_onMemberDead;
    std::map<InstanceId, MemberInfo> m_members;
    std::map<ShardId, ShardAssignment> m_assignments;
    /// Shards with a claim in progress.
    std::map<ShardId, unsigned> m_claims;
    /// Number of hand-over requests for each shard that its owner has not yet released.
    std::map<ShardId, unsigned> m_handOverAttempts;
    /// Time of the next ownership check of each shard that this daemon owns but that is assigned to another member.
    std::map<ShardId, TimePoint> m_checkAt;
    TimePoint m_startedAt;
    bool m_membersChanged = true;
};

} // namespace basilpoint
