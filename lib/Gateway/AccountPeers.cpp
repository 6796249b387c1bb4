#include "AccountPeers.h"

#include "PeerCall.h"
#include "StoreCodec.h"

#include "basilpoint/Gateway/CommitTracker.h"
#include "basilpoint/Net/FiberRuntime.h"

namespace basilpoint {

static constexpr Milliseconds peerTimeout { 150 };
// A hold is given back within a commit's usual time, or the turn is refused.
static constexpr Milliseconds releaseTimeout { 150 };
static constexpr Milliseconds handoverTimeout { 500 };
// Stands in no instance's name.
static constexpr char lifetimeSeparator = '~';

AccountPeers::AccountPeers(StoreClient& store, TurnLedger& ledger, LedgerWriter& writer, TurnJournalClient& journal, HttpClient& client, bool isFirstStart, const Clock& clock, JsonLog& log)
    : m_store(store)
    , m_ledger(ledger)
    , m_writer(writer)
    , m_journal(journal)
    , m_client(client)
    , m_hasCleanStart(isFirstStart)
    , m_startedAt(clock.now())
    , m_outstandingGrants(!isFirstStart, clock.now())
    , m_clock(clock)
    , m_log(log)
{
}

void AccountPeers::setRelays(const std::vector<RelayAddress>& relays)
{
    m_peers = relaysWith(relays, false);
    m_keepers = relaysWith(relays, true);
}

DaemonLifetime lifetimeOf(const std::string& instance, const std::string& unique)
{
    return DaemonLifetime(instance + lifetimeSeparator + unique);
}

std::vector<RelayAddress> peersOf(const std::map<DaemonLifetime, TokenCount>& holders, const std::vector<RelayAddress>& peers)
{
    std::vector<RelayAddress> found;
    for (const RelayAddress& peer : peers) {
        auto it = holders.lower_bound(lifetimeOf(peer.instance, {}));
        if (it != holders.end() && it->first.text().starts_with(peer.instance + lifetimeSeparator))
            found.push_back(peer);
    }
    return found;
}

// A program's account lives in the daemons' memory as long as they do. One that runs for longer than records are
// kept, or whose last lifetime handed over what it knew, misses no change of its own; and none is made while all
// see the store fail.
bool AccountPeers::knowsAllChanges() const
{
    return m_hasCleanStart || m_clock.now() - m_startedAt > CommitTracker::longestRetention;
}

// A word that is given while the store still answers, or by a daemon that may have missed changes, is not complete.
std::string AccountPeers::attest(const std::string& program)
{
    return encodeAttestation(attestOwn(ProgramId(program)));
}

// Suspends until all have answered or failed. \returns how many answered.
std::size_t AccountPeers::ask(const std::vector<RelayAddress>& asked, const char* path, const std::string& body, Milliseconds limit, const std::function<void(const RelayAddress&, const std::string&)>& onAnswer)
{
    struct Round {
        std::size_t open = 0;
        std::size_t answered = 0;
        FiberSignal changed;
    } round;
    // Copied, since the list may be replaced meanwhile.
    std::vector<RelayAddress> peers = asked;
    round.open = peers.size();
    for (const RelayAddress& peer : peers) {
        spawnFiber([&, peer] {
            try {
                onAnswer(peer, callPeer(m_client, peer.endpoint, path, body, limit));
                ++round.answered;
            } catch (const Error& error) {
                m_log.write(LogLine("peer-failed").field("peer", peer.instance).field("call", path).field("reason", error.what()));
            }
            --round.open;
            round.changed.notifyAll();
        });
    }
    while (round.open > 0)
        round.changed.wait();
    return round.answered;
}

// The daemon that served a program before has its chain in memory. What is found is certain.
AccountPeers::Knowledge AccountPeers::read(const ProgramId& program)
{
    Knowledge known;
    // A question to all costs each of many daemons as much as all of its own callers do; grants then stay within one
    // turn's most, and keepers remember what was committed.
    if (m_store.areMany())
        return known;
    std::size_t asked = m_peers.size();
    std::size_t complete = 0;
    std::size_t completeWithKeepers = 0;
    auto count = [&](const AccountAttestation& attestation, bool isCovered) {
        known.addUnconfirmed(attestation);
        if (attestation.isComplete || isCovered)
            ++complete;
        else
            completeWithKeepers += attestation.isCompleteWithKeepers ? 1 : 0;
    };
    ask(m_peers, peerpaths::programRecords, program.text(), peerTimeout, [&](const RelayAddress& peer, const std::string& answer) {
        AccountAttestation attestation = decodeAttestation(answer);
        count(attestation, attestation.hasNoChanges && m_handovers.isValid(peer.instance, m_clock.now()));
        known.anyFound = known.anyFound || !attestation.records.empty();
        if (!attestation.records.empty())
            m_ledger.recordsRead(program, attestation.records);
    });
    count(attestOwn(program), false);
    known.isComplete = asked > 0 && complete == asked + 1;
    if (completeWithKeepers > 0 && complete + completeWithKeepers == asked + 1)
        known.isComplete = askKeepers(program, known);
    return known;
}

// Daemons that have bound themselves, but may have changed in an earlier lifetime what nobody else knows, did so by
// the keepers or have marked it.
bool AccountPeers::askKeepers(const ProgramId& program, Knowledge& known)
{
    std::size_t asked = m_keepers.size();
    std::size_t complete = 0;
    ask(m_keepers, peerpaths::testimony, program.text(), peerTimeout, [&](const RelayAddress&, const std::string& answer) {
        AccountAttestation attestation = decodeAttestation(answer);
        complete += attestation.isComplete ? 1 : 0;
        known.addUnconfirmed(attestation);
        if (!attestation.records.empty())
            m_ledger.recordsRead(program, attestation.records);
    });
    m_log.write(LogLine("keepers-testify").field("program", program.text()).field("asked", asked).field("complete", complete).field("claimed", known.unconfirmedTokens));
    return asked > 0 && complete == asked;
}

void AccountPeers::entered(const RelayDirectory::Start& start)
{
    m_hasEntered = true;
    m_hasCleanStart = m_hasCleanStart || start.isClean;
    m_hasDirectCommit = start.hasDirectCommit;
    m_log.write(LogLine("entered").field("cleanStart", start.isClean).field("bypassed", start.hasDirectCommit));
}

bool AccountPeers::handOver(const std::string& instance)
{
    if (m_store.areMany())
        return false;
    Handover handover { instance, m_ledger.knownAccounts(m_clock.wallNow()), knowsAllChanges() };
    std::size_t asked = m_peers.size();
    std::size_t taken = ask(m_peers, peerpaths::handOver, encodeHandover(handover), handoverTimeout, [](const RelayAddress&, const std::string&) {});
    m_log.write(LogLine("handed-over").field("accounts", handover.accounts.size()).field("taken", taken).field("asked", asked).field("seenAll", knowsAllChanges()));
    return knowsAllChanges() && taken == asked;
}

std::string AccountPeers::acceptHandover(const std::string& body)
{
    Handover handover = decodeHandover(body);
    for (const KnownAccount& it : handover.accounts)
        m_ledger.recordsRead(it.program, { it.record });
    if (handover.knowsAllChanges)
        m_handovers.record(handover.daemon, m_clock.now());
    return "taken";
}

std::string AccountPeers::releaseHold(const std::string& program)
{
    auto change = m_ledger.releaseHold(ProgramId(program));
    bool isReleased = false;
    if (change) {
        m_writer.expect(*change);
        m_writer.startWrites();
        isReleased = m_writer.await(*change, m_clock.now() + releaseTimeout, [] { return false; }) == ChangeOutcome::Stored;
        m_writer.forget(*change);
    }
    m_log.write(LogLine("hold-release").field("program", program).field("held", change.has_value()).field("released", isReleased));
    return encodeRelease({ m_ledger.self(), isReleased });
}

// A dead daemon's hold stays charged for good. The room for one turn beyond the budget, which grants of an outage
// have in common, makes up for it; a living daemon gives back what it does not need.
AccountPeers::HoldersAnswer AccountPeers::askHolders(const ProgramId& program, std::map<DaemonLifetime, TokenCount> holders)
{
    HoldersAnswer result;
    std::size_t answers = ask(peersOf(holders, m_peers), peerpaths::releaseHold, program.text(), 2 * releaseTimeout, [&](const RelayAddress&, const std::string& answer) {
        HoldRelease release = decodeRelease(answer);
        result.anyReleased = result.anyReleased || release.isReleased;
        holders.erase(release.daemon);
    });
    for (const auto& [daemon, tokens] : holders)
        result.unansweredTokens += tokens;
    m_log.write(LogLine("holders-asked").field("program", program.text()).field("answers", answers).field("released", result.anyReleased).field("deadTokens", result.unansweredTokens));
    return result;
}

void AccountPeers::refreshOutstandingGrants()
{
    if (m_store.isFailing() || m_isQueryingGrants || !m_outstandingGrants.needsQuery(m_clock.now()))
        return;
    m_isQueryingGrants = true;
    spawnFiber([this] {
        TimePoint askedAt = m_clock.now();
        auto programs = m_journal.outstandingPrograms(askedAt + peerTimeout);
        m_isQueryingGrants = false;
        m_log.write(LogLine("grants-named").field("known", programs.has_value()).field("programs", programs ? programs->size() : 0));
        if (programs)
            m_outstandingGrants.setPrograms(std::move(*programs), askedAt);
    });
}

// A binding word lets others grant what this daemon then must leave untouched.
AccountAttestation AccountPeers::attestOwn(const ProgramId& program)
{
    bool isBinding = m_hasEntered && m_store.isFailing();
    if (isBinding)
        m_outstandingGrants.attestationGiven(m_clock.now());
    AccountAttestation attestation = m_ledger.attest(program, isBinding);
    attestation.isCompleteWithKeepers = attestation.isComplete && !m_hasDirectCommit;
    attestation.isComplete = attestation.isComplete && knowsAllChanges();
    attestation.hasNoChanges = !m_hasEntered;
    return attestation;
}

} // namespace basilpoint
