#include "basilpoint/Gateway/CommitGroup.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace basilpoint {

CommitGroup::CommitGroup(CommitGroupSettings settings)
    : m_settings(settings)
{
}

static std::size_t bytesOf(const KeyTransaction& transaction)
{
    std::size_t bytes = 0;
    for (const auto& it : transaction.puts)
        bytes += it.key.size() + it.value.size();
    return bytes;
}

CommitGroup::Ticket CommitGroup::submit(KeyTransaction transaction)
{
    Ticket ticket = m_nextTicket++;
    std::size_t bytes = bytesOf(transaction);
    m_waiting.push_back({ ticket, std::move(transaction), bytes });
    return ticket;
}

// Transactions with a common key must not share a call or be in flight at the same time.
static bool overlaps(const std::set<std::string>& keys, const KeyTransaction& transaction)
{
    auto has = [&](const std::string& key) { return keys.contains(key); };
    return std::any_of(transaction.conditions.begin(), transaction.conditions.end(), [&](const auto& it) { return has(it.key); })
        || std::any_of(transaction.puts.begin(), transaction.puts.end(), [&](const auto& it) { return has(it.key); })
        || std::any_of(transaction.deletes.begin(), transaction.deletes.end(), has);
}

static void addKeys(std::set<std::string>& keys, const KeyTransaction& transaction)
{
    for (const auto& it : transaction.conditions)
        keys.insert(it.key);
    for (const auto& it : transaction.puts)
        keys.insert(it.key);
    keys.insert(transaction.deletes.begin(), transaction.deletes.end());
}

static void append(KeyTransaction& merged, const KeyTransaction& added)
{
    merged.conditions.insert(merged.conditions.end(), added.conditions.begin(), added.conditions.end());
    merged.puts.insert(merged.puts.end(), added.puts.begin(), added.puts.end());
    merged.deletes.insert(merged.deletes.end(), added.deletes.begin(), added.deletes.end());
}

CommitGroup::Selection CommitGroup::select() const
{
    Selection selection;
    std::set<std::string> keys = m_keysInFlight;
    std::size_t entries = 0;
    std::size_t bytes = 0;
    for (std::size_t n = 0; n < m_waiting.size(); ++n) {
        const Member& member = m_waiting[n];
        bool isDisjoint = !overlaps(keys, member.transaction);
        // The keys of a skipped transaction block later ones too, which preserves the order.
        addKeys(keys, member.transaction);
        if (!isDisjoint)
            continue;
        bool isFirst = selection.positions.empty();
        if (member.isAlone && !isFirst)
            continue;
        entries += member.transaction.entries();
        bytes += member.bytes;
        selection.isFull = member.isAlone || entries >= m_settings.maxEntries || bytes >= m_settings.maxBytes;
        if (isFirst || (entries <= m_settings.maxEntries && bytes <= m_settings.maxBytes))
            selection.positions.push_back(n);
        if (selection.isFull)
            break;
    }
    return selection;
}

std::optional<TimePoint> CommitGroup::nextAt() const
{
    if (m_waiting.empty() || m_calls.size() >= m_settings.maxCalls)
        return std::nullopt;
    Selection selection = select();
    if (selection.positions.empty())
        return std::nullopt;
    if (selection.isFull || m_lastCallAt == TimePoint::min())
        return TimePoint::min();
    return m_lastCallAt + m_settings.interval;
}

std::optional<CommitGroup::Call> CommitGroup::next(TimePoint now)
{
    auto at = nextAt();
    if (!at || now < *at)
        return std::nullopt;
    Call call { m_nextNumber++, {} };
    std::vector<Member> members;
    Selection selection = select();
    for (std::size_t n : selection.positions) {
        append(call.transaction, m_waiting[n].transaction);
        addKeys(m_keysInFlight, m_waiting[n].transaction);
        members.push_back(std::move(m_waiting[n]));
    }
    for (auto it = selection.positions.rbegin(); it != selection.positions.rend(); ++it)
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(*it));
    m_lastCallAt = now;
    m_calls.emplace(call.number, std::move(members));
    return call;
}

std::vector<CommitGroup::Member> CommitGroup::take(std::uint64_t number)
{
    auto it = m_calls.find(number);
    assert(it != m_calls.end() && "a call ends once");
    std::vector<Member> members = std::move(it->second);
    m_calls.erase(it);
    std::set<std::string> keys;
    for (const Member& member : members)
        addKeys(keys, member.transaction);
    for (const std::string& key : keys)
        m_keysInFlight.erase(key);
    return members;
}

static bool conditionsHold(const KeyTransaction& transaction, const std::map<std::string, std::int64_t>& revisions)
{
    return std::all_of(transaction.conditions.begin(), transaction.conditions.end(), [&](const KeyCondition& it) {
        auto current = revisions.find(it.key);
        return it.revision == (current == revisions.end() ? 0 : current->second);
    });
}

static KeyTransactionResult refusalOf(const KeyTransaction& transaction, const std::vector<KeyValue>& current)
{
    KeyTransactionResult result;
    for (const KeyValue& it : current)
        if (std::any_of(transaction.conditions.begin(), transaction.conditions.end(), [&](const auto& condition) { return condition.key == it.key; }))
            result.current.push_back(it);
    return result;
}

static std::optional<KeyTransactionResult> refusalBy(const CommitGroup::RecordLookup& known, const KeyTransaction& transaction)
{
    KeyTransactionResult result;
    bool isOutdated = false;
    for (const KeyCondition& it : transaction.conditions) {
        auto current = known(it.key);
        if (!current)
            return std::nullopt;
        isOutdated = isOutdated || current->modRevision > it.revision;
        result.current.push_back(std::move(*current));
    }
    return isOutdated ? std::optional(std::move(result)) : std::nullopt;
}

std::vector<std::pair<CommitGroup::Ticket, KeyTransactionResult>> CommitGroup::refuseOutdated(const RecordLookup& known)
{
    std::vector<std::pair<Ticket, KeyTransactionResult>> refused;
    std::erase_if(m_waiting, [&](const Member& it) {
        auto refusal = refusalBy(known, it.transaction);
        if (refusal)
            refused.emplace_back(it.ticket, std::move(*refusal));
        return refusal.has_value();
    });
    return refused;
}

std::vector<std::pair<CommitGroup::Ticket, KeyTransactionResult>> CommitGroup::answered(std::uint64_t number, const KeyTransactionResult& result)
{
    std::vector<Member> members = take(number);
    std::vector<std::pair<Ticket, KeyTransactionResult>> settled;
    std::map<std::string, std::int64_t> revisions;
    for (const KeyValue& it : result.current)
        revisions[it.key] = it.modRevision;
    bool anyRefused = std::any_of(members.begin(), members.end(), [&](const Member& it) { return !conditionsHold(it.transaction, revisions); });
    for (auto it = members.rbegin(); it != members.rend(); ++it) {
        if (result.revision)
            settled.emplace_back(it->ticket, result);
        else if (!anyRefused || !conditionsHold(it->transaction, revisions))
            settled.emplace_back(it->ticket, refusalOf(it->transaction, result.current));
        else
            m_waiting.push_front(std::move(*it));
    }
    return settled;
}

std::vector<KeyTransaction> CommitGroup::pendingWrites(const std::string& key) const
{
    std::vector<KeyTransaction> found;
    auto add = [&](const Member& it) {
        if (std::any_of(it.transaction.puts.begin(), it.transaction.puts.end(), [&](const KeyWrite& write) { return write.key == key; }))
            found.push_back(it.transaction);
    };
    std::for_each(m_waiting.begin(), m_waiting.end(), add);
    for (const auto& [number, members] : m_calls)
        std::for_each(members.begin(), members.end(), add);
    return found;
}

std::vector<CommitGroup::Ticket> CommitGroup::markUnknown(std::uint64_t number)
{
    std::vector<Ticket> tickets;
    for (const Member& it : take(number))
        tickets.push_back(it.ticket);
    return tickets;
}

std::optional<CommitGroup::Ticket> CommitGroup::rejected(std::uint64_t number)
{
    std::vector<Member> members = take(number);
    if (members.size() == 1)
        return members.front().ticket;
    for (auto it = members.rbegin(); it != members.rend(); ++it) {
        it->isAlone = true;
        m_waiting.push_front(std::move(*it));
    }
    return std::nullopt;
}

} // namespace basilpoint
