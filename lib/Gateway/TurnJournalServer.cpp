#include "TurnJournalServer.h"

#include "PeerCall.h"
#include "TurnJournalClient.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Turns/Errors.h"
#include "basilpoint/Turns/TurnLedger.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace basilpoint {

static constexpr Milliseconds workInterval { 500 };
static constexpr Milliseconds synchronizeTimeout { 1'500 };
// Age at which the keeper stores an entry itself, in case the daemon that made it is gone.
static constexpr Milliseconds uploadAfter { 4'000 };
// Far below the limit of a message between daemons.
static constexpr std::size_t maxTransferBytes = 1024 * 1024;
// Selects the entries that a change of the view moves to other keepers; no instance has an empty name.
static const std::string movedEntries;
static constexpr std::uint64_t minCompactionBytes = 16 * 1024 * 1024;
static constexpr std::size_t uploadsPerInterval = 20;
// Longer than a daemon relies on an account that it has read, so that grants which that account lacks are still known.
static constexpr std::chrono::minutes grantRetention { 10 };
// Puts of turns in one upload, below the limit of a store call, which also has a condition and the account.
static constexpr std::size_t maxUploadPuts = 24;
// Bytes of turns in one upload, unless it has a single one.
static constexpr std::size_t maxUploadBytes = 1024 * 1024;

namespace {

    /// The journal does not have all entries yet, or its keeper is no member of the view.
    class JournalNotReadyError final : public Error {
    public:
        JournalNotReadyError()
            : Error({ "journal-not-ready", 503, Executed::No }, {})
        {
        }
    };

    /// Outcome of a write, which a fiber waits for.
    struct DiskWait {
        bool isDone = false;
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

TurnJournalServer::TurnJournalServer(boost::asio::io_context& io, PeerServer& server, HttpClient& client, const JournalSettings& settings, StoreClient& store, StoreRelay& relay, const Clock& clock, JsonLog& log)
    : m_io(io)
    , m_client(client)
    , m_store(store)
    , m_relay(relay)
    , m_clock(clock)
    , m_log(log)
    , m_journal(settingsFor(settings.folder), [&io](std::function<void()> function) { boost::asio::post(io, std::move(function)); })
    , m_self(settings.instance)
    , m_tolerated(settings.tolerated)
{
    m_journal.onCompaction([this](const std::exception_ptr& failure) { logCompaction(failure); });
    for (const auto& [name, entry] : m_journal.state().entries())
        m_firstSeenAt[name] = clock.now();
    if (!m_journal.state().view().empty()) {
        m_view = decodeView(m_journal.state().view());
        m_versionOnDisk = m_view.version;
        m_isViewKnown = true;
    }
    m_log.write(LogLine("journal-loaded").field("entries", entries()).field("bytes", m_journal.bytes()).field("complete", isSynchronized()).field("firstStart", settings.isFirstStart).field("version", m_view.version));
    if (settings.isFirstStart && !isSynchronized())
        m_journal.applyAtOnce({ JournalOperation::Kind::Synchronized });
    auto onCurrentView = [&](const char* path, std::string (TurnJournalServer::*handler)(const std::string&)) {
        server.on(path, [this, handler](const std::string& bytes) { return serve(bytes, [&](const std::string& body) { return (this->*handler)(body); }); });
    };
    onCurrentView(peerpaths::journalAppend, &TurnJournalServer::append);
    onCurrentView(peerpaths::journalGrant, &TurnJournalServer::appendGrant);
    onCurrentView(peerpaths::journalFind, &TurnJournalServer::find);
    onCurrentView(peerpaths::journalGrants, &TurnJournalServer::grants);
    onCurrentView(peerpaths::journalOutstanding, &TurnJournalServer::outstanding);
    server.on(peerpaths::journalDrop, [this](const std::string& body) {
        drop(decodeOperation(decodeRequest(body).body).name);
        return encodeAnswer({ std::nullopt, false, "dropped" });
    });
    server.on(peerpaths::journalAll, [this](const std::string& selection) { return contents(selection); });
    server.on(peerpaths::journalTransfer, [this](const std::string& body) { return acceptTransfer(body); });
    server.on(peerpaths::keeperInstall, [this](const std::string& body) {
        install(decodeView(body));
        if (!m_isViewKnown)
            throw JournalNotReadyError();
        return std::string("installed");
    });
}

void TurnJournalServer::startFrom(const KeeperView& stored)
{
    m_isViewKnown = true;
    install(stored);
}

// A keeper receives nothing more of programs that it does not keep, so it forgets the entries of those. Suspends until
// the view is on disk, also if another call is writing it, since a power loss would undo a view that is not.
void TurnJournalServer::install(const KeeperView& view)
{
    if (!m_isViewKnown)
        return;
    if (view.version > m_view.version) {
        m_view = view;
        m_log.write(LogLine("keepers-view").field("version", view.version).field("members", view.members.size()).field("previous", view.previous.size()).field("tolerated", m_tolerated).field("member", namesOf(view.members).contains(m_self)));
        if (m_onView)
            m_onView(view);
    }
    ensureOnDisk(view.version);
}

void TurnJournalServer::ensureOnDisk(std::uint64_t version)
{
    while (m_versionOnDisk < version) {
        if (m_isWritingView)
            m_viewWritten.wait();
        else
            writeView();
    }
}

bool TurnJournalServer::keeps(const KeeperView& view, const ProgramId& program) const
{
    return view.keeps(m_self, program, m_tolerated);
}

void TurnJournalServer::writeView()
{
    KeeperView view = m_view;
    bool isJoining = view.isJoint() && namesOf(view.members).contains(m_self) && !namesOf(view.previous).contains(m_self);
    std::vector<JournalOperation> operations { { JournalOperation::Kind::View, encodeView(view) } };
    if (isJoining || !view.contains(m_self)) {
        operations.push_back({ JournalOperation::Kind::Reset });
        m_firstSeenAt.clear();
    } else if (!view.isJoint()) {
        for (const auto& [name, program] : m_journal.names()) {
            if (keeps(view, program))
                continue;
            operations.push_back({ JournalOperation::Kind::Drop, {}, name });
            m_firstSeenAt.erase(name);
        }
    }
    m_isWritingView = true;
    try {
        persist(std::move(operations));
        m_versionOnDisk = view.version;
    } catch (...) {
        m_isWritingView = false;
        m_viewWritten.notifyAll();
        throw;
    }
    m_isWritingView = false;
    m_viewWritten.notifyAll();
}

// The view is checked again after the handler, which may have waited for the disk: entries that are acknowledged under
// an older view might be missed by the transfer to new members.
std::string TurnJournalServer::serve(const std::string& bytes, const std::function<std::string(const std::string&)>& handler)
{
    KeeperRequest request = decodeRequest(bytes);
    if (!m_isViewKnown)
        throw JournalNotReadyError();
    if (request.view)
        install(*request.view);
    if (request.version > m_view.version)
        return encodeAnswer({ std::nullopt, true, {} });
    ensureOnDisk(request.version);
    std::string body;
    if (request.version == m_view.version) {
        if (!m_view.contains(m_self))
            throw JournalNotReadyError();
        body = handler(request.body);
    }
    if (request.version < m_view.version)
        return encodeAnswer({ m_view, false, {} });
    return encodeAnswer({ std::nullopt, false, std::move(body) });
}

// Suspends until the operations have taken effect. Rethrows failures of the disk thread.
void TurnJournalServer::persist(std::vector<JournalOperation> operations)
{
    if (operations.empty())
        return;
    auto wait = std::make_shared<DiskWait>();
    m_journal.write(std::move(operations), [wait](const std::exception_ptr& failure) {
        wait->isDone = true;
        wait->failure = failure;
        wait->done.notifyAll();
    });
    while (!wait->isDone)
        wait->done.wait();
    if (wait->failure)
        std::rethrow_exception(wait->failure);
}

std::string TurnJournalServer::append(const std::string& body)
{
    persistEntries(decodeEntries(body));
    return "kept";
}

std::string TurnJournalServer::appendGrant(const std::string& body)
{
    requireSynchronized();
    std::vector<JournalEntry> entries = decodeEntries(body);
    if (entries.empty())
        throw DamagedRecordError("grant");
    persistEntries(entries);
    return encodeEntries(m_journal.state().grantsOf(entries.front().program));
}

void TurnJournalServer::persistEntries(const std::vector<JournalEntry>& entries)
{
    std::vector<JournalOperation> operations;
    std::vector<const JournalEntry*> added;
    for (const JournalEntry& entry : entries) {
        // Duplicates are common, since a journal that lost its disk reads the others repeatedly until enough answer.
        if (m_journal.state().has({ entry.daemon, entry.step() }))
            continue;
        operations.push_back({ JournalOperation::Kind::Append, encodeEntry(entry) });
        added.push_back(&entry);
    }
    persist(std::move(operations));
    for (const JournalEntry* it : added) {
        m_firstSeenAt.try_emplace(EntryName { it->daemon, it->step() }, m_clock.now());
        m_log.write(LogLine("journal-append").field("program", it->program.text()).field("daemon", it->daemon.text()).field("step", it->step()).field("grant", isGrant(*it)));
    }
}

// A journal that has not read the others must not report entries as missing.
void TurnJournalServer::requireSynchronized() const
{
    if (!isSynchronized())
        throw JournalNotReadyError();
}

std::string TurnJournalServer::grants(const std::string& body)
{
    requireSynchronized();
    return encodeEntries(m_journal.state().grantsOf(ProgramId(body)));
}

std::string TurnJournalServer::find(const std::string& body)
{
    requireSynchronized();
    return encodeEntries(m_journal.state().findTurn(CallId(body)));
}

std::string TurnJournalServer::outstanding(const std::string&)
{
    requireSynchronized();
    return encodePrograms(m_journal.outstandingPrograms());
}

void TurnJournalServer::drop(const EntryName& name)
{
    if (!m_journal.state().has(name))
        return;
    m_firstSeenAt.erase(name);
    // If a power failure loses the drop, the entry is found to be stored and is dropped again.
    m_journal.applyAtOnce({ JournalOperation::Kind::Drop, {}, name });
}

/// What another keeper's journal had when it was read.
struct TurnJournalServer::Present {
    std::string folder;
    std::set<EntryName> entries;
};

struct TurnJournalServer::Collected {
    /// Keepers that answered, and what they have.
    std::map<std::string, Present> answered;
    /// Entries of all of them.
    std::map<EntryName, JournalEntry> entries;
    /// Those of them whose journals are complete.
    InstanceNames complete;
};

// Selects the entries that a change of the view in progress moves, or those that the instance named keeps.
std::string TurnJournalServer::contents(const std::string& selection) const
{
    std::vector<JournalEntry> selected;
    for (const auto& [name, entry] : m_journal.state().entries())
        if (selection == movedEntries ? m_view.movesEntriesOf(entry->program, m_tolerated) : m_view.keeps(selection, entry->program, m_tolerated))
            selected.push_back(*entry);
    return encodeContents({ m_journal.state().isSynchronized(), m_journal.folder().text(), std::move(selected) });
}

// Reads the selected entries of \p keepers, until \p isEnough, and those of this journal.
TurnJournalServer::Collected TurnJournalServer::collect(const std::vector<RelayAddress>& keepers, const std::string& selection, const std::function<bool(const Collected&)>& isEnough)
{
    Collected collected;
    auto add = [&](const std::string& keeper, const JournalContents& contents) {
        Present& present = collected.answered[keeper];
        present.folder = contents.folder;
        for (const JournalEntry& entry : contents.entries) {
            EntryName name { entry.daemon, entry.step() };
            present.entries.insert(name);
            collected.entries.emplace(name, entry);
        }
        if (contents.isSynchronized)
            collected.complete.insert(keeper);
    };
    add(m_self, decodeContents(contents(selection)));
    for (const RelayAddress& it : keepers) {
        if (it.instance == m_self)
            continue;
        if (isEnough(collected))
            break;
        try {
            add(it.instance, decodeContents(callPeer(m_client, it.endpoint, peerpaths::journalAll, selection, synchronizeTimeout)));
        } catch (const Error& error) {
            m_log.write(LogLine("journal-not-read").field("keeper", it.instance).field("reason", error.what()));
        }
    }
    return collected;
}

// If all members have answered, no other journal can have further entries, even if all of them lost their disks.
bool TurnJournalServer::isComplete(const std::vector<RelayAddress>& members, const Collected& collected) const
{
    bool haveAllAnswered = std::all_of(members.begin(), members.end(), [&](const RelayAddress& it) { return collected.answered.contains(it.instance); });
    return haveAllAnswered || isReadQuorum({ m_view.version, members }, collected.complete, m_tolerated);
}

// Restores the journal after its disk was lost.
bool TurnJournalServer::synchronize()
{
    KeeperView view = m_view;
    if (!namesOf(view.members).contains(m_self) || (view.isJoint() && !namesOf(view.previous).contains(m_self)))
        return false;
    auto isEnough = [&](const Collected& collected) { return isComplete(view.members, collected) && (!view.isJoint() || isComplete(view.previous, collected)); };
    Collected collected = collect(view.all(), m_self, isEnough);
    if (!isEnough(collected) || m_view != view)
        return false;
    std::vector<JournalEntry> part;
    std::size_t bytes = 0;
    auto write = [&] {
        persistEntries(std::exchange(part, {}));
        bytes = 0;
        return m_view == view;
    };
    for (auto& [name, entry] : collected.entries) {
        bytes += encodeEntry(entry).size();
        part.push_back(std::move(entry));
        if (bytes >= maxTransferBytes && !write())
            return false;
    }
    if (!write())
        return false;
    persist({ { JournalOperation::Kind::Synchronized } });
    m_log.write(LogLine("journal-complete").field("entries", m_journal.state().size()).field("answers", collected.answered.size() - 1).field("version", view.version));
    return true;
}

// Whether any entry would be missed if it were lost: a turn, or a grant that its account may not include.
static bool hasUnstored(const std::map<EntryName, JournalEntry>& entries)
{
    std::vector<JournalEntry> grants;
    for (const auto& [name, entry] : entries) {
        if (!isGrant(entry))
            return true;
        grants.push_back(entry);
    }
    return outstandingTokens(grants) > 0;
}

bool TurnJournalServer::transfer(const KeeperView& joint, const InstanceNames& installed, const InstanceNames& gone)
{
    std::vector<RelayAddress> sources = joint.all();
    std::erase_if(sources, [&](const RelayAddress& it) { return !installed.contains(it.instance); });
    Collected collected = collect(sources, movedEntries, [](const Collected&) { return false; });
    // Members too few for a write quorum took no entries.
    bool isPreviousEmpty = joint.previous.size() <= m_tolerated;
    if ((!isPreviousEmpty && !isComplete(joint.previous, collected)) || m_view != joint)
        return false;
    // Members that are too few for a write quorum keep nothing safe; all is stored first.
    if (joint.members.size() <= m_tolerated && hasUnstored(collected.entries))
        return false;
    InstanceNames received;
    for (const RelayAddress& it : joint.members) {
        if (gone.contains(it.instance))
            continue;
        if (!sendMissing(it, joint, collected))
            return false;
        received.insert(it.instance);
    }
    m_log.write(LogLine("journal-transferred").field("entries", collected.entries.size()).field("keepers", received.size()).field("version", joint.version));
    // No committee may be left without a write quorum.
    std::size_t n = joint.members.size();
    return n > committeeSize(m_tolerated) ? n - received.size() <= m_tolerated : received.size() >= std::min<std::size_t>(n, m_tolerated + 1);
}

// Sends the collected entries that the keeper is to keep, except those that it has.
bool TurnJournalServer::sendMissing(const RelayAddress& keeper, const KeeperView& joint, const Collected& collected)
{
    auto known = collected.answered.find(keeper.instance);
    Present present = known == collected.answered.end() ? Present {} : known->second;
    KeeperView next = completeChange(joint);
    try {
        JournalTransfer part { joint.version, present.folder, {} };
        std::size_t bytes = 0;
        auto send = [&](bool isLast) {
            part.isLast = isLast;
            std::string body = encodeTransfer(part);
            if (keeper.instance == m_self)
                acceptTransfer(body);
            else
                callPeer(m_client, keeper.endpoint, peerpaths::journalTransfer, body, synchronizeTimeout);
            part.entries.clear();
            bytes = 0;
        };
        for (const auto& [name, entry] : collected.entries) {
            if (present.entries.contains(name) || !next.keeps(keeper.instance, entry.program, m_tolerated))
                continue;
            bytes += encodeEntry(entry).size();
            part.entries.push_back(entry);
            if (bytes >= maxTransferBytes)
                send(false);
        }
        send(true);
        return true;
    } catch (const Error& error) {
        m_log.write(LogLine("journal-not-transferred").field("keeper", keeper.instance).field("reason", error.what()));
        return false;
    }
}

std::string TurnJournalServer::acceptTransfer(const std::string& body)
{
    JournalTransfer transfer = decodeTransfer(body);
    bool isOtherFolder = !transfer.folder.empty() && transfer.folder != m_journal.folder().text();
    if (transfer.version != m_view.version || isOtherFolder)
        throw JournalNotReadyError();
    // Installing the view may remove entries that would be taken for present.
    install(m_view);
    persistEntries(transfer.entries);
    // One that was a member before and lost its disk lacks the entries that stay where they are, which no transfer has.
    bool isJoining = !namesOf(m_view.previous).contains(m_self);
    if (transfer.isLast && transfer.version == m_view.version && isJoining && !isSynchronized()) {
        persist({ { JournalOperation::Kind::Synchronized } });
        m_log.write(LogLine("journal-complete").field("entries", entries()).field("version", transfer.version));
    }
    if (transfer.version != m_view.version)
        throw JournalNotReadyError();
    return "kept";
}

static std::size_t bytesOf(const KeyTransaction& transaction)
{
    std::size_t bytes = 0;
    for (const KeyWrite& it : transaction.puts)
        bytes += it.value.size();
    return bytes;
}

// Adds the changes of the entry that the account does not include yet. \returns false if some do not fit into one call; the
// account then shows which ones are left for the next call.
static bool addChanges(KeyTransaction& transaction, ProgramAccount& account, const JournalEntry& entry)
{
    for (const AccountChange& change : entry.changes) {
        bool isFull = transaction.puts.size() + 2 > maxUploadPuts || (change.record && bytesOf(transaction) > 0 && bytesOf(transaction) + SplitTurn::bytesOf(*change.record) > maxUploadBytes);
        if (change.record && isFull)
            return false;
        for (const TurnRecord& it : applyEntry(account, { entry.program, entry.daemon, { change } })) {
            transaction.puts.push_back({ TurnLedger::turnKey(entry.program, it.turn), encodeTurn(it) });
            transaction.puts.push_back({ TurnLedger::originKey(it.turn), entry.program.text() });
        }
    }
    return true;
}

// Stores the changes that the account does not include yet. The entries belong to one program and are in order of their
// steps; changes that do not fit into one call are stored in the next interval.
void TurnJournalServer::upload(const ProgramId& program, const std::vector<SharedEntry>& entries)
{
    std::string key = TurnLedger::accountKey(program);
    auto current = m_store.get(key);
    ProgramAccount account = current ? decodeAccount(current->value) : ProgramAccount {};
    KeyTransaction transaction;
    std::vector<EntryName> done;
    for (const SharedEntry& entry : entries) {
        if (!addChanges(transaction, account, *entry))
            break;
        done.push_back({ entry->daemon, entry->step() });
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
    for (const SharedEntry& entry : entries)
        for (const AccountChange& it : entry->changes)
            if (it.grant != 0 && it.step <= account.holds[entry->daemon].step)
                persistEntries({ grantStoredEntry(program, entry->daemon, it.grant, it.keepUntil) });
    for (const EntryName& it : done)
        drop(it);
}

// Charges a grant whose daemon terminated during the turn, so that the number of tokens handed out is unknown. Until
// the grant is old, it counts in full towards the one turn by which grants may exceed the budget; then its program is
// charged in full.
void TurnJournalServer::charge(const JournalEntry& grant)
{
    const AccountChange& change = grant.changes.back();
    std::string key = TurnLedger::accountKey(grant.program);
    auto current = m_store.get(key);
    ProgramAccount account = current ? decodeAccount(current->value) : ProgramAccount {};
    // Each charged grant has a hold of its own, whose step tells whether another keeper has charged it already.
    DaemonHold& charged = account.holds[DaemonLifetime(grant.daemon.text() + "-grant" + std::to_string(change.step))];
    bool isStored = charged.step != 0;
    if (!isStored) {
        charged.step = change.step;
        account.spent += change.maxTokens;
        account.grantReserve -= std::min(account.grantReserve, change.maxTokens);
        account.keepUntil = std::max(account.keepUntil, change.keepUntil);
        isStored = m_relay.commit({ { { key, current ? current->modRevision : 0 } }, { { key, encodeAccount(account) } }, {} }).revision.has_value();
    }
    m_log.write(LogLine("grant-charged").field("program", grant.program.text()).field("daemon", grant.daemon.text()).field("tokens", change.maxTokens).field("done", isStored));
    if (isStored)
        persistEntries({ grantStoredEntry(grant.program, grant.daemon, change.step, change.keepUntil) });
}

void TurnJournalServer::postpone(const std::vector<SharedEntry>& entries)
{
    for (const SharedEntry& it : entries)
        m_firstSeenAt[{ it->daemon, it->step() }] = m_clock.now();
}

void TurnJournalServer::uploadOverdue()
{
    // Others have the entries of a keeper that has left, and may know more of them. One that is leaving still gets all.
    if (m_store.health().failingSince() || !m_view.contains(m_self) || !isSynchronized())
        return;
    std::map<ProgramId, std::vector<SharedEntry>> old;
    for (const auto& [name, entry] : m_journal.state().entries())
        if (!isGrant(*entry) && m_clock.now() - m_firstSeenAt.try_emplace(name, m_clock.now()).first->second >= uploadAfter)
            old[entry->program].push_back(entry);
    std::size_t n = 0;
    for (const auto& [program, entries] : old) {
        try {
            upload(program, entries);
        } catch (const KeyValueRejectedError& error) {
            m_log.write(LogLine("journal-upload-rejected").field("program", program.text()).field("entries", entries.size()).field("reason", error.what()));
            postpone(entries);
        }
        if (++n == uploadsPerInterval)
            return;
    }
    settleOldGrants();
}

// The age is measured by this process, since the time of day differs between instances and may jump.
bool TurnJournalServer::isOld(const EntryName& name) const
{
    auto it = m_firstSeenAt.find(name);
    return it != m_firstSeenAt.end() && m_clock.now() - it->second >= grantRetention;
}

// A grant is dropped only once the account includes it, or its program has expired.
void TurnJournalServer::settleOldGrants()
{
    for (const JournalEntry& it : m_journal.state().openGrants()) {
        EntryName name { it.daemon, it.step() };
        if (!isOld(name))
            continue;
        // Its end went to the keepers of the program, if it arrived here while the view changed.
        if (keeps(m_view, it.program))
            charge(it);
        else
            drop(name);
    }
    for (const EntryName& it : m_journal.state().endedGrants())
        if (isOld(it))
            drop(it);
}

void TurnJournalServer::logCompaction(const std::exception_ptr& failure)
{
    LogLine line("journal-compacted");
    line.field("entries", entries()).field("bytes", m_journal.bytes());
    try {
        if (failure)
            std::rethrow_exception(failure);
        m_log.write(line);
    } catch (const std::exception& error) {
        m_log.write(line.field("failure", error.what()));
    }
}

void TurnJournalServer::work()
{
    try {
        if (!isSynchronized())
            synchronize();
        uploadOverdue();
        m_journal.compactIfLarge(minCompactionBytes);
    } catch (const Error& error) {
        // The entries remain and are retried in the next interval.
        m_log.write(LogLine("journal-work-failed").field("reason", error.what()));
    }
}

void TurnJournalServer::run()
{
    for (;; sleepFiber(workInterval))
        work();
}

} // namespace basilpoint
