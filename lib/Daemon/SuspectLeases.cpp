#include "SuspectLeases.h"

#include "basilpoint/Net/FiberSignal.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr Milliseconds leaseTime { 60'000 };
static constexpr Milliseconds maxWait { 120'000 };
static constexpr Milliseconds pollInterval { 25 };
static constexpr Milliseconds callTimeout { 2'000 };
static constexpr unsigned tokenDigits = 16;
static constexpr auto granted = "1";
static constexpr auto refused = "0";

SuspectLeases::SuspectLeases(const Clock& clock, RandomEngine& random, FleetController& fleet)
    : m_clock(clock)
    , m_random(random)
    , m_fleet(fleet)
    , m_leases(leaseTime)
{
}

std::string SuspectLeases::callCoordinator(const std::string& pool, const std::string& token, bool acquire)
{
    std::string body = Json { { "pool", pool }, { "token", token }, { "acquire", acquire } }.dump();
    std::optional<MemberInfo> coordinator = m_fleet.coordinator(pool);
    if (!coordinator)
        return answer(body);
    try {
        return m_fleet.call(*coordinator, PeerChannel::SuspectLease, body, callTimeout);
    } catch (const Error& error) {
        spdlog::warn("request to the coordinator of suspect leases failed: {}", error.what());
        return refused;
    }
}

std::string SuspectLeases::acquire(const std::string& pool)
{
    std::string token = randomHex(m_random, tokenDigits);
    TimePoint deadline = m_clock.now() + maxWait;
    while (m_clock.now() < deadline && callCoordinator(pool, token, true) != granted)
        sleepFiber(pollInterval);
    return token;
}

void SuspectLeases::release(const std::string& pool, const std::string& token)
{
    callCoordinator(pool, token, false);
}

std::string SuspectLeases::answer(const std::string& body)
{
    Json request = Json::parse(body, nullptr, false);
    if (!request.is_object() || !request.contains("pool") || !request["pool"].is_string() || !request.contains("token") || !request["token"].is_string())
        throw InvalidInputError("suspect lease", body.substr(0, 80), "pool and token");
    auto pool = request["pool"].get<std::string>();
    auto token = request["token"].get<std::string>();
    if (request.value("acquire", false))
        return m_leases.acquire(pool, token, m_clock.now()) ? granted : refused;
    m_leases.release(pool, token);
    return granted;
}

} // namespace basilpoint
