#include "basilpoint/Turns/TurnJournal.h"

#include "RecordCodec.h"

#include "basilpoint/Turns/SplitTurn.h"

#include <algorithm>
#include <deque>

namespace basilpoint {

using Json = nlohmann::json;

// Typical size of an encoded change without its record's texts.
static constexpr std::size_t changeBytes = 256;

std::string encodeOperation(const JournalOperation& operation)
{
    return toCbor({ { "k", static_cast<int>(operation.kind) }, { "e", bytesToJson(operation.entry) }, { "d", operation.name.daemon.text() }, { "s", operation.name.step } });
}

JournalOperation decodeOperation(const std::string& bytes)
{
    return readRecord("journal operation", bytes, [](const Json& json) {
        int kind = json.at("k").get<int>();
        if (kind < 0 || kind > static_cast<int>(JournalOperation::Kind::View))
            throw DamagedRecordError("journal operation");
        return JournalOperation { static_cast<JournalOperation::Kind>(kind), bytesFromJson(json.at("e")), { DaemonLifetime(json.at("d").get<std::string>()), json.at("s").get<std::uint64_t>() } };
    });
}

static EntryName nameOf(const JournalEntry& entry)
{
    return { entry.daemon, entry.step() };
}

static std::size_t approximateBytes(const JournalEntry& entry)
{
    std::size_t bytes = entry.changes.size() * changeBytes;
    for (const AccountChange& it : entry.changes)
        if (it.record)
            bytes += SplitTurn::bytesOf(*it.record);
    return bytes;
}

void TurnJournal::append(JournalEntry appended)
{
    SharedEntry& slot = m_entries[nameOf(appended)];
    if (slot)
        return;
    slot = std::make_shared<const JournalEntry>(std::move(appended));
    const JournalEntry& entry = *slot;
    m_bytes += approximateBytes(entry);
    m_byProgram[entry.program].insert(nameOf(entry));
    m_changed.insert(entry.program);
    for (const AccountChange& it : entry.changes)
        if (it.record)
            m_byTurn[it.record->turn].insert(nameOf(entry));
}

template <typename Key>
static void eraseName(std::map<Key, std::set<EntryName>>& index, const Key& key, const EntryName& name)
{
    auto names = index.find(key);
    names->second.erase(name);
    if (names->second.empty())
        index.erase(names);
}

void TurnJournal::drop(const EntryName& name)
{
    auto entry = m_entries.find(name);
    if (entry == m_entries.end())
        return;
    for (const AccountChange& it : entry->second->changes)
        if (it.record)
            eraseName(m_byTurn, it.record->turn, name);
    eraseName(m_byProgram, entry->second->program, name);
    m_changed.insert(entry->second->program);
    m_bytes -= approximateBytes(*entry->second);
    m_entries.erase(entry);
}

void TurnJournal::reset()
{
    m_isSynchronized = false;
    m_bytes = 0;
    m_entries.clear();
    m_byTurn.clear();
    m_byProgram.clear();
    m_outstanding.clear();
    m_changed.clear();
}

void TurnJournal::apply(const JournalOperation& operation)
{
    switch (operation.kind) {
    case JournalOperation::Kind::Append:
        return append(decodeEntry(operation.entry));
    case JournalOperation::Kind::Drop:
        return drop(operation.name);
    case JournalOperation::Kind::Synchronized:
        m_isSynchronized = true;
        return;
    case JournalOperation::Kind::Reset:
        reset();
        return;
    case JournalOperation::Kind::View:
        m_view = operation.entry;
        return;
    }
    assert(false && "unhandled enumerator");
}

std::vector<JournalEntry> TurnJournal::findTurn(const CallId& turn) const
{
    auto names = m_byTurn.find(turn);
    return names == m_byTurn.end() ? std::vector<JournalEntry>() : entriesOf(m_entries.at(*names->second.begin())->program);
}

std::vector<JournalEntry> TurnJournal::entriesOf(const ProgramId& program) const
{
    std::vector<JournalEntry> found;
    auto names = m_byProgram.find(program);
    if (names == m_byProgram.end())
        return found;
    for (const EntryName& it : names->second)
        found.push_back(*m_entries.at(it));
    return found;
}

bool isGrant(const JournalEntry& entry)
{
    if (entry.changes.empty())
        return false;
    AccountChange::Kind kind = entry.changes.back().kind;
    return kind != AccountChange::Kind::Reserve && kind != AccountChange::Kind::Settle;
}

namespace {

    /// State of one grant, merged from its entries.
    struct GrantState {
        const JournalEntry* entry = nullptr;
        TokenCount granted = 0;
        std::optional<TokenCount> used;
        bool isStored = false;

        TokenCount tokens() const { return used.value_or(granted); }
    };

} // namespace

static std::map<EntryName, GrantState> statesOf(const std::vector<JournalEntry>& grants)
{
    std::map<EntryName, GrantState> states;
    for (const JournalEntry& entry : grants) {
        const AccountChange& change = entry.changes.back();
        if (change.kind == AccountChange::Kind::Grant) {
            GrantState& state = states[{ entry.daemon, change.step }];
            state.entry = &entry;
            state.granted = change.maxTokens;
        } else if (change.kind == AccountChange::Kind::GrantEnd)
            states[{ entry.daemon, change.grant }].used = change.used;
        else if (change.kind == AccountChange::Kind::GrantStored)
            states[{ entry.daemon, change.grant }].isStored = true;
    }
    return states;
}

TokenCount grantedTokens(const std::vector<JournalEntry>& grants)
{
    TokenCount total = 0;
    for (const auto& [name, state] : statesOf(grants))
        total += state.tokens();
    return total;
}

bool isReserveClosed(const std::vector<JournalEntry>& grants)
{
    return std::any_of(grants.begin(), grants.end(), [](const JournalEntry& it) { return it.changes.back().kind == AccountChange::Kind::ReserveClosed; });
}

TokenCount outstandingTokens(const std::vector<JournalEntry>& grants)
{
    TokenCount total = 0;
    for (const auto& [name, state] : statesOf(grants))
        total += state.isStored ? 0 : state.tokens();
    return total;
}

// Updated incrementally: after an outage many daemons ask every two seconds, while few programs change between calls.
const std::set<ProgramId>& TurnJournal::outstandingPrograms()
{
    for (const ProgramId& it : m_changed) {
        if (outstandingTokens(grantsOf(it)) > 0)
            m_outstanding.insert(it);
        else
            m_outstanding.erase(it);
    }
    m_changed.clear();
    return m_outstanding;
}

static bool isOpen(const GrantState& state)
{
    return state.entry && !state.used && !state.isStored;
}

std::vector<JournalEntry> TurnJournal::openGrants() const
{
    std::vector<JournalEntry> grants;
    for (const auto& [name, entry] : m_entries)
        if (isGrant(*entry))
            grants.push_back(*entry);
    std::vector<JournalEntry> open;
    for (const auto& [name, state] : statesOf(grants))
        if (isOpen(state))
            open.push_back(*state.entry);
    return open;
}

// Filters before copying, since a program's other entries contain whole turns.
std::vector<JournalEntry> TurnJournal::grantsOf(const ProgramId& program) const
{
    std::vector<JournalEntry> grants;
    auto names = m_byProgram.find(program);
    if (names == m_byProgram.end())
        return grants;
    for (const EntryName& it : names->second) {
        const JournalEntry& entry = *m_entries.at(it);
        if (isGrant(entry))
            grants.push_back(entry);
    }
    return grants;
}

std::vector<EntryName> TurnJournal::endedGrants() const
{
    std::set<EntryName> open;
    for (const JournalEntry& it : openGrants())
        open.insert(nameOf(it));
    std::vector<EntryName> names;
    for (const auto& [name, entry] : m_entries)
        if (isGrant(*entry) && !open.contains(name))
            names.push_back(name);
    return names;
}

std::vector<JournalEntry> TurnJournal::all() const
{
    std::vector<JournalEntry> entries;
    for (const auto& [name, entry] : m_entries)
        entries.push_back(*entry);
    return entries;
}

TurnJournal::OperationSource TurnJournal::snapshot() const
{
    struct Rest {
        std::deque<JournalOperation> marks;
        std::deque<SharedEntry> entries;
    };
    auto rest = std::make_shared<Rest>();
    if (!m_view.empty())
        rest->marks.push_back({ JournalOperation::Kind::View, m_view });
    if (m_isSynchronized)
        rest->marks.push_back({ JournalOperation::Kind::Synchronized });
    for (const auto& [name, entry] : m_entries)
        rest->entries.push_back(entry);
    return [rest]() -> std::optional<JournalOperation> {
        std::optional<JournalOperation> next;
        if (!rest->marks.empty()) {
            next = std::move(rest->marks.front());
            rest->marks.pop_front();
        } else if (!rest->entries.empty()) {
            next = JournalOperation { JournalOperation::Kind::Append, encodeEntry(*rest->entries.front()) };
            rest->entries.pop_front();
        }
        return next;
    };
}

} // namespace basilpoint
