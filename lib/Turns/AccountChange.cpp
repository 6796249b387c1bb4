#include "basilpoint/Turns/AccountChange.h"

#include "RecordCodec.h"

#include <algorithm>

namespace basilpoint {

using Json = nlohmann::json;

// A hold takes this part of what is left of a budget: most turns then need no write at their start, and
// programs go on while the store is out of reach. One that moves from daemon to daemon leaves a hold at each,
// so each step takes less, and none is refused over idle holds. Budgets of short programs are worth about
// 1.4 turns' most for each turn: half of what is left refused one program in 200 on a calm day, a third none.
static constexpr TokenCount holdDivisor = 3;
// Turns' worth of budget that must be left for topping a hold up when a turn is recorded.
static constexpr TokenCount turnsLeftToTopUp = 4;

static bool reserve(ProgramAccount& account, const DaemonLifetime& daemon, const AccountChange& change)
{
    TokenCount budget = std::min(account.budget, change.budget);
    TokenCount remaining = 0;
    {
        ProgramAccount limited = account;
        limited.budget = budget;
        remaining = limited.remaining();
    }
    if (remaining < change.most)
        return false;
    account.budget = budget;
    DaemonHold& hold = account.holds[daemon];
    hold.tokens += std::max(change.most, remaining / holdDivisor);
    hold.step = change.step;
    account.keepUntil = std::max(account.keepUntil, change.keepUntil);
    return true;
}

static void settle(ProgramAccount& account, const DaemonLifetime& daemon, const AccountChange& change)
{
    account.budget = std::min(account.budget, change.budget);
    account.spent += change.used;
    DaemonHold& hold = account.holds[daemon];
    hold.tokens -= std::min(hold.tokens, change.used);
    hold.step = change.step;
    account.keepUntil = std::max(account.keepUntil, change.keepUntil);
    // Topping up here saves the next turn a write of its own.
    if (account.budget != ProgramAccount::unlimited && hold.tokens < change.most && account.remaining() >= turnsLeftToTopUp * change.most)
        hold.tokens = account.remaining() / holdDivisor;
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
        // Tokens under a grant reach the account when their turn is settled.
        return true;
    }
    assert(false && "unhandled enumerator");
    return false;
}

static Json changeToJson(const AccountChange& change)
{
    Json json { { "k", static_cast<int>(change.kind) }, { "s", change.step }, { "m", change.most }, { "u", change.used }, { "b", change.budget }, { "t", millisecondsOf(change.keepUntil) }, { "g", change.grant } };
    if (change.record)
        json["r"] = binary(encodeTurn(*change.record));
    return json;
}

static AccountChange changeFrom(const Json& json)
{
    AccountChange change;
    int kind = json.at("k").get<int>();
    if (kind < 0 || kind > static_cast<int>(AccountChange::Kind::GrantEnd))
        throw DamagedRecordError("account change");
    change.kind = static_cast<AccountChange::Kind>(kind);
    change.grant = json.at("g").get<std::uint64_t>();
    change.step = json.at("s").get<std::uint64_t>();
    change.most = json.at("m").get<TokenCount>();
    change.used = json.at("u").get<TokenCount>();
    change.budget = json.at("b").get<TokenCount>();
    change.keepUntil = WallTimePoint(Milliseconds(json.at("t").get<std::int64_t>()));
    if (json.contains("r"))
        change.record = decodeTurn(bytesOf(json["r"]));
    return change;
}

std::string encodeEntry(const JournalEntry& entry)
{
    Json changes = Json::array();
    for (const AccountChange& it : entry.changes)
        changes.push_back(changeToJson(it));
    return toBytes({ { "p", entry.program.text() }, { "d", entry.daemon.text() }, { "c", std::move(changes) } });
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
