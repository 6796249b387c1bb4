#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Endpoint.h"
#include "basilpoint/Support/Ids.h"
#include "basilpoint/Support/Random.h"

#include <memory>
#include <variant>
#include <vector>

namespace basilpoint {

enum class MemberState {
    Alive,
    Suspect,
    /// Shuts down as planned: gets no new shards and finishes its requests.
    Leaving,
    Dead,
};

/// What other daemons know of one daemon.
struct MemberInfo {
    InstanceId id;
    DataCentreId dataCentre;
    /// Address for peer links.
    Endpoint peer;
    /// Address to which callers' requests are forwarded.
    Endpoint callers;
    /// Journal holder on the instance; empty if there is none.
    HolderId holder;
    /// Whether the holder has a disk.
    bool durable = false;
    /// Incremented by the member itself to refute a suspicion.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    bool operator==(const MemberInfo&) const = default;
};

/// Probe of the receiver. Carries the sender's own record and recent changes of other members.
struct PingMessage {
    std::uint64_t sequence = 0;
    InstanceId from;
    std::vector<MemberInfo> changes;
    /// Whether the reply must carry all members instead of the latest changes.
    bool fullSync = false;
    /// Hash of the members that the sender sees as not dead; detects differences that gossip has not resolved.
    std::uint64_t viewHash = 0;

    bool operator==(const PingMessage&) const = default;
};

/// Reply to PingMessage, or to PingRequestMessage after \p subject has replied to the relayed ping.
struct AckMessage {
    std::uint64_t sequence = 0;
    InstanceId from;
    InstanceId subject;
    std::vector<MemberInfo> changes;
    /// Whether \p changes contains all members.
    bool fullSync = false;

    bool operator==(const AckMessage&) const = default;
};

/// Requests an indirect probe of \p subject.
struct PingRequestMessage {
    std::uint64_t sequence = 0;
    InstanceId from;
    InstanceId subject;
    std::vector<MemberInfo> changes;

    bool operator==(const PingRequestMessage&) const = default;
};

using MembershipMessage = std::variant<PingMessage, AckMessage, PingRequestMessage>;

/// Encode to and decode from CBOR for peer links. A suspect or dead member is sent as id, incarnation and state
/// only. \throws InvalidInputError if \p bytes are not a valid message.
std::string encodeMembershipMessage(const MembershipMessage&);
MembershipMessage decodeMembershipMessage(std::string_view bytes);

/// Send \p message to the member \p to at \p address.
struct SendMembershipAction {
    InstanceId to;
    Endpoint address;
    MembershipMessage message;
};

/// The state of a member has changed in this daemon's view.
struct MemberChangedAction {
    MemberInfo member;
};

using MembershipAction = std::variant<SendMembershipAction, MemberChangedAction>;
using MembershipActions = std::vector<MembershipAction>;

struct MembershipSettings {
    Milliseconds probePeriod { 1'000 };
    Milliseconds ackTimeout { 250 };
    /// Members asked for an indirect probe when a direct one is not acknowledged in time.
    unsigned indirectProbes = 3;
    Milliseconds suspicionTimeout { 4'000 };
    /// Maximum bytes of changes piggybacked on one message.
    std::size_t piggybackBytes = 600;
    /// Probe periods between two attempts to reach a dead member again.
    unsigned deadContactPeriods = 2;
    /// Dead members are forgotten after this. Longer than a network partition between regions lasts, as members of
    /// the other side must still be known to be contacted.
    std::chrono::minutes deadRetention { 120 };
    /// Minimum time between two full syncs that are requested because view hashes differ.
    Milliseconds fullSyncInterval { 10'000 };
};

/// Members of the fleet and failure detection, by the SWIM protocol. The platform's list of instances, which may be
/// out of date, only supplies addresses to contact.
class Membership {
public:
    Membership(MemberInfo self, MembershipSettings, RandomEngine::result_type seed);
    ~Membership();

    /// Sets the peer addresses of the platform's list, which may be out of date.
    MembershipActions setListedPeers(const std::vector<Endpoint>& peers, TimePoint now);
    MembershipActions received(const MembershipMessage&, TimePoint now);
    /// Call every 50 ms.
    MembershipActions tick(TimePoint now);
    /// Announces this daemon's planned shutdown.
    MembershipActions leave(TimePoint now);

    /// All known members, including this daemon.
    std::vector<MemberInfo> members() const;
    const MemberInfo& self() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint
