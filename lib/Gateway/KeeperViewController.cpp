#include "KeeperViewController.h"

#include "PeerCall.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"

#include <cassert>
#include <utility>

namespace basilpoint {

static constexpr Milliseconds probeInterval { 1'000 };
static constexpr Milliseconds probeTimeout { 300 };
static constexpr Milliseconds installTimeout { 500 };
// Steps that follow each other without a pause; each change of the view has two.
static constexpr int maxSteps = 6;

KeeperViewController::KeeperViewController(StoreClient& store, PeerServer& server, HttpClient& peers, TurnJournalServer& journal, const RelayAddress& self, unsigned tolerated, std::string emptiedPrefix, RemoveHook removeDaemon, const Clock& clock, JsonLog& log)
    : m_store(store)
    , m_peers(peers)
    , m_journal(journal)
    , m_self(self)
    , m_tolerated(tolerated)
    , m_emptiedPrefix(std::move(emptiedPrefix))
    , m_removeDaemon(std::move(removeDaemon))
    , m_clock(clock)
    , m_log(log)
    , m_membership(self, tolerated)
{
    m_membership.setView(journal.view(), clock.now());
    journal.onView([this](const KeeperView& view) { viewInstalled(view); });
    server.on(peerpaths::keeperProbe, [this](const std::string& body) { return answerProbe(body); });
}

std::string KeeperViewController::answerProbe(const std::string& body)
{
    KeeperProbe probe = decodeProbe(body);
    if (probe.candidate)
        m_membership.standbySeen(*probe.candidate, m_clock.now());
    return encodeReport(m_membership.report(m_clock.now()), probe.version);
}

// Keepers that a change has removed leave the list of daemons too.
void KeeperViewController::viewInstalled(const KeeperView& next)
{
    for (const RelayAddress& it : view().previous)
        m_left.insert(it.instance);
    m_membership.setView(next, m_clock.now());
    for (const RelayAddress& it : next.all())
        m_left.erase(it.instance);
}

// Called in each round, since the store may fail.
void KeeperViewController::removeLeft()
{
    if (!m_membership.isFirstMember() || view().isJoint())
        return;
    for (const std::string& it : InstanceNames(m_left)) {
        if (m_removeDaemon(it))
            m_left.erase(it);
    }
}

bool KeeperViewController::isMember() const
{
    return namesOf(view().members).contains(m_self.instance);
}

void KeeperViewController::probeOne(const RelayAddress& keeper)
{
    try {
        bool isCandidate = !view().contains(m_self.instance) && !m_membership.isLeaving();
        KeeperProbe probe { view().version, isCandidate ? std::optional(m_self) : std::nullopt };
        KeeperReport report = decodeReport(callPeer(m_peers, keeper.endpoint, peerpaths::keeperProbe, encodeProbe(probe), probeTimeout));
        m_journal.install(report.view);
        m_membership.answered(keeper.instance, report, m_clock.now());
    } catch (const Error& error) {
        m_membership.failed(keeper.instance, m_clock.now());
        m_log.write(LogLine("peer-failed").field("peer", keeper.instance).field("call", peerpaths::keeperProbe).field("reason", error.what()));
    }
}

/// Calls \p call for each keeper in a fiber of its own and suspends until all have returned.
template <typename Call>
static void forEachKeeper(const std::vector<RelayAddress>& keepers, Call call)
{
    struct Round {
        std::size_t pending = 0;
        FiberSignal done;
    } round;
    round.pending = keepers.size();
    for (const RelayAddress& keeper : keepers) {
        spawnFiber([&, keeper] {
            call(keeper);
            --round.pending;
            round.done.notifyAll();
        });
    }
    while (round.pending > 0)
        round.done.wait();
}

void KeeperViewController::probe()
{
    std::vector<RelayAddress> others = view().all();
    std::erase_if(others, [&](const RelayAddress& it) { return it.instance == m_self.instance; });
    forEachKeeper(others, [&](const RelayAddress& it) { probeOne(it); });
}

// \returns whether the installed view is the one in the store.
bool KeeperViewController::readView()
{
    auto current = m_store.get(KeeperView::key);
    m_revision = current ? current->modRevision : 0;
    KeeperView stored = current ? decodeView(current->value) : KeeperView {};
    m_journal.startFrom(stored);
    return stored.version == view().version;
}

// A standby must not join once its instance has been reported to be empty. \returns whether the next step may follow at
// once; if another keeper has changed the view meanwhile, that step is a different one.
bool KeeperViewController::begin(const KeeperView& next)
{
    std::uint64_t before = view().version;
    if (!readView() || view().version != before)
        return true;
    KeyTransaction transaction { { { KeeperView::key, m_revision } }, { { KeeperView::key, encodeView(next) } }, {} };
    for (const RelayAddress& it : next.members)
        if (!view().contains(it.instance))
            transaction.conditions.push_back({ m_emptiedPrefix + it.instance, 0 });
    bool isWritten = m_store.commit(transaction).revision.has_value();
    m_log.write(LogLine("keepers-change").field("version", next.version).field("members", next.members.size()).field("previous", next.previous.size()).field("begun", isWritten));
    if (isWritten)
        m_journal.install(next);
    return true;
}

// \returns the keepers that have installed the view.
InstanceNames KeeperViewController::install(const KeeperView& view, const std::vector<RelayAddress>& keepers)
{
    InstanceNames installed;
    std::string body = encodeView(view);
    forEachKeeper(keepers, [&](const RelayAddress& it) {
        try {
            bool isSelf = it.instance == m_self.instance;
            if (isSelf)
                m_journal.install(view);
            // Another program may have the address now and answer that it does not know the call.
            if (isSelf || !callPeer(m_peers, it.endpoint, peerpaths::keeperInstall, body, installTimeout).empty())
                installed.insert(it.instance);
        } catch (const Error& error) {
            m_log.write(LogLine("peer-failed").field("peer", it.instance).field("call", peerpaths::keeperInstall).field("reason", error.what()));
        }
    });
    return installed;
}

bool KeeperViewController::complete()
{
    KeeperView joint = view();
    if (!readView() || view() != joint)
        return true;
    InstanceNames gone = m_membership.gone(m_clock.now());
    InstanceNames installed = install(joint, joint.all());
    InstanceNames sealed = m_membership.assumedSealed(m_clock.now());
    sealed.insert(installed.begin(), installed.end());
    bool isTransferred = isSealed(joint, sealed, m_tolerated) && m_journal.transfer(joint, installed, gone);
    if (!isTransferred) {
        m_log.write(LogLine("keepers-change-pending").field("version", joint.version).field("installed", installed.size()).field("gone", gone.size()));
        return false;
    }
    KeeperView next = completeChange(joint);
    bool isWritten = m_store.commit({ { { KeeperView::key, m_revision } }, { { KeeperView::key, encodeView(next) } }, {} }).revision.has_value();
    m_log.write(LogLine("keepers-changed").field("version", next.version).field("members", next.members.size()).field("completed", isWritten));
    if (isWritten)
        install(next, joint.all());
    return true;
}

// \returns whether the next step may follow at once.
bool KeeperViewController::step()
{
    KeeperMembership::Step step = m_membership.next(m_clock.now());
    switch (step.action) {
    case KeeperMembership::Action::None:
        return false;
    case KeeperMembership::Action::Begin:
        return begin(step.next);
    case KeeperMembership::Action::Complete:
        return complete();
    }
    assert(false && "unhandled enumerator");
    return false;
}

// The journals still answer with fewer members, but turns can only be kept in them while a write quorum remains.
void KeeperViewController::logShortage()
{
    bool isShort = view().members.size() <= m_tolerated;
    if (std::exchange(m_isShort, isShort) != isShort)
        m_log.write(LogLine("keepers-short").field("short", isShort).field("members", view().members.size()).field("tolerated", m_tolerated));
}

void KeeperViewController::run()
{
    bool mayCreate = false;
    for (;; sleepFiber(probeInterval)) {
        try {
            if (view().version == 0 && !mayCreate) {
                readView();
                // Without a view in the store, a complete journal begins the first one.
                mayCreate = m_journal.isSynchronized();
            }
            if (view().version == 0 && !mayCreate)
                continue;
            probe();
            for (int n = 0; n < maxSteps && step(); ++n)
                probe();
            logShortage();
            removeLeft();
        } catch (const Error& error) {
            // Retried after the interval.
            m_log.write(LogLine("keepers-change-failed").field("version", view().version).field("reason", error.what()));
        }
    }
}

} // namespace basilpoint
