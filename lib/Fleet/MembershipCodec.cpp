#include "Cbor.h"

#include "basilpoint/Fleet/Membership.h"

namespace basilpoint {

static constexpr auto messageName = "membership message";
static constexpr std::size_t failureReportFields = 3;

namespace {

    enum class MessageType {
        Ping,
        Ack,
        PingRequest,
    };

} // namespace

// Arrays instead of maps, since member records are sent often and keys would double their size.
// A failure report contains no addresses, since only receivers that already know the member use it.
static Json toJson(const MemberInfo& member)
{
    if (member.state == MemberState::Suspect || member.state == MemberState::Dead)
        return Json::array({ member.id.text(), member.incarnation, static_cast<unsigned>(member.state) });
    return Json::array({ member.id.text(), member.dataCentre.text(), member.peer.host, member.peer.port, member.callers.host, member.callers.port, member.holder.text(), member.durable, member.incarnation, static_cast<unsigned>(member.state) });
}

static MemberInfo memberFromJson(const Json& json)
{
    MemberInfo member;
    member.id = textIdFromJson<InstanceId>(json.at(0));
    if (json.size() == failureReportFields) {
        member.incarnation = json.at(1).get<std::uint64_t>();
        member.state = enumFromJson(json.at(2), MemberState::Dead, messageName);
        return member;
    }
    member.dataCentre = textIdFromJson<DataCentreId>(json.at(1));
    member.peer = { json.at(2).get<std::string>(), json.at(3).get<std::uint16_t>() };
    member.callers = { json.at(4).get<std::string>(), json.at(5).get<std::uint16_t>() };
    member.holder = textIdFromJson<HolderId>(json.at(6));
    member.durable = json.at(7).get<bool>();
    member.incarnation = json.at(8).get<std::uint64_t>();
    member.state = enumFromJson(json.at(9), MemberState::Dead, messageName);
    return member;
}

static Json toJson(const std::vector<MemberInfo>& members)
{
    Json json = Json::array();
    for (const MemberInfo& member : members)
        json.push_back(toJson(member));
    return json;
}

static std::vector<MemberInfo> membersFromJson(const Json& json)
{
    std::vector<MemberInfo> members;
    for (const Json& it : json)
        members.push_back(memberFromJson(it));
    return members;
}

static Json toJson(const PingMessage& message)
{
    return Json::array({ static_cast<unsigned>(MessageType::Ping), message.sequence, message.from.text(), toJson(message.changes), message.fullSync, message.viewHash });
}

static Json toJson(const AckMessage& message)
{
    return Json::array({ static_cast<unsigned>(MessageType::Ack), message.sequence, message.from.text(), toJson(message.changes), message.subject.text(), message.fullSync });
}

static Json toJson(const PingRequestMessage& message)
{
    return Json::array({ static_cast<unsigned>(MessageType::PingRequest), message.sequence, message.from.text(), toJson(message.changes), message.subject.text() });
}

static MembershipMessage messageFromJson(const Json& json)
{
    auto type = enumFromJson(json.at(0), MessageType::PingRequest, messageName);
    auto sequence = json.at(1).get<std::uint64_t>();
    auto from = textIdFromJson<InstanceId>(json.at(2));
    auto changes = membersFromJson(json.at(3));
    switch (type) {
    case MessageType::Ping:
        return PingMessage { sequence, from, std::move(changes), json.at(4).get<bool>(), json.at(5).get<std::uint64_t>() };
    case MessageType::Ack:
        return AckMessage { sequence, from, textIdFromJson<InstanceId>(json.at(4)), std::move(changes), json.at(5).get<bool>() };
    case MessageType::PingRequest:
        return PingRequestMessage { sequence, from, textIdFromJson<InstanceId>(json.at(4)), std::move(changes) };
    }
    throw InvalidInputError(messageName, "type", "a known message");
}

std::string encodeMembershipMessage(const MembershipMessage& message)
{
    return toCbor(std::visit([](const auto& it) { return toJson(it); }, message));
}

MembershipMessage decodeMembershipMessage(std::string_view bytes)
{
    return fromCbor(bytes, messageName, messageFromJson);
}

} // namespace basilpoint
