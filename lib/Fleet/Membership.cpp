#include "basilpoint/Fleet/Membership.h"

#include "ChangeQueue.h"
#include "MemberTable.h"

#include <algorithm>
#include <bit>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace basilpoint {

/// A longer gap between two ticks means that this process was paused and heard nothing meanwhile.
static constexpr auto pauseThreshold = std::chrono::milliseconds(1'000);
/// Pause between two bursts.
static constexpr auto burstPause = std::chrono::milliseconds(200);
/// Bursts after each death or planned stop that is heard of.
static constexpr unsigned burstsPerChange = 2;
/// Members told in one burst.
static constexpr unsigned burstFanOut = 3;
/// Members called dead by others and alive by some that are probed in one tick.
static constexpr unsigned contradictionsPerTick = 8;
/// Suspected members probed again in one period, so that they can refute.
static constexpr unsigned suspectProbesPerPeriod = 4;
/// Times that a change is sent beyond once per doubling of the members.
static constexpr unsigned extraTransmissions = 3;
/// Suspicions that others report last longer, as the one who began has the better evidence.
static constexpr unsigned reportedSuspicionPercent = 150;
/// Suspicions of a daemon that hears nothing last longer by this factor.
static constexpr unsigned isolationFactor = 3;
/// Relays of indirect probes are forgotten after this.
static constexpr auto relayLifetime = std::chrono::seconds(5);

namespace {

    struct Probe {
        InstanceId target;
        TimePoint askOthersAt;
        TimePoint failsAt;
        bool askedOthers = false;
    };

    /// A probe made for another member.
    struct Relay {
        InstanceId asker;
        std::uint64_t askerSequence = 0;
        TimePoint expiresAt;
    };

} // namespace

struct Membership::Impl {
    Impl(MemberInfo own, const MembershipSettings& chosen, RandomEngine::result_type seed)
        : self(std::move(own))
        , settings(chosen)
        , random(seed)
    {
        changes.push(self.id);
    }

    const MemberInfo* find(const InstanceId& id) const
    {
        if (id == self.id)
            return &self;
        const auto* entry = table.find(id);
        return entry ? &entry->info : nullptr;
    }

    unsigned maxTransmissions() const { return extraTransmissions + static_cast<unsigned>(std::bit_width(table.liveCount())); }

    std::uint64_t viewHash() const { return table.viewHash() ^ viewHashOf(self); }

    /// Changes for \p to: what it must know of itself, then the latest news.
    std::vector<MemberInfo> changesFor(const InstanceId& to, bool withSelf)
    {
        auto taken = changes.take(settings.piggybackBytes, maxTransmissions(), [this](const InstanceId& id) { return find(id); });
        auto add = [&](const MemberInfo& member) {
            std::erase_if(taken, [&](const MemberInfo& it) { return it.id == member.id; });
            taken.insert(taken.begin(), member);
        };
        const auto* entry = table.find(to);
        if (entry && (entry->isDead() || entry->suspectUntil))
            add(claimFor(*entry));
        if (withSelf)
            add(self);
        return taken;
    }

    /// What is said of a member; a suspicion is said even of a member that leaves.
    static MemberInfo claimFor(const MemberTable::Entry& entry)
    {
        MemberInfo claim = entry.info;
        if (entry.suspectUntil)
            claim.state = MemberState::Suspect;
        return claim;
    }

    std::uint64_t ping(MembershipActions& actions, const InstanceId& to, const Endpoint& address, bool exchange)
    {
        std::uint64_t sequence = ++lastSequence;
        actions.emplace_back(SendMembershipAction { to, address, PingMessage { sequence, self.id, changesFor(to, true), exchange, viewHash() } });
        return sequence;
    }

    /// How long a member has to refute what \p claim says, counted from here on.
    Milliseconds suspicionFor(const MemberInfo& claim) const
    {
        // The member had its time elsewhere before it was called dead, and a refutation outdates the claim.
        if (claim.state == MemberState::Dead)
            return settings.suspicionTimeout / 2;
        return settings.suspicionTimeout * reportedSuspicionPercent / 100;
    }

    /// Merges a claim and reports what changed. \p passOn: whether others need to hear it from here.
    void learn(const MemberInfo& claim, bool passOn, MembershipActions& actions, TimePoint now)
    {
        if (claim.id == self.id) {
            refute(claim);
            return;
        }
        bool isNew = !table.find(claim.id);
        switch (table.merge(claim, suspicionFor(claim), now)) {
        case MergeResult::Unchanged:
            return;
        case MergeResult::Refreshed:
            if (passOn)
                changes.push(claim.id);
            return;
        case MergeResult::StateChanged:
            report(claim.id, actions);
            learnedChange(claim, isNew, passOn, now);
            return;
        case MergeResult::Contradicted:
            if (contradicted.insert(claim.id).second)
                contradictedOrder.push_back(claim.id);
            return;
        }
    }

    void learnedChange(const MemberInfo& claim, bool isNew, bool passOn, TimePoint now)
    {
        // A round lasts as many periods as there are members: too long to wait for the first probe.
        if (isNew)
            round.insert(round.begin() + static_cast<std::ptrdiff_t>(draw(round.size() + 1)), claim.id);
        if (!passOn)
            return;
        if (claim.state == MemberState::Alive && !isNew)
            spread(claim.id, claim.state, now);
        else
            spreadSoon(claim.id, claim.state, now);
    }

    void report(const InstanceId& id, MembershipActions& actions)
    {
        actions.emplace_back(MemberChangedAction { *find(id) });
    }

    /// Passes on that \p id is in \p state.
    void spread(const InstanceId& id, MemberState state, TimePoint now)
    {
        bool accusation = state == MemberState::Suspect || state == MemberState::Dead;
        // A daemon that hears nothing would accuse all others.
        if (accusation && isolated(now))
            return;
        changes.push(id);
    }

    /// Passes \p id on by bursts, as others are to act on it soon.
    void spreadSoon(const InstanceId& id, MemberState state, TimePoint now)
    {
        spread(id, state, now);
        if (state == MemberState::Suspect)
            return;
        urgent.insert(id);
        burstsPending = burstsPerChange;
    }

    void refute(const MemberInfo& claim)
    {
        bool accused = claim.state == MemberState::Suspect || claim.state == MemberState::Dead;
        if (!accused || claim.incarnation < self.incarnation)
            return;
        self.incarnation = claim.incarnation + 1;
        changes.push(self.id);
    }

    void handle(const PingMessage& message, MembershipActions& actions, TimePoint now)
    {
        const MemberInfo* sender = find(message.from);
        if (!sender)
            return;
        bool accused = std::any_of(message.changes.begin(), message.changes.end(), [this](const MemberInfo& it) { return it.id == self.id; });
        AckMessage ack { message.sequence, self.id, self.id, {}, message.exchange };
        ack.changes = message.exchange ? allMembers() : changesFor(message.from, accused);
        actions.emplace_back(SendMembershipAction { message.from, sender->peer, std::move(ack) });
        if (message.viewHash == viewHash())
            differsSince.reset();
        else if (!message.exchange)
            considerExchange(*sender, actions, now);
    }

    /// Asks for all members if the views have differed for some time.
    void considerExchange(const MemberInfo& sender, MembershipActions& actions, TimePoint now)
    {
        if (!differsSince)
            differsSince = now;
        // News may still be on their way.
        if (now < *differsSince + settings.exchangePause / 2 || now < lastExchange + settings.exchangePause)
            return;
        if (sender.state == MemberState::Dead)
            return;
        lastExchange = now;
        ping(actions, sender.id, sender.peer, true);
    }

    std::vector<MemberInfo> allMembers() const
    {
        std::vector<MemberInfo> members { self };
        for (const auto& [id, entry] : table.entries())
            members.push_back(claimFor(entry));
        return members;
    }

    void handle(const AckMessage& message, MembershipActions& actions, TimePoint now)
    {
        noticeReplacement(message, actions, now);
        auto relay = relays.find(message.sequence);
        if (relay != relays.end() && message.from == message.subject) {
            if (const MemberInfo* asker = find(relay->second.asker))
                actions.emplace_back(SendMembershipAction { asker->id, asker->peer, AckMessage { relay->second.askerSequence, self.id, message.subject, changesFor(asker->id, false) } });
            relays.erase(relay);
            return;
        }
        auto probe = probes.find(message.sequence);
        if (probe != probes.end() && probe->second.target == message.subject)
            probes.erase(probe);
    }

    /// Another daemon answered where a member was: the member's process is gone.
    void noticeReplacement(const AckMessage& message, MembershipActions& actions, TimePoint now)
    {
        auto probe = probes.find(message.sequence);
        if (probe == probes.end() || message.from != message.subject || message.from == probe->second.target)
            return;
        declareDead(probe->second.target, actions, now);
        probes.erase(probe);
    }

    void handle(const PingRequestMessage& message, MembershipActions& actions, TimePoint now)
    {
        const MemberInfo* subject = find(message.subject);
        if (!subject || !find(message.from))
            return;
        std::uint64_t sequence = ping(actions, subject->id, subject->peer, false);
        relays[sequence] = { message.from, message.sequence, now + relayLifetime };
    }

    void declareDead(const InstanceId& id, MembershipActions& actions, TimePoint now)
    {
        const auto* entry = table.find(id);
        if (!entry || entry->isDead())
            return;
        table.markDead(id, now);
        report(id, actions);
        spreadSoon(id, MemberState::Dead, now);
    }

    /// Whether nothing at all was heard lately: then it is this daemon that is cut off, not the others.
    bool isolated(TimePoint now) const { return table.liveCount() > 1 && now - lastReceived > settings.probePeriod * 2; }

    void suspect(const InstanceId& id, MembershipActions& actions, TimePoint now)
    {
        const auto* entry = table.find(id);
        if (!entry || entry->isDead() || entry->suspectUntil)
            return;
        MemberInfo claim = entry->info;
        claim.state = MemberState::Suspect;
        Milliseconds timeout = isolated(now) ? settings.suspicionTimeout * isolationFactor : settings.suspicionTimeout;
        table.merge(claim, timeout, now);
        ownSuspects.insert(id);
        report(id, actions);
        spread(id, MemberState::Suspect, now);
    }

    void runProbes(MembershipActions& actions, TimePoint now)
    {
        for (auto it = probes.begin(); it != probes.end();) {
            auto& [sequence, probe] = *it;
            if (!probe.askedOthers && now >= probe.askOthersAt)
                askOthers(sequence, probe, actions);
            if (now < probe.failsAt) {
                ++it;
                continue;
            }
            InstanceId target = probe.target;
            it = probes.erase(it);
            suspect(target, actions, now);
        }
    }

    void askOthers(std::uint64_t sequence, Probe& probe, MembershipActions& actions)
    {
        probe.askedOthers = true;
        for (const InstanceId& id : randomLive(settings.indirectProbes, probe.target))
            actions.emplace_back(SendMembershipAction { id, find(id)->peer, PingRequestMessage { sequence, self.id, probe.target, changesFor(id, true) } });
    }

    std::vector<InstanceId> randomLive(unsigned n, const InstanceId& except)
    {
        std::vector<InstanceId> ids;
        for (const auto& [id, entry] : table.entries()) {
            if (!entry.isDead() && id != except)
                ids.push_back(id);
        }
        std::vector<InstanceId> drawn;
        std::sample(ids.begin(), ids.end(), std::back_inserter(drawn), n, random);
        return drawn;
    }

    /// The next member in a random order that is drawn anew after each round, which bounds the time to detect.
    std::optional<InstanceId> nextTarget()
    {
        for (bool redrawn = false;;) {
            while (!round.empty()) {
                InstanceId id = round.back();
                round.pop_back();
                const auto* entry = table.find(id);
                if (entry && !entry->isDead())
                    return id;
            }
            if (redrawn)
                return {};
            redrawn = true;
            round = randomLive(static_cast<unsigned>(table.liveCount()), {});
            std::shuffle(round.begin(), round.end(), random);
        }
    }

    void probe(const InstanceId& id, MembershipActions& actions, TimePoint now)
    {
        std::uint64_t sequence = ping(actions, id, find(id)->peer, false);
        probes[sequence] = { id, now + settings.ackTimeout, now + settings.probePeriod };
    }

    void beginPeriod(MembershipActions& actions, TimePoint now)
    {
        if (auto id = nextTarget())
            probe(*id, actions, now);
        probeSuspects(actions, now);
        contactOne(actions);
        table.forgetDead(now - settings.deadRetention);
        std::erase_if(relays, [&](const auto& it) { return it.second.expiresAt < now; });
    }

    /// Tells own suspects of the suspicion, so that one lost message does not cost a member its place.
    void probeSuspects(MembershipActions& actions, TimePoint now)
    {
        std::erase_if(ownSuspects, [this](const InstanceId& id) {
            const auto* entry = table.find(id);
            return !entry || !entry->suspectUntil;
        });
        std::vector<InstanceId> chosen;
        std::sample(ownSuspects.begin(), ownSuspects.end(), std::back_inserter(chosen), suspectProbesPerPeriod, random);
        for (const InstanceId& id : chosen)
            probe(id, actions, now);
    }

    /// Tries one listed address where no member is known; else, less often, a dead member: after a
    /// partition nobody else would.
    void contactOne(MembershipActions& actions)
    {
        std::set<Endpoint> known { self.peer };
        std::vector<const MemberInfo*> dead;
        for (const auto& [id, entry] : table.entries()) {
            known.insert(entry.info.peer);
            if (entry.isDead())
                dead.push_back(&entry.info);
        }
        std::vector<Endpoint> unknown;
        std::set_difference(listedPeers.begin(), listedPeers.end(), known.begin(), known.end(), std::back_inserter(unknown));
        if (!unknown.empty()) {
            ping(actions, {}, unknown[draw(unknown.size())], true);
        } else if (!dead.empty() && ++periods % settings.contactPeriods == 0) {
            const MemberInfo& member = *dead[draw(dead.size())];
            ping(actions, member.id, member.peer, true);
        }
    }

    std::size_t draw(std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); }

    void probeContradicted(MembershipActions& actions)
    {
        for (unsigned n = 0; n < contradictionsPerTick && !contradictedOrder.empty(); ++n) {
            InstanceId id = contradictedOrder.front();
            contradictedOrder.pop_front();
            contradicted.erase(id);
            const auto* entry = table.find(id);
            if (entry && entry->isDead())
                ping(actions, id, entry->info.peer, false);
        }
    }

    void sendBurst(MembershipActions& actions, TimePoint now)
    {
        if (burstsPending == 0 || now < nextBurst)
            return;
        --burstsPending;
        nextBurst = now + burstPause;
        for (const InstanceId& id : randomLive(burstFanOut, {}))
            ping(actions, id, find(id)->peer, false);
        if (burstsPending > 0)
            return;
        // Bursts use up the transmissions at once; the few members that they miss need gossip as well.
        for (const InstanceId& id : urgent)
            changes.push(id);
        urgent.clear();
    }

    void noticeOwnPause(TimePoint now)
    {
        TimePoint::duration gap = lastTick ? now - *lastTick : TimePoint::duration::zero();
        lastTick = now;
        if (gap < pauseThreshold)
            return;
        table.postponeDeadlines(gap);
        probes.clear();
        lastReceived += gap;
    }

    void tick(MembershipActions& actions, TimePoint now)
    {
        noticeOwnPause(now);
        for (const InstanceId& id : table.expireSuspicions(now)) {
            report(id, actions);
            spreadSoon(id, MemberState::Dead, now);
        }
        runProbes(actions, now);
        probeContradicted(actions);
        sendBurst(actions, now);
        if (now < nextPeriod)
            return;
        nextPeriod = now + settings.probePeriod;
        beginPeriod(actions, now);
    }

    MemberInfo self;
    MembershipSettings settings;
    RandomEngine random;
    MemberTable table;
    ChangeQueue changes;
    std::uint64_t lastSequence = 0;
    std::map<std::uint64_t, Probe> probes;
    std::map<std::uint64_t, Relay> relays;
    std::vector<InstanceId> round;
    std::set<InstanceId> ownSuspects;
    /// Members that the next bursts are about.
    std::set<InstanceId> urgent;
    std::set<InstanceId> contradicted;
    std::deque<InstanceId> contradictedOrder;
    std::set<Endpoint> listedPeers;
    unsigned periods = 0;
    std::optional<TimePoint> lastTick;
    TimePoint lastReceived;
    /// Since when no other daemon had the same view.
    std::optional<TimePoint> differsSince;
    TimePoint lastExchange;
    TimePoint nextPeriod;
    TimePoint nextBurst;
    unsigned burstsPending = 0;
};

/// Whether \p message holds all members; the others come to know them in the same way.
static bool isExchange(const MembershipMessage& message)
{
    const auto* ack = std::get_if<AckMessage>(&message);
    return ack && ack->exchange;
}

Membership::Membership(MemberInfo self, MembershipSettings settings, RandomEngine::result_type seed)
    : m_impl(std::make_unique<Impl>(std::move(self), settings, seed))
{
}

Membership::~Membership() = default;

MembershipActions Membership::listed(const std::vector<Endpoint>& peers, TimePoint)
{
    // Addresses are tried one at a time by tick(); the first answer brings all members.
    m_impl->listedPeers = { peers.begin(), peers.end() };
    return {};
}

MembershipActions Membership::received(const MembershipMessage& message, TimePoint now)
{
    MembershipActions actions;
    m_impl->lastReceived = now;
    std::visit([&](const auto& it) {
        for (const MemberInfo& claim : it.changes)
            m_impl->learn(claim, !isExchange(message), actions, now);
        m_impl->handle(it, actions, now);
    },
        message);
    return actions;
}

MembershipActions Membership::tick(TimePoint now)
{
    MembershipActions actions;
    m_impl->tick(actions, now);
    return actions;
}

MembershipActions Membership::leave(TimePoint now)
{
    MembershipActions actions;
    MemberInfo& self = m_impl->self;
    if (self.state == MemberState::Leaving)
        return actions;
    self.state = MemberState::Leaving;
    ++self.incarnation;
    m_impl->report(self.id, actions);
    m_impl->spreadSoon(self.id, MemberState::Leaving, now);
    m_impl->sendBurst(actions, now);
    return actions;
}

std::vector<MemberInfo> Membership::members() const
{
    std::vector<MemberInfo> members { m_impl->self };
    for (const auto& [id, entry] : m_impl->table.entries())
        members.push_back(entry.info);
    return members;
}

const MemberInfo& Membership::self() const
{
    return m_impl->self;
}

} // namespace basilpoint
