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
    /// Leaves as planned: gets no new shards, finishes what it has.
    Leaving,
    Dead,
};

/// One daemon as others know it.
struct MemberInfo {
    InstanceId id;
    DataCentreId dataCentre;
    /// Address for peer links.
    Endpoint peer;
    /// Address to which callers' requests are passed on.
    Endpoint callers;
    /// Journal holder of the instance; empty if it keeps none.
    HolderId holder;
    /// Whether the holder has a disk.
    bool durable = false;
    /// Raised by the member itself to refute a suspicion.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    bool operator==(const MemberInfo&) const = default;
};

/// Are you there? Carries the sender itself and changes that it has heard of.
struct PingMessage {
    std::uint64_t sequence = 0;
    InstanceId from;
    std::vector<MemberInfo> changes;
    /// Whether the answer shall carry all members instead of the latest changes.
    bool exchange = false;
    /// Hash of the members that the sender holds for running; tells a difference that gossip left behind.
    std::uint64_t viewHash = 0;

    bool operator==(const PingMessage&) const = default;
};

/// Yes. Answer to PingMessage, or to PingRequestMessage on behalf of \p subject.
struct AckMessage {
    std::uint64_t sequence = 0;
    InstanceId from;
    InstanceId subject;
    std::vector<MemberInfo> changes;
    /// Whether \p changes holds all members.
    bool exchange = false;

    bool operator==(const AckMessage&) const = default;
};

/// Probe \p subject for me.
struct PingRequestMessage {
    std::uint64_t sequence = 0;
    InstanceId from;
    InstanceId subject;
    std::vector<MemberInfo> changes;

    bool operator==(const PingRequestMessage&) const = default;
};

using MembershipMessage = std::variant<PingMessage, AckMessage, PingRequestMessage>;

/// CBOR forms for peer links. \throws InvalidInputError on input of another shape.
/// A suspect or dead member is sent as id, incarnation and state alone.
std::string encodeMembershipMessage(const MembershipMessage&);
MembershipMessage decodeMembershipMessage(std::string_view bytes);

/// Send \p message to the member \p to at \p address.
struct SendMembershipAction {
    InstanceId to;
    Endpoint address;
    MembershipMessage message;
};

/// A member's state as seen here has changed.
struct MemberChangedAction {
    MemberInfo member;
};

using MembershipAction = std::variant<SendMembershipAction, MemberChangedAction>;
using MembershipActions = std::vector<MembershipAction>;

struct MembershipSettings {
    Milliseconds probePeriod { 1'000 };
    Milliseconds ackTimeout { 250 };
    /// Members asked to probe on one's behalf.
    unsigned indirectProbes = 3;
    Milliseconds suspicionTimeout { 4'000 };
    /// Bytes of changes carried by one message.
    std::size_t piggybackBytes = 600;
    /// Probe periods between two attempts to reach a dead member or a listed address that has not answered.
    unsigned contactPeriods = 2;
    /// A dead member is forgotten after this; longer than a region stays apart.
    std::chrono::minutes deadRetention { 120 };
    /// Least time between two exchanges of all members that a view hash asks for.
    Milliseconds exchangePause { 10'000 };
};

/// Who is there: the platform's lagging list plus own probing (after the published SWIM protocol).
class Membership {
public:
    Membership(MemberInfo self, MembershipSettings, RandomEngine::result_type seed);
    ~Membership();

    /// The platform's list: addresses of peers, possibly out of date.
    MembershipActions setListedPeers(const std::vector<Endpoint>& peers, TimePoint now);
    MembershipActions received(const MembershipMessage&, TimePoint now);
    /// Call every 50 ms.
    MembershipActions tick(TimePoint now);
    /// This daemon begins its planned stop.
    MembershipActions leave(TimePoint now);

    /// All members known here, this daemon included.
    std::vector<MemberInfo> members() const;
    const MemberInfo& self() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint
