#include "AllowanceController.h"

#include "AllowanceCodec.h"
#include "PeerCall.h"

#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>

namespace basilpoint {

static constexpr std::chrono::seconds sweepInterval { 1 };
// Answers that a request waits for: the first of a coordinator may come before its pool has any rights.
static constexpr unsigned maxAsks = 2;
// Told to callers when nothing is known; a coordinator that ended is replaced within seconds.
static constexpr Milliseconds unknownRetryAfter { 250 };

AllowanceController::AllowanceController(std::string self, const std::string& lifetime, bool isFirstStart, Call call, IsCutOff isCutOff, const Clock& clock, JsonLog& log, Metrics& metrics)
    : m_self(std::move(self))
    , m_call(std::move(call))
    , m_isCutOff(std::move(isCutOff))
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_rights(m_self)
{
    TimePoint usableFrom = clock.now() + (isFirstStart ? firstStartDelay : Milliseconds(AllowanceLease::restartDelay));
    for (std::size_t n = 0; n < m_states.size(); ++n) {
        m_states[n].lease = std::make_unique<AllowanceLease>(n, m_self, lifetime, usableFrom);
        m_states[n].pool = std::make_unique<AllowancePool>(lifetime, m_rights, [this](const std::string& it) { return limitOf(it); });
    }
}

AllowancePool::Limit AllowanceController::limitOf(const std::string& organisation) const
{
    auto it = m_limits.find(organisation);
    if (it == m_limits.end())
        return {};
    return { &it->second.organisation, it->second.since };
}

void AllowanceController::update(const RouteTable& table)
{
    TimePoint now = m_clock.now();
    std::unordered_map<std::string, Limit> limits;
    if (const auto& organisations = table.configuration().organisations)
        for (const Organisation& it : *organisations) {
            if (!it.isLimited())
                continue;
            auto known = m_limits.find(it.name);
            Limit limit { {}, known == m_limits.end() ? now : known->second.since };
            // Without the keys, which belong to the route table only.
            limit.organisation.name = it.name;
            limit.organisation.requestsPerSecond = it.requestsPerSecond;
            limit.organisation.burst = it.burst;
            limits.emplace(it.name, std::move(limit));
        }
    m_limits = std::move(limits);
    divide();
}

void AllowanceController::setGateways(const std::vector<RelayAddress>& others)
{
    std::vector<std::string> names { m_self };
    m_gateways.clear();
    for (const RelayAddress& it : others) {
        if (it.instance == m_self)
            continue;
        names.push_back(it.instance);
        m_gateways.emplace(it.instance, it.endpoint);
    }
    m_isListKnown = true;
    m_partitions.setGateways(names);
    m_rights.setGateways(names, m_clock.now());
    divide();
}

void AllowanceController::divide()
{
    for (Partition& it : m_states)
        it.hasShare = false;
    for (const auto& [name, limit] : m_limits) {
        Partition& partition = m_states[AllowancePartitions::of(name)];
        if (!partition.hasShare)
            partition.hasShare = !m_rights.ownShare(limit.organisation).isEmpty();
    }
    TimePoint now = m_clock.now();
    for (Partition& it : m_states)
        it.pool->update(now);
}

bool AllowanceController::isUsable(const std::string& gateway) const
{
    return gateway == m_self ? !m_isLeaving : m_gateways.contains(gateway) && !m_isCutOff(gateway);
}

/// Sends a message unless one is in flight. \returns false if there is no coordinator to send it to.
bool AllowanceController::startMessage(std::size_t n)
{
    Partition& partition = m_states[n];
    if (partition.lease->isInFlight())
        return true;
    auto message = partition.lease->begin(
        m_partitions.candidates(n), [this](const std::string& it) { return isUsable(it); }, m_clock.now());
    if (!message)
        return false;
    if (message->coordinator == m_self) {
        TimePoint now = m_clock.now();
        partition.lease->answered(partition.pool->answer(message->request, now), now);
        partition.changed.notifyAll();
        return true;
    }
    auto peer = m_gateways.find(message->coordinator);
    if (peer == m_gateways.end()) {
        // The present coordinator, to which rights are still delegated, is no longer listed.
        partition.lease->failed(m_clock.now());
        return false;
    }
    m_metrics.count("allowance_messages_total");
    spawnFiber([this, n, message = std::move(*message), endpoint = peer->second] { call(n, message, endpoint); });
    return true;
}

void AllowanceController::call(std::size_t n, const AllowanceLease::Message& message, const Endpoint& endpoint)
{
    Partition& partition = m_states[n];
    try {
        AllowanceAnswer answer = decodeAllowanceAnswer(m_call(endpoint, encodeAllowanceRequest(message.request), maxWait));
        partition.lease->answered(answer, m_clock.now());
    } catch (const Error& error) {
        partition.lease->failed(m_clock.now());
        m_metrics.count("allowance_message_failures_total");
        m_log.write(LogLine("peer-failed").field("peer", message.coordinator).field("call", peerpaths::lease).field("partition", n).field("reason", error.what()));
    }
    partition.changed.notifyAll();
}

std::string AllowanceController::handle(const std::string& body)
{
    AllowanceRequest request = decodeAllowanceRequest(body);
    if (request.partition >= m_states.size())
        throw InvalidInputError("partition", std::to_string(request.partition), "number of a partition");
    // Without a configuration or list the division is not known.
    if (!isActive())
        throw PeerUnavailableError("no allowances in force");
    return encodeAllowanceAnswer(m_states[request.partition].pool->answer(request, m_clock.now()));
}

void AllowanceController::leave()
{
    m_isLeaving = true;
    TimePoint now = m_clock.now();
    for (Partition& it : m_states) {
        it.pool->leave();
        it.lease->endDelegationTo(m_self, now);
    }
}

void AllowanceController::logOwnRights(std::size_t n)
{
    Partition& partition = m_states[n];
    bool usesOwn = partition.lease->usesOwnRights(m_clock.now());
    if (usesOwn == std::exchange(partition.usedOwnRights, usesOwn))
        return;
    m_log.write(LogLine("allowance-own-rights").field("partition", n).field("own", usesOwn));
}

void AllowanceController::sweep()
{
    TimePoint now = m_clock.now();
    if (now - m_sweptAt < sweepInterval)
        return;
    m_sweptAt = now;
    for (Partition& it : m_states) {
        it.pool->update(now);
        it.lease->sweep([this](const std::string& name) { return m_limits.contains(name); }, now);
    }
}

void AllowanceController::tick()
{
    if (!isActive())
        return;
    if (m_rights.update(m_clock.now()))
        divide();
    sweep();
    for (std::size_t n = 0; n < m_states.size(); ++n) {
        if (m_states[n].lease->wantsMessage(m_states[n].hasShare, m_clock.now()))
            startMessage(n);
        logOwnRights(n);
    }
}

Admission AllowanceController::counted(Admission admission)
{
    switch (admission.outcome) {
    case Admission::Outcome::Admitted:
        m_metrics.count("allowance_admitted_total");
        break;
    case Admission::Outcome::Refused:
        m_metrics.count("allowance_refused_total");
        break;
    case Admission::Outcome::Unknown:
        m_metrics.count("allowance_unknown_total");
        break;
    }
    return admission;
}

Admission AllowanceController::admit(const Organisation& organisation, TimePoint deadline)
{
    if (!organisation.isLimited())
        return {};
    if (!m_isListKnown)
        return counted({ Admission::Outcome::Unknown, unknownRetryAfter });
    std::size_t n = AllowancePartitions::of(organisation.name);
    Partition& partition = m_states[n];
    TimePoint now = m_clock.now();
    TimePoint end = std::min(deadline, now + maxWait);
    partition.lease->arrived(organisation.name, now);
    bool hasCoordinator = true;
    for (unsigned asks = 0;; now = m_clock.now()) {
        AllowanceLease::Result result = partition.lease->take(organisation, m_rights, now);
        if (result.outcome == AllowanceLease::Outcome::Admitted) {
            // In good time, so that later requests need not wait.
            if (partition.lease->wantsRefill(organisation.name, now))
                startMessage(n);
            return counted({ Admission::Outcome::Admitted, Milliseconds(0), result.validUntil });
        }
        if (result.outcome == AllowanceLease::Outcome::Refused)
            return counted({ Admission::Outcome::Refused, std::chrono::ceil<Milliseconds>(result.retryAt - now) });
        if (!hasCoordinator || asks == maxAsks || now >= end)
            return counted({ Admission::Outcome::Unknown, unknownRetryAfter });
        std::uint32_t& waiting = partition.waiting[organisation.name];
        partition.lease->setWaiting(organisation.name, ++waiting);
        bool wasInFlight = partition.lease->isInFlight();
        hasCoordinator = startMessage(n);
        // The answer to a message that was sent before this request arrived need not be about its organisation.
        asks += wasInFlight ? 0 : 1;
        if (partition.lease->isInFlight())
            partition.changed.waitFor(std::chrono::ceil<Milliseconds>(end - now));
        // The wait may have changed the map.
        std::uint32_t& left = partition.waiting[organisation.name];
        partition.lease->setWaiting(organisation.name, --left);
        if (left == 0)
            partition.waiting.erase(organisation.name);
    }
}

void AllowanceController::giveBack(const std::string& organisation, const Admission& admission)
{
    if (admission.validUntil)
        m_states[AllowancePartitions::of(organisation)].lease->giveBack(organisation, *admission.validUntil, m_clock.now());
}

} // namespace basilpoint
