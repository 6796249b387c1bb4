#include "basilpoint/Gateway/CommitTracker.h"

#include <algorithm>

namespace basilpoint {

// Accounts with transactions of unknown outcome. If there are more, they are dropped and attestations are incomplete.
static constexpr std::size_t maxUnknownAccounts = 5'000;

CommitTracker::CommitTracker(std::size_t maxBytes, bool knowsAllChanges, TimePoint now)
    : m_cache(maxBytes)
    , m_incompleteUntil(knowsAllChanges ? TimePoint::min() : now + longestRetention)
{
}

static std::int64_t conditionOn(const KeyTransaction& transaction, const std::string& key)
{
    auto it = std::find_if(transaction.conditions.begin(), transaction.conditions.end(), [&](const KeyCondition& condition) { return condition.key == key; });
    return it == transaction.conditions.end() ? -1 : it->revision;
}

void CommitTracker::remember(const KeyValue& record, TimePoint now)
{
    std::string program = TurnLedger::programPrefixOf(record.key);
    if (program.empty())
        return;
    std::uint64_t evictionsBefore = m_cache.evictions();
    m_cache.put(program, record);
    if (m_cache.evictions() != evictionsBefore)
        markIncomplete(now);
    // Transactions based on an older account took effect before this one or never will.
    auto unknown = m_unknown.find(record.key);
    if (unknown == m_unknown.end())
        return;
    std::erase_if(unknown->second, [&](const KeyTransaction& it) { return conditionOn(it, record.key) < record.modRevision; });
    if (unknown->second.empty())
        m_unknown.erase(unknown);
}

void CommitTracker::stored(const KeyTransaction& transaction, std::int64_t revision, TimePoint now)
{
    for (const KeyWrite& it : transaction.puts)
        remember({ it.key, it.value, revision }, now);
}

void CommitTracker::refused(const KeyTransaction& transaction, const std::vector<KeyValue>& current, TimePoint now)
{
    for (const KeyValue& it : current)
        remember(it, now);
    for (const KeyCondition& it : transaction.conditions) {
        bool exists = std::any_of(current.begin(), current.end(), [&](const KeyValue& item) { return item.key == it.key; });
        if (!exists)
            m_cache.forget(TurnLedger::programPrefixOf(it.key));
    }
}

void CommitTracker::markUnknown(const KeyTransaction& transaction, TimePoint now)
{
    for (const KeyCondition& it : transaction.conditions)
        if (!TurnLedger::programPrefixOf(it.key).empty())
            m_unknown[it.key].push_back(transaction);
    if (m_unknown.size() <= maxUnknownAccounts)
        return;
    m_unknown.clear();
    markIncomplete(now);
}

void CommitTracker::setNoPredecessor()
{
    m_incompleteUntil = TimePoint::min();
}

void CommitTracker::keeperRemoved(TimePoint now)
{
    markIncomplete(now);
}

std::vector<KeyValue> CommitTracker::recall(const std::string& prefix, std::int64_t after)
{
    std::vector<KeyValue> known = m_cache.find(prefix);
    std::erase_if(known, [after](const KeyValue& it) { return it.modRevision <= after; });
    return known;
}

std::optional<KeyValue> CommitTracker::latest(const std::string& key) const
{
    return m_cache.find(TurnLedger::programPrefixOf(key), key);
}

// Takes the maximum instead of the sum, since at most one transaction based on the known account takes effect.
static void addUnconfirmed(TokenCount& unconfirmedTokens, const ProgramAccount& known, std::int64_t revision, const std::string& key, const KeyTransaction& transaction)
{
    if (conditionOn(transaction, key) < revision)
        return;
    TokenCount taken = known.spent + known.held();
    for (const KeyWrite& it : transaction.puts) {
        if (it.key != key)
            continue;
        ProgramAccount after = decodeAccount(it.value);
        TokenCount total = after.spent + after.held();
        unconfirmedTokens = std::max(unconfirmedTokens, total - std::min(total, taken));
    }
}

AccountAttestation CommitTracker::attest(const ProgramId& program, const std::vector<KeyTransaction>& pending, TimePoint now)
{
    AccountAttestation attestation;
    attestation.isComplete = now >= m_incompleteUntil;
    std::string key = TurnLedger::accountKey(program);
    ProgramAccount known;
    std::int64_t revision = 0;
    if (auto account = latest(key)) {
        known = decodeAccount(account->value);
        revision = account->modRevision;
        attestation.records.push_back({ account->key, account->value, account->modRevision });
    }
    auto unknown = m_unknown.find(key);
    if (unknown != m_unknown.end())
        for (const KeyTransaction& it : unknown->second)
            addUnconfirmed(attestation.unconfirmedTokens, known, revision, key, it);
    for (const KeyTransaction& it : pending)
        addUnconfirmed(attestation.unconfirmedTokens, known, revision, key, it);
    return attestation;
}

} // namespace basilpoint
