#include "RelayedCall.h"

#include "basilpoint/Support/Cbor.h"

namespace basilpoint {

using Json = nlohmann::json;

static constexpr const char* messageName = "relayed call";

std::string encodeRelayedCall(const RelayedCall& call)
{
    Json tried = Json::array();
    for (const TargetId& it : call.query.tried)
        tried.push_back(it.text());
    Json json { { "method", call.request.method }, { "target", call.request.target }, { "headers", call.request.headers }, { "body", bytesToJson(call.request.body) },
        { "route", call.route.name }, { "kind", static_cast<unsigned>(call.route.kind) }, { "latencyTarget", call.route.latencyTarget.count() }, { "priority", call.route.priority }, { "retention", call.route.turnRetention.count() },
        { "service", call.query.service.text() }, { "cacheHolder", call.query.cacheHolder.text() }, { "cachedTokens", call.query.cachedTokens }, { "tried", std::move(tried) },
        { "timeLeft", call.timeLeft.count() }, { "content", call.content.text() } };
    if (call.repetition)
        json["repetition"] = call.repetition->text();
    if (call.organisation)
        json["organisation"] = call.organisation->name;
    if (call.organisation && call.organisation->priority)
        json["organisationPriority"] = *call.organisation->priority;
    return toCbor(json);
}

static CallKind kindFrom(unsigned number)
{
    if (number > static_cast<unsigned>(CallKind::Stream))
        throw InvalidInputError(messageName, std::to_string(number), "kind of call");
    return static_cast<CallKind>(number);
}

// Absent for callers without an organisation, and in messages of releases that know none.
static std::optional<Organisation> organisationFrom(const Json& json)
{
    if (!json.contains("organisation"))
        return std::nullopt;
    Organisation organisation;
    organisation.name = json.at("organisation").get<std::string>();
    if (organisation.name.empty())
        throw InvalidInputError(messageName, "", "name of an organisation");
    if (json.contains("organisationPriority"))
        organisation.priority = json.at("organisationPriority").get<unsigned>();
    return organisation;
}

static RelayedCall callFrom(const Json& json)
{
    RelayedCall call;
    call.request = { json.at("method").get<std::string>(), json.at("target").get<std::string>(), json.at("headers").get<HttpHeaders>(), bytesFromJson(json.at("body")) };
    call.route.name = json.at("route").get<std::string>();
    call.route.kind = kindFrom(json.at("kind").get<unsigned>());
    call.route.latencyTarget = Milliseconds(json.at("latencyTarget").get<Milliseconds::rep>());
    call.route.priority = json.at("priority").get<unsigned>();
    call.route.turnRetention = Milliseconds(json.at("retention").get<Milliseconds::rep>());
    call.query.service = ServiceId(json.at("service").get<std::string>());
    call.query.kind = call.route.name;
    call.query.cacheHolder = TargetId(json.at("cacheHolder").get<std::string>());
    call.query.cachedTokens = json.at("cachedTokens").get<TokenCount>();
    for (const Json& it : json.at("tried"))
        call.query.tried.insert(TargetId(it.get<std::string>()));
    call.route.services = { { call.query.service } };
    call.timeLeft = Milliseconds(json.at("timeLeft").get<Milliseconds::rep>());
    call.content = parseDigest(json.at("content").get<std::string>());
    if (json.contains("repetition"))
        call.repetition = parseDigest(json["repetition"].get<std::string>());
    call.organisation = organisationFrom(json);
    return call;
}

RelayedCall decodeRelayedCall(const std::string& bytes)
{
    try {
        return callFrom(parseCbor(bytes));
    } catch (const Json::exception& error) {
        throw InvalidInputError(messageName, error.what(), "CBOR of a call");
    }
}

} // namespace basilpoint
