#include "AllowanceCodec.h"

#include "basilpoint/Support/Cbor.h"
#include "basilpoint/Support/Error.h"

namespace basilpoint {

using Json = nlohmann::json;

// Arrays without names keep the messages small: they are most of what gateways send each other for control.
std::string encodeAllowanceRequest(const AllowanceRequest& request)
{
    Json demands = Json::array();
    for (const AllowanceRequest::Demand& it : request.demands)
        demands.push_back({ it.organisation, it.wanted, it.returned });
    return toCbor(Json::array({ request.sender, request.lifetime, request.partition, request.coordinator, request.echo, request.isWithdrawal, std::move(demands) }));
}

AllowanceRequest decodeAllowanceRequest(const std::string& bytes)
{
    try {
        Json json = parseCbor(bytes);
        AllowanceRequest request { json.at(0).get<std::string>(), json.at(1).get<std::string>(), json.at(2).get<std::size_t>(), json.at(3).get<std::string>(), json.at(4).get<AllowanceStamp>(), json.at(5).get<bool>(), {} };
        for (const Json& it : json.at(6))
            request.demands.push_back({ it.at(0).get<std::string>(), it.at(1).get<std::uint32_t>(), it.at(2).get<std::uint32_t>() });
        return request;
    } catch (const Json::exception& error) {
        throw InvalidInputError("allowance request", error.what(), "CBOR of an allowance request");
    }
}

std::string encodeAllowanceAnswer(const AllowanceAnswer& answer)
{
    Json grants = Json::array();
    for (const AllowanceAnswer::Grant& it : answer.grants)
        grants.push_back({ it.organisation, it.granted, it.retryAfter.count() });
    return toCbor(Json::array({ answer.lifetime, answer.stamp, answer.isLeaving, std::move(grants) }));
}

AllowanceAnswer decodeAllowanceAnswer(const std::string& bytes)
{
    try {
        Json json = parseCbor(bytes);
        AllowanceAnswer answer { json.at(0).get<std::string>(), json.at(1).get<AllowanceStamp>(), json.at(2).get<bool>(), {} };
        for (const Json& it : json.at(3))
            answer.grants.push_back({ it.at(0).get<std::string>(), it.at(1).get<std::uint32_t>(), Milliseconds(it.at(2).get<Milliseconds::rep>()) });
        return answer;
    } catch (const Json::exception& error) {
        throw InvalidInputError("allowance answer", error.what(), "CBOR of an allowance answer");
    }
}

} // namespace basilpoint
