#include "basilpoint/Turns/TurnJournal.h"

#include "RecordCodec.h"

namespace basilpoint {

using Json = nlohmann::json;

std::string encodeOperation(const JournalOperation& operation)
{
    return toBytes({ { "k", static_cast<int>(operation.kind) }, { "e", binary(operation.entry) }, { "d", operation.name.daemon.text() }, { "s", operation.name.step } });
}

JournalOperation decodeOperation(const std::string& bytes)
{
    return readRecord("journal operation", bytes, [](const Json& json) {
        int kind = json.at("k").get<int>();
        if (kind < 0 || kind > static_cast<int>(JournalOperation::Kind::Synchronized))
            throw DamagedRecordError("journal operation");
        return JournalOperation { static_cast<JournalOperation::Kind>(kind), bytesOf(json.at("e")), { DaemonLifetime(json.at("d").get<std::string>()), json.at("s").get<std::uint64_t>() } };
    });
}

static EntryName nameOf(const JournalEntry& entry)
{
    return { entry.daemon, entry.step() };
}

void TurnJournal::append(const JournalEntry& entry)
{
    m_entries.emplace(nameOf(entry), entry);
    for (const AccountChange& it : entry.changes)
        if (it.record)
            m_byTurn[it.record->turn].insert(nameOf(entry));
}

void TurnJournal::drop(const EntryName& name)
{
    auto entry = m_entries.find(name);
    if (entry == m_entries.end())
        return;
    for (const AccountChange& it : entry->second.changes) {
        if (!it.record)
            continue;
        auto names = m_byTurn.find(it.record->turn);
        names->second.erase(name);
        if (names->second.empty())
            m_byTurn.erase(names);
    }
    m_entries.erase(entry);
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
    }
    assert(false && "unhandled enumerator");
}

std::vector<JournalEntry> TurnJournal::findTurn(const CallId& turn) const
{
    std::vector<JournalEntry> found;
    auto names = m_byTurn.find(turn);
    if (names == m_byTurn.end())
        return found;
    const ProgramId& program = m_entries.at(*names->second.begin()).program;
    for (const auto& [name, entry] : m_entries)
        if (entry.program == program)
            found.push_back(entry);
    return found;
}

bool isGrant(const JournalEntry& entry)
{
    return !entry.changes.empty() && (entry.changes.back().kind == AccountChange::Kind::Grant || entry.changes.back().kind == AccountChange::Kind::GrantEnd);
}

TokenCount grantedTokens(const std::vector<JournalEntry>& grants)
{
    std::map<EntryName, TokenCount> granted;
    std::map<EntryName, TokenCount> used;
    for (const JournalEntry& entry : grants) {
        const AccountChange& change = entry.changes.back();
        if (change.kind == AccountChange::Kind::Grant)
            granted[{ entry.daemon, change.step }] = change.most;
        else if (change.kind == AccountChange::Kind::GrantEnd)
            used[{ entry.daemon, change.grant }] = change.used;
    }
    TokenCount total = 0;
    for (const auto& [name, tokens] : granted) {
        auto end = used.find(name);
        total += end == used.end() ? tokens : end->second;
    }
    return total;
}

std::vector<JournalEntry> TurnJournal::grantsOf(const ProgramId& program) const
{
    std::vector<JournalEntry> grants;
    for (const auto& [name, entry] : m_entries)
        if (entry.program == program && isGrant(entry))
            grants.push_back(entry);
    return grants;
}

std::vector<EntryName> TurnJournal::expiredGrants(WallTimePoint now) const
{
    std::vector<EntryName> names;
    for (const auto& [name, entry] : m_entries)
        if (isGrant(entry) && entry.changes.back().keepUntil < now)
            names.push_back(name);
    return names;
}

std::vector<JournalEntry> TurnJournal::all() const
{
    std::vector<JournalEntry> entries;
    for (const auto& [name, entry] : m_entries)
        entries.push_back(entry);
    return entries;
}

std::vector<JournalOperation> TurnJournal::snapshot() const
{
    std::vector<JournalOperation> operations;
    if (m_isSynchronized)
        operations.push_back({ JournalOperation::Kind::Synchronized });
    for (const auto& [name, entry] : m_entries)
        operations.push_back({ JournalOperation::Kind::Append, encodeEntry(entry) });
    return operations;
}

} // namespace basilpoint
