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

/// A longer gap between two ticks means that this process was paused and received nothing in between.
static constexpr auto processPauseThreshold = std::chrono::milliseconds(1'000);
/// Members that get a message in one burst.
static constexpr unsigned burstFanOut = 3;
/// Suspected members probed again in one period, so that they can refute.
static constexpr unsigned suspectProbesPerPeriod = 4;
/// Transmissions of a change in addition to one per doubling of the number of members.
static constexpr unsigned extraTransmissions = 3;
/// Suspicions reported by others last longer, since the daemon whose own probe failed has better evidence.
static constexpr unsigned reportedSuspicionPercent = 150;
/// Factor by which suspicions last longer while this daemon receives nothing at all.
static constexpr unsigned isolationFactor = 3;
/// Indirect probes made for other members are forgotten after this.
static constexpr auto indirectProbeLifetime = std::chrono::seconds(5);

struct Membership::Impl {
    Impl(MemberInfo own, const MembershipSettings& initialSettings, RandomEngine::result_type seed)
        : self(std::move(own))
        , settings(initialSettings)
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

    /// Changes to piggyback on a message to \p to: this daemon's record if \p withSelf, a report that \p to itself is
    /// suspected or dead, so that it can refute it, and queued changes.
    std::vector<MemberInfo> changesFor(const InstanceId& to, bool withSelf)
    {
        auto taken = changes.take(settings.piggybackBytes, maxTransmissions(), [this](const InstanceId& id) { return find(id); });
        auto add = [&](const MemberInfo& member) {
            std::erase_if(taken, [&](const MemberInfo& it) { return it.id == member.id; });
            taken.insert(taken.begin(), member);
        };
        const auto* entry = table.find(to);
        if (entry && (entry->isDead() || entry->suspectUntil))
            add(reportedState(*entry));
        if (withSelf)
            add(self);
        return taken;
    }

    /// The record to report of a member. A suspected member is reported as suspect even if it is leaving.
    static MemberInfo reportedState(const MemberTable::Entry& entry)
    {
        MemberInfo update = entry.info;
        if (entry.suspectUntil)
            update.state = MemberState::Suspect;
        return update;
    }

    std::uint64_t ping(MembershipActions& actions, const InstanceId& to, const Endpoint& address, bool fullSync)
    {
        std::uint64_t sequence = ++lastSequence;
        actions.emplace_back(SendMembershipAction { to, address, PingMessage { sequence, self.id, changesFor(to, true), fullSync, viewHash() } });
        return sequence;
    }

    /// Time that a member has to refute \p update, counted from its receipt.
    Milliseconds suspicionFor(const MemberInfo& update) const
    {
        // Another daemon has already waited for a refutation before it reported the member dead, and a refutation
        // overrides the report.
        if (update.state == MemberState::Dead)
            return settings.suspicionTimeout / 2;
        return settings.suspicionTimeout * reportedSuspicionPercent / 100;
    }

    /// Merges an update and emits what changed. \p forward: whether to forward the change to other members.
    void applyUpdate(const MemberInfo& update, bool forward, MembershipActions& actions, TimePoint now)
    {
        if (update.id == self.id) {
            refute(update);
            return;
        }
        bool isNew = !table.find(update.id);
        switch (table.merge(update, suspicionFor(update), now)) {
        case MergeResult::Unchanged:
            return;
        case MergeResult::Refreshed:
            if (forward)
                changes.push(update.id);
            return;
        case MergeResult::StateChanged:
            reportChange(update.id, actions);
            queueStateChange(update, isNew, forward, now);
            return;
        case MergeResult::Contradicted:
            contacts.addContradicted(update.id);
            return;
        }
    }

    void queueStateChange(const MemberInfo& update, bool isNew, bool forward, TimePoint now)
    {
        if (isNew)
            round.add(update.id, random);
        bool urgent = isNew || update.state == MemberState::Leaving || update.state == MemberState::Dead;
        if (forward)
            queueChange(update.id, update.state, urgent, now);
    }

    void reportChange(const InstanceId& id, MembershipActions& actions)
    {
        actions.emplace_back(MemberChangedAction { *find(id) });
    }

    /// Queues the change of \p id to \p state for other members; \p urgent if they must act on it soon.
    void queueChange(const InstanceId& id, MemberState state, bool urgent, TimePoint now)
    {
        bool failureReport = state == MemberState::Suspect || state == MemberState::Dead;
        // A daemon that receives nothing would report all others as failed.
        if (failureReport && isolated(now))
            return;
        if (urgent)
            changes.pushUrgent(id);
        else
            changes.push(id);
    }

    void refute(const MemberInfo& update)
    {
        bool reportedFailed = update.state == MemberState::Suspect || update.state == MemberState::Dead;
        if (!reportedFailed || update.incarnation < self.incarnation)
            return;
        self.incarnation = update.incarnation + 1;
        changes.push(self.id);
    }

    void handle(const PingMessage& message, MembershipActions& actions, TimePoint now)
    {
        const MemberInfo* sender = find(message.from);
        if (!sender)
            return;
        bool mentionsSelf = std::any_of(message.changes.begin(), message.changes.end(), [this](const MemberInfo& it) { return it.id == self.id; });
        AckMessage ack { message.sequence, self.id, self.id, {}, message.fullSync };
        ack.changes = message.fullSync ? allMembers() : changesFor(message.from, mentionsSelf);
        actions.emplace_back(SendMembershipAction { message.from, sender->peer, std::move(ack) });
        if (message.viewHash == viewHash())
            viewDiffersSince.reset();
        else if (!message.fullSync)
            requestFullSync(*sender, actions, now);
    }

    /// Requests a full sync from \p sender if the views have differed for some time.
    void requestFullSync(const MemberInfo& sender, MembershipActions& actions, TimePoint now)
    {
        if (!viewDiffersSince)
            viewDiffersSince = now;
        // Gossip may still resolve a recent difference.
        if (now < *viewDiffersSince + settings.fullSyncInterval / 2 || now < lastFullSync + settings.fullSyncInterval)
            return;
        if (sender.state == MemberState::Dead)
            return;
        lastFullSync = now;
        ping(actions, sender.id, sender.peer, true);
    }

    std::vector<MemberInfo> allMembers() const
    {
        std::vector<MemberInfo> members { self };
        for (const auto& [id, entry] : table.entries())
            members.push_back(reportedState(entry));
        return members;
    }

    void handle(const AckMessage& message, MembershipActions& actions, TimePoint now)
    {
        if (const InstanceId* target = probes.target(message.sequence)) {
            bool replaced = message.from == message.subject && message.from != *target;
            // Another daemon replies from the target's address, so that the target's process has ended.
            if (replaced)
                declareDead(*target, actions, now);
            if (replaced || message.subject == *target)
                probes.erase(message.sequence);
            return;
        }
        if (message.from != message.subject)
            return;
        auto indirect = probes.takeIndirect(message.sequence);
        const MemberInfo* requester = indirect ? find(indirect->requester) : nullptr;
        if (requester)
            actions.emplace_back(SendMembershipAction { requester->id, requester->peer, AckMessage { indirect->requesterSequence, self.id, message.subject, changesFor(requester->id, false) } });
    }

    void handle(const PingRequestMessage& message, MembershipActions& actions, TimePoint now)
    {
        const MemberInfo* subject = find(message.subject);
        if (!subject || !find(message.from))
            return;
        std::uint64_t sequence = ping(actions, subject->id, subject->peer, false);
        probes.add(sequence, PendingProbes::IndirectProbe { message.from, message.sequence, now + indirectProbeLifetime });
    }

    void declareDead(const InstanceId& id, MembershipActions& actions, TimePoint now)
    {
        const auto* entry = table.find(id);
        if (!entry || entry->isDead())
            return;
        table.markDead(id, now);
        reportChange(id, actions);
        queueChange(id, MemberState::Dead, true, now);
    }

    /// Whether nothing at all was received lately, so that this daemon and not the others is probably disconnected.
    bool isolated(TimePoint now) const { return table.liveCount() > 1 && now - lastReceived > settings.probePeriod * 2; }

    void suspect(const InstanceId& id, MembershipActions& actions, TimePoint now)
    {
        const auto* entry = table.find(id);
        if (!entry || entry->isDead() || entry->suspectUntil)
            return;
        MemberInfo update = entry->info;
        update.state = MemberState::Suspect;
        Milliseconds timeout = isolated(now) ? settings.suspicionTimeout * isolationFactor : settings.suspicionTimeout;
        table.merge(update, timeout, now);
        locallySuspected.insert(id);
        reportChange(id, actions);
        queueChange(id, MemberState::Suspect, false, now);
    }

    void runProbes(MembershipActions& actions, TimePoint now)
    {
        PendingProbes::Due due = probes.takeDue(now);
        for (const auto& [sequence, target] : due.indirectProbesDue)
            requestIndirectProbes(sequence, target, actions);
        for (const InstanceId& id : due.failed)
            suspect(id, actions, now);
    }

    void requestIndirectProbes(std::uint64_t sequence, const InstanceId& target, MembershipActions& actions)
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
        contactUnreachable(actions);
        table.forgetDead(now - settings.deadRetention);
    }

    /// Pings some members that this daemon suspects. The ping carries the suspicion, so that they can refute it even if
    /// an earlier message was lost.
    void probeSuspects(MembershipActions& actions, TimePoint now)
    {
        std::erase_if(locallySuspected, [this](const InstanceId& id) {
            const auto* entry = table.find(id);
            return !entry || !entry->suspectUntil;
        });
        std::vector<InstanceId> sampled;
        std::sample(locallySuspected.begin(), locallySuspected.end(), std::back_inserter(sampled), suspectProbesPerPeriod, random);
        for (const InstanceId& id : sampled)
            probe(id, actions, now);
    }

    void contactUnreachable(MembershipActions& actions)
    {
        if (auto contact = contacts.next(table, self.peer, settings.deadContactPeriods, random))
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

    void handleProcessPause(TimePoint now)
    {
        TimePoint::duration gap = lastTick ? now - *lastTick : TimePoint::duration::zero();
        lastTick = now;
        if (gap < processPauseThreshold)
            return;
        table.extendSuspicions(gap);
        probes.dropDirect();
        lastReceived += gap;
    }

    void tick(MembershipActions& actions, TimePoint now)
    {
        handleProcessPause(now);
        for (const InstanceId& id : table.expireSuspicions(now)) {
            reportChange(id, actions);
            queueChange(id, MemberState::Dead, true, now);
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
    std::set<InstanceId> locallySuspected;
    ContactList contacts;
    std::optional<TimePoint> lastTick;
    TimePoint lastReceived;
    /// Since when no ping had the same view hash as this daemon.
    std::optional<TimePoint> viewDiffersSince;
    TimePoint lastFullSync;
    TimePoint nextPeriod;
};

/// Whether \p message contains all members. Its changes need not be forwarded, as others get them by full syncs too.
static bool isFullSync(const MembershipMessage& message)
{
    const auto* ack = std::get_if<AckMessage>(&message);
    return ack && ack->fullSync;
}

Membership::Membership(MemberInfo self, MembershipSettings settings, RandomEngine::result_type seed)
    : m_impl(std::make_unique<Impl>(std::move(self), settings, seed))
{
}

Membership::~Membership() = default;

MembershipActions Membership::setListedPeers(const std::vector<Endpoint>& peers, TimePoint)
{
    // tick() contacts one address at a time; the first reply contains all members.
    m_impl->contacts.setListed(peers);
    return {};
}

MembershipActions Membership::received(const MembershipMessage& message, TimePoint now)
{
    MembershipActions actions;
    m_impl->lastReceived = now;
    std::visit([&](const auto& it) {
        for (const MemberInfo& update : it.changes)
            m_impl->applyUpdate(update, !isFullSync(message), actions, now);
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
    m_impl->reportChange(self.id, actions);
    m_impl->queueChange(self.id, MemberState::Leaving, true, now);
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
