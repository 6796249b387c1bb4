#include "TurnJournalServer.h"

#include "PeerCall.h"
#include "TurnJournalClient.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Turns/Errors.h"
#include "basilpoint/Turns/TurnLedger.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace basilpoint {

static constexpr Milliseconds workInterval { 500 };
static constexpr Milliseconds synchronizeTimeout { 1'500 };
// Age at which the keeper stores an entry itself, in case the daemon that made it is gone.
static constexpr Milliseconds uploadAfter { 4'000 };
static constexpr std::uint64_t compactionThresholdBytes = 16 * 1024 * 1024;
static constexpr std::size_t uploadsPerInterval = 20;
// Puts in one upload, below the limit of a store call; most entries add two.
static constexpr std::size_t maxUploadPuts = 24;
static constexpr std::size_t putsPerEntryMargin = 6;

namespace {

    /// The journal has lost its disk and has not read the other journals yet, or it is retired.
    class JournalNotReadyError final : public Error {
    public:
        JournalNotReadyError()
            : Error({ "journal-not-ready", 503, Executed::No }, {})
        {
        }
    };

    /// State shared by a fiber and the disk thread whose writes it waits for.
    struct DiskWait {
        std::size_t pending = 0;
        std::exception_ptr failure;
        FiberSignal done;
    };

} // namespace

// Sync marks are off: on a disk that loses an unsynced write but keeps a later one, they make the log look damaged.
static RecordLogSettings settingsFor(const std::filesystem::path& folder)
{
    RecordLogSettings settings;
    settings.folder = folder / "turns";
    settings.markSyncedGroups = false;
    return settings;
}

TurnJournalServer::TurnJournalServer(boost::asio::io_context& io, PeerServer& server, HttpClient& client, const std::filesystem::path& folder, bool isFirstStart, StoreClient& store, StoreRelay& relay, const Clock& clock, JsonLog& log)
    : m_io(io)
    , m_client(client)
    , m_store(store)
    , m_relay(relay)
    , m_clock(clock)
    , m_log(log)
    , m_disk(settingsFor(folder))
{
    m_disk.load([this](std::string_view bytes) { m_journal.apply(decodeOperation(std::string(bytes))); });
    for (const auto& [name, entry] : m_journal.entries())
        m_firstSeenAt[name] = clock.now();
    m_log.write(LogLine("journal-loaded").field("entries", m_journal.size()).field("bytes", m_disk.bytes()).field("complete", m_journal.isSynchronized()).field("firstStart", isFirstStart));
    if (isFirstStart && !m_journal.isSynchronized()) {
        JournalOperation synchronized { JournalOperation::Kind::Synchronized };
        m_journal.apply(synchronized);
        m_disk.write(encodeOperation(synchronized), [](const std::exception_ptr&) {});
    }
    server.on(peerpaths::journalAppend, [this](const std::string& body) { return append(body); });
    server.on(peerpaths::journalFind, [this](const std::string& body) { return find(body); });
    server.on(peerpaths::journalGrants, [this](const std::string& body) { return grants(body); });
    server.on(peerpaths::journalOutstanding, [this](const std::string&) { return outstanding(); });
    server.on(peerpaths::journalDrop, [this](const std::string& body) {
        drop(decodeOperation(body).name);
        return std::string("dropped");
    });
    server.on(peerpaths::journalAll, [this](const std::string&) { return all(); });
}

void TurnJournalServer::setRelays(const std::vector<RelayAddress>& relays, unsigned maxMissing)
{
    m_otherKeepers = filterRelays(relays, true);
    m_maxMissing = maxMissing;
    m_areOtherKeepersKnown = true;
}

// Suspends until all operations are on disk, which takes few syncs, and applies them. Rethrows failures of the disk
// thread.
void TurnJournalServer::persist(const std::vector<JournalOperation>& operations)
{
    auto wait = std::make_shared<DiskWait>();
    wait->pending = operations.size();
    for (const JournalOperation& it : operations) {
        m_disk.write(encodeOperation(it), [this, wait](const std::exception_ptr& failure) {
            boost::asio::post(m_io, [wait, failure] {
                if (failure)
                    wait->failure = failure;
                --wait->pending;
                wait->done.notifyAll();
            });
        });
    }
    while (wait->pending > 0)
        wait->done.wait();
    if (wait->failure)
        std::rethrow_exception(wait->failure);
    for (const JournalOperation& it : operations)
        m_journal.apply(it);
}

std::string TurnJournalServer::append(const std::string& body)
{
    if (m_isRetired)
        throw JournalNotReadyError();
    persistEntries(decodeEntries(body));
    return "kept";
}

void TurnJournalServer::persistEntries(const std::vector<JournalEntry>& entries)
{
    std::vector<JournalOperation> operations;
    std::vector<const JournalEntry*> added;
    for (const JournalEntry& entry : entries) {
        // Duplicates are common, since a journal that lost its disk reads the others repeatedly until enough answer.
        if (m_journal.has({ entry.daemon, entry.step() }))
            continue;
        operations.push_back({ JournalOperation::Kind::Append, encodeEntry(entry) });
        added.push_back(&entry);
    }
    persist(operations);
    for (const JournalEntry* it : added) {
        m_firstSeenAt.emplace(EntryName { it->daemon, it->step() }, m_clock.now());
        m_log.write(LogLine("journal-append").field("program", it->program.text()).field("daemon", it->daemon.text()).field("step", it->step()).field("grant", isGrant(*it)));
    }
}

// A journal that has not read the others must not report entries as missing.
void TurnJournalServer::requireSynchronized() const
{
    if (!m_journal.isSynchronized())
        throw JournalNotReadyError();
}

std::string TurnJournalServer::grants(const std::string& body) const
{
    requireSynchronized();
    return encodeEntries(m_journal.grantsOf(ProgramId(body)));
}

std::string TurnJournalServer::find(const std::string& body) const
{
    requireSynchronized();
    return encodeEntries(m_journal.findTurn(CallId(body)));
}

std::string TurnJournalServer::outstanding()
{
    requireSynchronized();
    return encodePrograms(m_journal.outstandingPrograms());
}

void TurnJournalServer::drop(const EntryName& name)
{
    if (!m_journal.has(name))
        return;
    JournalOperation operation { JournalOperation::Kind::Drop, {}, name };
    m_journal.apply(operation);
    m_firstSeenAt.erase(name);
    // Not awaited: if a power failure loses the drop, the entry is found to be stored and is dropped again.
    m_disk.write(encodeOperation(operation), [](const std::exception_ptr&) {});
}

std::string TurnJournalServer::all() const
{
    requireSynchronized();
    return encodeEntries(m_journal.all());
}

// Adds all entries of \p keepers. \returns how many of them answered.
std::size_t TurnJournalServer::readFrom(const std::vector<RelayAddress>& keepers)
{
    std::size_t answers = 0;
    for (const RelayAddress& it : keepers) {
        try {
            persistEntries(decodeEntries(callPeer(m_client, it.endpoint, peerpaths::journalAll, {}, synchronizeTimeout)));
            ++answers;
        } catch (const Error& error) {
            m_log.write(LogLine("journal-not-read").field("keeper", it.instance).field("reason", error.what()));
        }
    }
    return answers;
}

// Restores the journal after its disk was lost. Every entry is on one more disk than may be lost, so all other keepers
// except up to m_maxMissing must answer.
bool TurnJournalServer::synchronize()
{
    if (!m_areOtherKeepersKnown)
        return false;
    std::vector<RelayAddress> others = m_otherKeepers;
    std::size_t answers = readFrom(others);
    if (answers + m_maxMissing < others.size())
        return false;
    persist({ { JournalOperation::Kind::Synchronized } });
    m_log.write(LogLine("journal-complete").field("entries", m_journal.size()).field("answers", answers).field("excused", m_maxMissing));
    return true;
}

bool TurnJournalServer::handOver()
{
    m_isRetired = true;
    std::vector<RelayAddress> others = m_otherKeepers;
    std::string entries = encodeEntries(m_journal.all());
    for (const RelayAddress& it : others) {
        try {
            callPeer(m_client, it.endpoint, peerpaths::journalAppend, entries, synchronizeTimeout);
        } catch (const Error& error) {
            m_log.write(LogLine("journal-not-handed-over").field("keeper", it.instance).field("reason", error.what()));
            return false;
        }
    }
    m_log.write(LogLine("journal-handed-over").field("entries", m_journal.size()).field("keepers", others.size()));
    return true;
}

bool TurnJournalServer::takeOverFrom(const std::string& gone)
{
    if (!m_journal.isSynchronized())
        return false;
    std::vector<RelayAddress> others = m_otherKeepers;
    std::erase_if(others, [&](const RelayAddress& it) { return it.instance == gone; });
    return readFrom(others) == others.size();
}

// Stores the changes that the account does not include yet. The entries belong to one program and are in order of their
// steps; those that do not fit into one call are stored in the next interval.
void TurnJournalServer::upload(const ProgramId& program, const std::vector<JournalEntry>& entries)
{
    std::string key = TurnLedger::accountKey(program);
    auto current = m_store.get(key);
    ProgramAccount account = current ? decodeAccount(current->value) : ProgramAccount {};
    KeyTransaction transaction;
    std::vector<EntryName> done;
    for (const JournalEntry& entry : entries) {
        if (transaction.puts.size() + putsPerEntryMargin > maxUploadPuts)
            break;
        for (const TurnRecord& it : applyEntry(account, entry)) {
            transaction.puts.push_back({ TurnLedger::turnKey(program, it.turn), encodeTurn(it) });
            transaction.puts.push_back({ TurnLedger::originKey(it.turn), program.text() });
        }
        done.push_back({ entry.daemon, entry.step() });
    }
    bool isStored = transaction.puts.empty();
    if (!isStored) {
        transaction.conditions.push_back({ key, current ? current->modRevision : 0 });
        transaction.puts.push_back({ key, encodeAccount(account) });
        isStored = m_relay.commit(transaction).revision.has_value();
    }
    m_log.write(LogLine("journal-upload").field("program", program.text()).field("entries", done.size()).field("turns", transaction.puts.size() / 2).field("done", isStored));
    if (!isStored)
        return;
    for (const JournalEntry& entry : entries)
        for (const AccountChange& it : entry.changes)
            if (it.grant != 0 && it.step <= account.holds[entry.daemon].step)
                persistEntries({ grantStoredEntry(program, entry.daemon, it.grant, it.keepUntil) });
    for (const EntryName& it : done)
        drop(it);
}

// Charges a grant whose daemon terminated during the turn, so that the number of tokens handed out is unknown. Until
// the grant expires, it counts in full towards the one turn by which grants may exceed the budget; a program that still
// runs then is charged in full.
void TurnJournalServer::charge(const JournalEntry& grant)
{
    const AccountChange& change = grant.changes.back();
    std::string key = TurnLedger::accountKey(grant.program);
    auto current = m_store.get(key);
    ProgramAccount account = current ? decodeAccount(current->value) : ProgramAccount {};
    if (account.keepUntil < m_clock.wallNow())
        return;
    // Each charged grant has a hold of its own, whose step tells whether another keeper has charged it already.
    DaemonHold& charged = account.holds[DaemonLifetime(grant.daemon.text() + "-grant" + std::to_string(change.step))];
    bool isStored = charged.step != 0;
    if (!isStored) {
        charged.step = change.step;
        account.spent += change.maxTokens;
        account.keepUntil = std::max(account.keepUntil, change.keepUntil);
        isStored = m_relay.commit({ { { key, current ? current->modRevision : 0 } }, { { key, encodeAccount(account) } }, {} }).revision.has_value();
    }
    m_log.write(LogLine("grant-charged").field("program", grant.program.text()).field("daemon", grant.daemon.text()).field("tokens", change.maxTokens).field("done", isStored));
    if (isStored)
        persistEntries({ grantStoredEntry(grant.program, grant.daemon, change.step, change.keepUntil) });
}

void TurnJournalServer::uploadOverdue()
{
    if (m_store.health().failingSince())
        return;
    std::map<ProgramId, std::vector<JournalEntry>> old;
    for (const auto& [name, entry] : m_journal.entries())
        if (!isGrant(entry) && m_clock.now() - m_firstSeenAt[name] >= uploadAfter)
            old[entry.program].push_back(entry);
    std::size_t n = 0;
    for (const auto& [program, entries] : old) {
        upload(program, entries);
        if (++n == uploadsPerInterval)
            return;
    }
    for (const JournalEntry& it : m_journal.openGrants())
        if (it.changes.back().keepUntil < m_clock.wallNow())
            charge(it);
    for (const EntryName& it : m_journal.expiredGrants(m_clock.wallNow()))
        drop(it);
}

void TurnJournalServer::compactIfLarge()
{
    if (m_disk.bytes() < compactionThresholdBytes)
        return;
    std::vector<std::string> snapshot;
    for (const JournalOperation& it : m_journal.snapshot())
        snapshot.push_back(encodeOperation(it));
    m_disk.compact(std::move(snapshot), [](const std::exception_ptr&) {});
}

void TurnJournalServer::run()
{
    for (;; sleepFiber(workInterval)) {
        try {
            if (!m_journal.isSynchronized())
                synchronize();
            uploadOverdue();
            compactIfLarge();
        } catch (const Error& error) {
            // The entries remain and are retried in the next interval.
            m_log.write(LogLine("journal-work-failed").field("reason", error.what()));
        }
    }
}

} // namespace basilpoint
