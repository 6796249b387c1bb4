#include "FleetController.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr Milliseconds tickInterval { 50 };
static constexpr Milliseconds reconcileInterval { 100 };
static constexpr Milliseconds peerListInterval { 2'000 };
static constexpr Milliseconds ownershipCheckInterval { 2'000 };
static constexpr Milliseconds holderCallTimeout { 1'500 };
static constexpr Milliseconds initialQuiesceLimit { 500 };
static constexpr Milliseconds maxQuiesceLimit { 60'000 };
static constexpr Milliseconds handOverMargin { 1'000 };

namespace {

    /// No living member runs the holder.
    class HolderUnknownError final : public Error {
    public:
        explicit HolderUnknownError(const HolderId& holder)
            : Error({ "holder-unknown", 503, Executed::No }, { { "holder", holder.text() } })
        {
        }
    };

} // namespace

FleetController::FleetController(const Clock& clock, MemberInfo self, RandomEngine::result_type seed, FleetSettings settings, HttpClient& client, KeyValueStore& store, ShardDriver& driver, ShardController& shards, JournalService& journal)
    : m_clock(clock)
    , m_settings(std::move(settings))
    , m_membership(std::move(self), m_settings.membership, seed)
    , m_client(client)
    , m_store(store)
    , m_driver(driver)
    , m_shards(shards)
    , m_journal(journal)
    , m_startedAt(clock.now())
{
}

void FleetController::start()
{
    spawnFiber([this] { tickLoop(); });
    spawnFiber([this] { reconcileLoop(); });
    if (!isSingleDaemon())
        spawnFiber([this] { peerListLoop(); });
}

void FleetController::received(const std::string& body)
{
    perform(m_membership.received(decodeMembershipMessage(body), m_clock.now()));
}

void FleetController::perform(const MembershipActions& actions)
{
    for (const MembershipAction& action : actions) {
        if (const auto* send = std::get_if<SendMembershipAction>(&action)) {
            m_links->send(send->address, PeerChannel::Membership, encodeMembershipMessage(send->message));
            continue;
        }
        const MemberInfo& member = std::get<MemberChangedAction>(action).member;
        spdlog::info("member {} is now in state {}", member.id.text(), static_cast<int>(member.state));
        m_membersChanged = true;
        if (member.state == MemberState::Dead && m_onMemberDead)
            m_onMemberDead(member.id);
    }
}

void FleetController::tickLoop()
{
    for (;;) {
        perform(m_membership.tick(m_clock.now()));
        sleepFiber(tickInterval);
    }
}

// The platform's list is out of date at times and may be unavailable; it only adds addresses to those in the settings.
std::vector<Endpoint> FleetController::listedPeers()
{
    std::vector<Endpoint> peers = m_settings.peers;
    if (!m_settings.platform)
        return peers;
    try {
        HttpResponse response = m_client.call(*m_settings.platform, { "GET", "/instances", {}, {} });
        Json list = Json::parse(response.body, nullptr, false);
        for (const Json& instance : list.is_object() ? list.value("live", Json::array()) : Json::array())
            peers.push_back(parseEndpoint("instance", instance.is_string() ? instance.get<std::string>() : instance.value("address", "")));
    } catch (const Error& error) {
        spdlog::warn("cannot read the platform's list of instances: {}", error.what());
    }
    return peers;
}

void FleetController::peerListLoop()
{
    for (;;) {
        perform(m_membership.setListedPeers(listedPeers(), m_clock.now()));
        sleepFiber(peerListInterval);
    }
}

void FleetController::reconcileLoop()
{
    for (;;) {
        reconcile();
        sleepFiber(reconcileInterval);
    }
}

void FleetController::reconcile()
{
    if (m_membersChanged) {
        m_membersChanged = false;
        m_members.clear();
        std::vector<InstanceId> others;
        for (const MemberInfo& member : m_membership.members()) {
            m_members[member.id] = member;
            if (member.id != m_membership.self().id && member.state != MemberState::Dead)
                others.push_back(member.id);
        }
        m_assignments = placeShards(m_membership.members(), m_settings.shardCount);
        if (m_onMembersChanged)
            m_onMembersChanged(others);
    }
    for (const auto& [shard, assignment] : m_assignments) {
        bool isAssignedHere = assignment.owner == m_membership.self().id;
        if (isAssignedHere && m_clock.now() - m_startedAt >= joinTime())
            claim(shard, assignment);
        if (!m_shards.owns(shard))
            continue;
        repairHolders(shard, assignment);
        if (isAssignedHere)
            m_checkAt.erase(shard);
        else
            checkOwnership(shard);
    }
}

// A starting daemon does not know all members yet. An owner that it does not know is considered dead only after
// the time within which a living one would have become known.
bool FleetController::isOwnerDead(const ShardRecord& record) const
{
    if (record.owner == m_membership.self().id)
        return true;
    const MemberInfo* owner = findMember(record.owner);
    if (owner)
        return owner->state == MemberState::Dead;
    return isSingleDaemon() || m_clock.now() - m_startedAt > m_settings.membership.suspicionTimeout + joinTime();
}

// Time within which daemons that start at the same time become known to each other.
Milliseconds FleetController::joinTime() const
{
    static constexpr int joinPeriods = 3;
    return isSingleDaemon() ? Milliseconds(0) : m_settings.membership.probePeriod * joinPeriods;
}

// An owner that was wrongly considered dead learns of its successor when its next append fails. An owner without
// requests does not append, so it reads the shard's record while the shard is assigned to another member.
void FleetController::checkOwnership(ShardId shard)
{
    TimePoint now = m_clock.now();
    auto [it, added] = m_checkAt.try_emplace(shard, now + ownershipCheckInterval);
    if (added || now < it->second)
        return;
    it->second = now + ownershipCheckInterval;
    spawnFiber([this, shard] {
        try {
            auto pair = m_store.get(shardRecordKey(shard));
            if (pair && decodeShardRecord(pair->value).owner != m_membership.self().id)
                m_driver.handOver(shard, initialQuiesceLimit);
        } catch (const Error& error) {
            spdlog::debug("shard {}: ownership check failed: {}", shard.value(), error.what());
        }
    });
}

// A journal in memory is lost with its instance. A member that is merely unknown does not count as dead.
std::set<HolderId> FleetController::lostHolders() const
{
    std::set<HolderId> lost;
    for (const auto& [id, member] : m_members) {
        if (member.state == MemberState::Dead && member.holder.text().starts_with(memoryHolderPrefix))
            lost.insert(member.holder);
    }
    return lost;
}

// Unless it is the only daemon of its fleet, a daemon never starts a shard with a single holder, even if it knows no
// other member yet.
void FleetController::claim(ShardId shard, const ShardAssignment& assignment)
{
    bool enoughHolders = isSingleDaemon() || assignment.holders.size() >= holdersPerShard;
    if (m_driver.state(shard) == ShardOwner::State::TakingOver)
        m_driver.takeOver(shard, assignment.holders, lostHolders());
    if (m_driver.active(shard) || m_claims.contains(shard) || !enoughHolders)
        return;
    m_claims[shard] = 1;
    spawnFiber([this, shard, holders = assignment.holders] {
        try {
            auto pair = m_store.get(shardRecordKey(shard));
            std::optional<ShardRecord> record;
            if (pair)
                record = decodeShardRecord(pair->value);
            bool isFree = !record || isOwnerDead(*record);
            const MemberInfo* owner = isFree ? nullptr : findMember(record->owner);
            // An owner that is not known yet is asked, or considered dead, in a later round.
            if (owner) {
                Milliseconds limit = std::min(initialQuiesceLimit * (1 << std::min(m_handOverAttempts[shard]++, 7U)), maxQuiesceLimit);
                Json request { { "shard", shard.value() }, { "limitMilliseconds", limit.count() } };
                isFree = m_links->call(owner->peer, PeerChannel::Ownership, request.dump(), limit + handOverMargin) == "1";
            }
            if (isFree) {
                m_handOverAttempts.erase(shard);
                m_driver.takeOver(shard, holders, lostHolders());
            }
        } catch (const Error& error) {
            spdlog::debug("shard {}: claim failed: {}", shard.value(), error.what());
            sleepFiber(reconcileInterval);
        }
        m_claims.erase(shard);
    });
}

std::string FleetController::handOver(const std::string& body)
{
    Json request = Json::parse(body, nullptr, false);
    if (!request.is_object())
        throw InvalidInputError("ownership request", body.substr(0, 80), "a JSON object");
    ShardId shard(request.value("shard", std::uint64_t(0)));
    Milliseconds limit(std::min(request.value("limitMilliseconds", std::int64_t(0)), maxQuiesceLimit.count()));
    auto it = m_assignments.find(shard);
    bool isAssignedHere = it != m_assignments.end() && it->second.owner == m_membership.self().id;
    if (isAssignedHere)
        return "0";
    return m_driver.handOver(shard, limit) ? "1" : "0";
}

void FleetController::repairHolders(ShardId shard, const ShardAssignment& assignment)
{
    if (m_driver.state(shard) != ShardOwner::State::Owning && m_driver.state(shard) != ShardOwner::State::Degraded)
        return;
    HolderSet holders = m_driver.holders(shard);
    for (const HolderId& holder : holders) {
        if (findHolder(holder))
            continue;
        auto replacement = std::find_if(assignment.holders.begin(), assignment.holders.end(), [&](const HolderId& it) { return std::find(holders.begin(), holders.end(), it) == holders.end(); });
        if (replacement != assignment.holders.end())
            m_driver.replaceHolder(shard, holder, *replacement);
        return;
    }
}

const MemberInfo* FleetController::findMember(const InstanceId& id) const
{
    auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

const MemberInfo* FleetController::findHolder(const HolderId& holder) const
{
    for (const auto& [id, member] : m_members) {
        if (member.holder == holder && member.state != MemberState::Dead)
            return &member;
    }
    return nullptr;
}

HolderReply FleetController::callHolder(const HolderId& holder, ShardId shard, const HolderRequest& request)
{
    if (holder == m_journal.holder())
        return m_journal.handle(shard, request);
    const MemberInfo* member = findHolder(holder);
    if (!member)
        throw HolderUnknownError(holder);
    return decodeHolderReply(m_links->call(member->peer, PeerChannel::Journal, encodeHolderRequest(shard, request), holderCallTimeout));
}

std::optional<MemberInfo> FleetController::coordinator(const std::string& name) const
{
    const MemberInfo* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto& [id, member] : m_members) {
        std::uint64_t weight = hash64(id.text(), hash64(name));
        if (member.state != MemberState::Alive || (best && weight <= bestWeight))
            continue;
        best = &member;
        bestWeight = weight;
    }
    if (!best || best->id == m_membership.self().id)
        return std::nullopt;
    return *best;
}

std::string FleetController::call(const MemberInfo& member, PeerChannel channel, const std::string& body, Milliseconds timeout)
{
    return m_links->call(member.peer, channel, body, timeout);
}

void FleetController::send(const InstanceId& to, PeerChannel channel, const std::string& body)
{
    if (const MemberInfo* member = findMember(to))
        m_links->send(member->peer, channel, body);
}

void FleetController::broadcast(PeerChannel channel, const std::string& body)
{
    for (const auto& [id, member] : m_members) {
        if (id != m_membership.self().id && member.state != MemberState::Dead)
            m_links->send(member.peer, channel, body);
    }
}

std::optional<ShardRoute> FleetController::route(ShardId shard) const
{
    auto it = m_assignments.find(shard);
    if (it == m_assignments.end())
        return std::nullopt;
    if (it->second.owner == m_membership.self().id)
        return ShardRoute { true, it->second.owner, {} };
    const MemberInfo* owner = findMember(it->second.owner);
    if (!owner)
        return std::nullopt;
    return ShardRoute { false, owner->id, owner->callers };
}

bool FleetController::ownsAssignedShards() const
{
    return std::all_of(m_assignments.begin(), m_assignments.end(), [&](const auto& it) { return it.second.owner != m_membership.self().id || m_shards.owns(it.first); }) && !m_assignments.empty();
}

void FleetController::leave(Milliseconds limit)
{
    if (isSingleDaemon())
        return;
    perform(m_membership.leave(m_clock.now()));
    TimePoint deadline = m_clock.now() + limit;
    while (!m_shards.owned().empty() && m_clock.now() < deadline)
        sleepFiber(reconcileInterval);
}

} // namespace basilpoint
