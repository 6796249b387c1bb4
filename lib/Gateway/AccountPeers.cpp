#include "AccountPeers.h"

#include "PeerCall.h"
#include "StoreCodec.h"

#include "basilpoint/Gateway/CommitTracker.h"
#include "basilpoint/Net/FiberRuntime.h"

namespace basilpoint {

static constexpr Milliseconds peerTimeout { 150 };
// Long enough for a usual commit; after that the turn that needs the tokens is refused.
static constexpr Milliseconds releaseTimeout { 150 };
static constexpr Milliseconds handoverTimeout { 500 };
// Not allowed in instance names.
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
    m_peers = filterRelays(relays, false);
    m_keepers = filterRelays(relays, true);
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

// A daemon keeps the accounts that it changes in memory. It knows all of its changes if it has no earlier lifetimes,
// if it has run for longer than records are kept, or if its last lifetime handed its accounts over. No changes are
// made while all daemons see the store fail.
bool AccountPeers::knowsAllChanges() const
{
    return m_hasCleanStart || m_clock.now() - m_startedAt > CommitTracker::longestRetention;
}

// An attestation is incomplete if the store still answers or an earlier lifetime may have made unknown changes.
std::string AccountPeers::attest(const std::string& program)
{
    return encodeAttestation(attestLocally(ProgramId(program)));
}

// Suspends until all have answered or failed. \returns how many answered.
std::size_t AccountPeers::ask(const std::vector<RelayAddress>& asked, const char* path, const std::string& body, Milliseconds timeout, const std::function<void(const RelayAddress&, const std::string&)>& onAnswer)
{
    struct Round {
        std::size_t pending = 0;
        std::size_t answered = 0;
        FiberSignal changed;
    } round;
    // Copied, since the list may be replaced meanwhile.
    std::vector<RelayAddress> peers = asked;
    round.pending = peers.size();
    for (const RelayAddress& peer : peers) {
        spawnFiber([&, peer] {
            try {
                onAnswer(peer, callPeer(m_client, peer.endpoint, path, body, timeout));
                ++round.answered;
            } catch (const Error& error) {
                m_log.write(LogLine("peer-failed").field("peer", peer.instance).field("call", path).field("reason", error.what()));
            }
            --round.pending;
            round.changed.notifyAll();
        });
    }
    while (round.pending > 0)
        round.changed.wait();
    return round.answered;
}

// The daemon that served the program before has its chain in memory. Records found this way are valid.
AccountPeers::Knowledge AccountPeers::read(const ProgramId& program)
{
    Knowledge known;
    // With many daemons, answering the others' requests would cost each as much as serving its callers. Grants are then
    // limited to one turn's tokens, and records are read from the keepers that committed them.
    if (m_store.hasManyDaemons())
        return known;
    std::size_t asked = m_peers.size();
    std::size_t complete = 0;
    std::size_t completeWithKeepers = 0;
    auto count = [&](const AccountAttestation& attestation, bool hasValidHandover) {
        known.addUnconfirmed(attestation);
        if (attestation.isComplete || hasValidHandover)
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
    count(attestLocally(program), false);
    known.isComplete = asked > 0 && complete == asked + 1;
    if (completeWithKeepers > 0 && complete + completeWithKeepers == asked + 1)
        known.isComplete = askKeepers(program, known);
    return known;
}

// For daemons that gave a binding attestation but do not know the changes of their earlier lifetimes. Those changes
// were committed by keepers; a daemon that has committed directly is excluded by the timestamp in its entry.
bool AccountPeers::askKeepers(const ProgramId& program, Knowledge& known)
{
    std::size_t asked = m_keepers.size();
    std::size_t complete = 0;
    ask(m_keepers, peerpaths::attestation, program.text(), peerTimeout, [&](const RelayAddress&, const std::string& answer) {
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
    m_mayAttest = start.mayAttest;
    if (!start.mayHaveAttested)
        m_outstandingGrants.noEarlierAttestations();
    m_log.write(LogLine("entered").field("cleanStart", start.isClean).field("bypassed", start.hasDirectCommit).field("mayHaveAttested", start.mayHaveAttested));
}

bool AccountPeers::setMayAttest(bool mayAttest)
{
    if (!mayAttest && !m_outstandingGrants.isResolved())
        return false;
    m_mayAttest = mayAttest;
    return true;
}

bool AccountPeers::handOver(const std::string& instance)
{
    if (m_store.hasManyDaemons())
        return false;
    Handover handover { instance, m_ledger.knownAccounts(m_clock.now()), knowsAllChanges() };
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
        auto outcome = m_writer.expect(*change);
        m_writer.startWrites();
        isReleased = m_writer.await(outcome, m_clock.now() + releaseTimeout, [] { return false; }) == ChangeOutcome::Stored;
    }
    m_log.write(LogLine("hold-release").field("program", program).field("held", change.has_value()).field("released", isReleased));
    return encodeRelease({ m_ledger.self(), isReleased });
}

// A running daemon releases what it does not need. The hold of a terminated daemon stays charged permanently; a turn that
// needs its tokens may take a grant instead, since a program's grants together may exceed the budget by one turn's tokens.
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
        else
            m_outstandingGrants.queryFailed(m_clock.now());
    });
}

// A binding attestation lets other daemons take grants, whose tokens this daemon must then leave in the budget.
AccountAttestation AccountPeers::attestLocally(const ProgramId& program)
{
    bool isBinding = m_hasEntered && m_mayAttest && !m_store.hasManyDaemons() && m_store.isFailing();
    if (isBinding)
        m_outstandingGrants.attestationGiven(m_clock.now());
    AccountAttestation attestation = m_ledger.attest(program, isBinding);
    attestation.isCompleteWithKeepers = attestation.isComplete && !m_hasDirectCommit;
    attestation.isComplete = attestation.isComplete && knowsAllChanges();
    attestation.hasNoChanges = !m_hasEntered;
    return attestation;
}

} // namespace basilpoint
