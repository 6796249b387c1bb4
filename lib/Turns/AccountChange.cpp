#include "basilpoint/Turns/AccountChange.h"

#include "RecordCodec.h"

#include <algorithm>

namespace basilpoint {

using Json = nlohmann::json;

// Turns' worth of remaining budget required for a settlement to top up the daemon's hold for the next turn. The hold
// saves that turn a write at its start and lets it run while the store is unreachable, but is lost to the program
// when the daemon terminates: holding a third of the remaining budget caused refusals after all daemons had
// terminated.
static constexpr TokenCount turnsLeftToTopUp = 2;

static bool reserve(ProgramAccount& account, const DaemonLifetime& daemon, const AccountChange& change)
{
    ProgramAccount limited = account;
    limited.budget = std::min(account.budget, change.budget);
    // A daemon that did not know the account may have taken it for a new one. Closing the reserve leaves what was granted from it.
    bool isNew = account.spent == 0 && account.holds.empty();
    if (change.grantReserve)
        limited.grantReserve = isNew ? *change.grantReserve : std::min(limited.grantReserve, *change.grantReserve);
    if (limited.remaining() < change.maxTokens + change.outstanding)
        return false;
    account.budget = limited.budget;
    account.grantReserve = limited.grantReserve;
    DaemonHold& hold = account.holds[daemon];
    hold.tokens += change.maxTokens;
    hold.step = change.step;
    account.keepUntil = std::max(account.keepUntil, change.keepUntil);
    return true;
}

static void settle(ProgramAccount& account, const DaemonLifetime& daemon, const AccountChange& change)
{
    // A program that began in an outage has no account yet, but its grants count on the reserve.
    if (account.spent == 0 && account.holds.empty())
        account.grantReserve = change.grantReserve.value_or(0);
    account.budget = std::min(account.budget, change.budget);
    account.spent += change.used;
    DaemonHold& hold = account.holds[daemon];
    // Granted tokens are not part of the hold, which other turns may be using.
    if (change.grant == 0)
        hold.tokens -= std::min(hold.tokens, change.used);
    else
        account.grantReserve -= std::min(account.grantReserve, change.used);
    hold.step = change.step;
    account.keepUntil = std::max(account.keepUntil, change.keepUntil);
    // Topping up here saves the next turn a separate write.
    if (account.budget != ProgramAccount::unlimited && hold.tokens < change.maxTokens && account.remaining() >= turnsLeftToTopUp * change.maxTokens)
        hold.tokens = change.maxTokens;
}

bool applyChange(ProgramAccount& account, const DaemonLifetime& daemon, const AccountChange& change)
{
    switch (change.kind) {
    case AccountChange::Kind::Reserve:
        return reserve(account, daemon, change);
    case AccountChange::Kind::Settle:
        settle(account, daemon, change);
        return true;
    case AccountChange::Kind::Grant:
    case AccountChange::Kind::GrantEnd:
    case AccountChange::Kind::GrantStored:
    case AccountChange::Kind::ReserveClosed:
        // Granted tokens are charged when their turn is settled.
        return true;
    }
    assert(false && "unhandled enumerator");
    return false;
}

std::vector<TurnRecord> applyEntry(ProgramAccount& account, const JournalEntry& entry)
{
    std::vector<TurnRecord> turns;
    for (const AccountChange& it : entry.changes)
        if (it.step > account.holds[entry.daemon].step && applyChange(account, entry.daemon, it) && it.record)
            turns.push_back(*it.record);
    return turns;
}

static Json changeToJson(const AccountChange& change)
{
    Json json { { "k", static_cast<int>(change.kind) }, { "s", change.step }, { "m", change.maxTokens }, { "u", change.used }, { "o", change.outstanding }, { "b", change.budget }, { "t", millisecondsOf(change.keepUntil) }, { "g", change.grant } };
    if (change.record)
        json["r"] = bytesToJson(encodeTurn(*change.record));
    if (change.grantReserve)
        json["v"] = *change.grantReserve;
    return json;
}

static AccountChange changeFrom(const Json& json)
{
    AccountChange change;
    int kind = json.at("k").get<int>();
    if (kind < 0 || kind > static_cast<int>(AccountChange::Kind::ReserveClosed))
        throw DamagedRecordError("account change");
    change.kind = static_cast<AccountChange::Kind>(kind);
    change.grant = json.at("g").get<std::uint64_t>();
    change.step = json.at("s").get<std::uint64_t>();
    change.maxTokens = json.at("m").get<TokenCount>();
    change.used = json.at("u").get<TokenCount>();
    change.outstanding = json.at("o").get<TokenCount>();
    change.budget = json.at("b").get<TokenCount>();
    change.keepUntil = WallTimePoint(Milliseconds(json.at("t").get<std::int64_t>()));
    if (json.contains("r"))
        change.record = decodeTurn(bytesFromJson(json["r"]));
    if (json.contains("v"))
        change.grantReserve = json["v"].get<TokenCount>();
    return change;
}

std::string encodeEntry(const JournalEntry& entry)
{
    Json changes = Json::array();
    for (const AccountChange& it : entry.changes)
        changes.push_back(changeToJson(it));
    return toCbor({ { "p", entry.program.text() }, { "d", entry.daemon.text() }, { "c", std::move(changes) } });
}

JournalEntry decodeEntry(const std::string& bytes)
{
    return readRecord("journal entry", bytes, [](const Json& json) {
        JournalEntry entry { ProgramId(json.at("p").get<std::string>()), DaemonLifetime(json.at("d").get<std::string>()), {} };
        for (const Json& it : json.at("c"))
            entry.changes.push_back(changeFrom(it));
        return entry;
    });
}

} // namespace basilpoint
