#include "basilpoint/Fleet/Membership.h"

#include "ChangeQueue.h"
#include "ContactList.h"
#include "MemberTable.h"
#include "PendingProbes.h"
#include "ProbeRound.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <set>

namespace basilpoint {

/// A longer gap between two ticks means that this process was paused and heard nothing meanwhile.
static constexpr auto pauseThreshold = std::chrono::milliseconds(1'000);
/// Members told in one burst.
static constexpr unsigned burstFanOut = 3;
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
            contacts.addContradicted(claim.id);
            return;
        }
    }

    void learnedChange(const MemberInfo& claim, bool isNew, bool passOn, TimePoint now)
    {
        if (isNew)
            round.add(claim.id, random);
        bool soon = isNew || claim.state == MemberState::Leaving || claim.state == MemberState::Dead;
        if (passOn)
            spread(claim.id, claim.state, soon, now);
    }

    void report(const InstanceId& id, MembershipActions& actions)
    {
        actions.emplace_back(MemberChangedAction { *find(id) });
    }

    /// Passes on that \p id is in \p state; soon if others are to act on it.
    void spread(const InstanceId& id, MemberState state, bool soon, TimePoint now)
    {
        bool accusation = state == MemberState::Suspect || state == MemberState::Dead;
        // A daemon that hears nothing would accuse all others.
        if (accusation && isolated(now))
            return;
        if (soon)
            changes.pushUrgent(id);
        else
            changes.push(id);
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
        if (const InstanceId* target = probes.target(message.sequence)) {
            bool replaced = message.from == message.subject && message.from != *target;
            // Another daemon answers where the target was: the target's process is gone.
            if (replaced)
                declareDead(*target, actions, now);
            if (replaced || message.subject == *target)
                probes.erase(message.sequence);
            return;
        }
        if (message.from != message.subject)
            return;
        auto relay = probes.takeRelay(message.sequence);
        const MemberInfo* asker = relay ? find(relay->asker) : nullptr;
        if (asker)
            actions.emplace_back(SendMembershipAction { asker->id, asker->peer, AckMessage { relay->askerSequence, self.id, message.subject, changesFor(asker->id, false) } });
    }

    void handle(const PingRequestMessage& message, MembershipActions& actions, TimePoint now)
    {
        const MemberInfo* subject = find(message.subject);
        if (!subject || !find(message.from))
            return;
        std::uint64_t sequence = ping(actions, subject->id, subject->peer, false);
        probes.add(sequence, PendingProbes::Relay { message.from, message.sequence, now + relayLifetime });
    }

    void declareDead(const InstanceId& id, MembershipActions& actions, TimePoint now)
    {
        const auto* entry = table.find(id);
        if (!entry || entry->isDead())
            return;
        table.markDead(id, now);
        report(id, actions);
        spread(id, MemberState::Dead, true, now);
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
        spread(id, MemberState::Suspect, false, now);
    }

    void runProbes(MembershipActions& actions, TimePoint now)
    {
        PendingProbes::Due due = probes.takeDue(now);
        for (const auto& [sequence, target] : due.toAskOthers)
            askOthers(sequence, target, actions);
        for (const InstanceId& id : due.failed)
            suspect(id, actions, now);
    }

    void askOthers(std::uint64_t sequence, const InstanceId& target, MembershipActions& actions)
    {
        for (const InstanceId& id : randomLive(settings.indirectProbes, target))
            actions.emplace_back(SendMembershipAction { id, find(id)->peer, PingRequestMessage { sequence, self.id, target, changesFor(id, true) } });
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

    void probe(const InstanceId& id, MembershipActions& actions, TimePoint now)
    {
        std::uint64_t sequence = ping(actions, id, find(id)->peer, false);
        probes.add(sequence, PendingProbes::Probe { id, now + settings.ackTimeout, now + settings.probePeriod });
    }

    void beginPeriod(MembershipActions& actions, TimePoint now)
    {
        if (auto id = round.next(table, random))
            probe(*id, actions, now);
        probeSuspects(actions, now);
        contactOne(actions);
        table.forgetDead(now - settings.deadRetention);
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

    void contactOne(MembershipActions& actions)
    {
        if (auto contact = contacts.next(table, self.peer, settings.contactPeriods, random))
            ping(actions, contact->id, contact->address, true);
    }

    void probeContradicted(MembershipActions& actions)
    {
        for (const InstanceId& id : contacts.takeContradicted()) {
            const auto* entry = table.find(id);
            if (entry && entry->isDead())
                ping(actions, id, entry->info.peer, false);
        }
    }

    void sendBurst(MembershipActions& actions, TimePoint now)
    {
        if (!changes.takeBurst(now))
            return;
        for (const InstanceId& id : randomLive(burstFanOut, {}))
            ping(actions, id, find(id)->peer, false);
    }

    void noticeOwnPause(TimePoint now)
    {
        TimePoint::duration gap = lastTick ? now - *lastTick : TimePoint::duration::zero();
        lastTick = now;
        if (gap < pauseThreshold)
            return;
        table.postponeDeadlines(gap);
        probes.dropOwn();
        lastReceived += gap;
    }

    void tick(MembershipActions& actions, TimePoint now)
    {
        noticeOwnPause(now);
        for (const InstanceId& id : table.expireSuspicions(now)) {
            report(id, actions);
            spread(id, MemberState::Dead, true, now);
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
    PendingProbes probes;
    ProbeRound round;
    std::set<InstanceId> ownSuspects;
    ContactList contacts;
    std::optional<TimePoint> lastTick;
    TimePoint lastReceived;
    /// Since when no other daemon had the same view.
    std::optional<TimePoint> differsSince;
    TimePoint lastExchange;
    TimePoint nextPeriod;
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

MembershipActions Membership::setListedPeers(const std::vector<Endpoint>& peers, TimePoint)
{
    // Addresses are tried one at a time by tick(); the first answer brings all members.
    m_impl->contacts.setListed(peers);
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
    m_impl->spread(self.id, MemberState::Leaving, true, now);
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
