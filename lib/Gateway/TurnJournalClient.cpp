#include "TurnJournalClient.h"

#include "PeerCall.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Support/Cbor.h"
#include "basilpoint/Turns/Errors.h"

#include <algorithm>

namespace basilpoint {

using Json = nlohmann::json;

// How long a keeper is skipped after a failure if there are enough others.
static constexpr Milliseconds failurePause { 1'000 };
static constexpr Milliseconds dropTimeout { 500 };

std::string encodeEntries(const std::vector<JournalEntry>& entries)
{
    Json json = Json::array();
    for (const JournalEntry& it : entries)
        json.push_back(bytesToJson(encodeEntry(it)));
    return toCbor(json);
}

std::vector<JournalEntry> decodeEntries(const std::string& text)
{
    std::vector<JournalEntry> entries;
    try {
        for (const Json& it : Json::from_cbor(text))
            entries.push_back(decodeEntry(bytesFromJson(it)));
    } catch (const Json::exception&) {
        throw DamagedRecordError("journal entries");
    }
    return entries;
}

std::string encodePrograms(const std::set<ProgramId>& programs)
{
    Json json = Json::array();
    for (const ProgramId& it : programs)
        json.push_back(it.text());
    return toCbor(json);
}

std::set<ProgramId> decodePrograms(const std::string& text)
{
    std::set<ProgramId> programs;
    try {
        for (const Json& it : Json::from_cbor(text))
            programs.insert(ProgramId(it.get<std::string>()));
    } catch (const Json::exception&) {
        throw DamagedRecordError("programs with grants");
    }
    return programs;
}

/// A request to all keepers and its answers.
struct TurnJournalClient::Round {
    std::size_t asked = 0;
    std::size_t ended = 0;
    std::vector<std::string> answers;
    FiberSignal changed;
};

TurnJournalClient::TurnJournalClient(HttpClient& client, unsigned tolerated, const Clock& clock, JsonLog& log)
    : m_client(client)
    , m_tolerated(tolerated)
    , m_clock(clock)
    , m_log(log)
{
}

void TurnJournalClient::setRelays(const std::vector<RelayAddress>& relays)
{
    m_keepers = filterRelays(relays, true);
}

std::vector<RelayAddress> TurnJournalClient::responsiveKeepers() const
{
    std::vector<RelayAddress> likely;
    std::copy_if(m_keepers.begin(), m_keepers.end(), std::back_inserter(likely), [&](const RelayAddress& it) {
        auto failed = m_failedAt.find(it.instance);
        return failed == m_failedAt.end() || m_clock.now() - failed->second > failurePause;
    });
    return likely.size() > m_tolerated ? likely : m_keepers;
}

std::shared_ptr<TurnJournalClient::Round> TurnJournalClient::ask(const char* path, const std::string& body, TimePoint deadline)
{
    auto round = std::make_shared<Round>();
    std::vector<RelayAddress> keepers = responsiveKeepers();
    round->asked = keepers.size();
    auto timeout = std::chrono::duration_cast<Milliseconds>(deadline - m_clock.now());
    for (const RelayAddress& keeper : keepers) {
        spawnFiber([this, round, path, body, keeper, timeout] {
            try {
                round->answers.push_back(callPeer(m_client, keeper.endpoint, path, body, timeout));
                m_failedAt.erase(keeper.instance);
            } catch (const PeerUnavailableError& error) {
                m_failedAt[keeper.instance] = m_clock.now();
                m_log.write(LogLine("keeper-failed").field("keeper", keeper.instance).field("call", path).field("reason", error.what()));
            }
            ++round->ended;
            round->changed.notifyAll();
        });
    }
    return round;
}

bool TurnJournalClient::awaitAnswers(Round& round, std::size_t needed)
{
    while (round.answers.size() < needed && round.ended < round.asked)
        round.changed.wait();
    return round.answers.size() >= needed;
}

bool TurnJournalClient::append(const std::vector<JournalEntry>& entries, TimePoint deadline)
{
    std::size_t needed = m_tolerated + 1;
    if (m_keepers.size() < needed || m_clock.now() >= deadline)
        return false;
    auto round = ask(peerpaths::journalAppend, encodeEntries(entries), deadline);
    return awaitAnswers(*round, needed);
}

std::optional<std::vector<JournalEntry>> TurnJournalClient::find(const CallId& turn, TimePoint deadline)
{
    std::vector<JournalEntry> found;
    if (m_keepers.empty() || m_clock.now() >= deadline)
        return std::nullopt;
    std::size_t needed = m_keepers.size() > m_tolerated ? m_keepers.size() - m_tolerated : 1;
    auto round = ask(peerpaths::journalFind, turn.text(), deadline);
    std::size_t read = 0;
    for (;;) {
        for (; read < round->answers.size(); ++read)
            for (JournalEntry& it : decodeEntries(round->answers[read]))
                found.push_back(std::move(it));
        // An entry that was found is valid, but its absence is certain only once enough keepers have answered.
        if (!found.empty() || read >= needed)
            return found;
        if (round->ended == round->asked)
            return std::nullopt;
        round->changed.wait();
    }
}

std::optional<std::vector<std::string>> TurnJournalClient::askEnough(const char* path, const std::string& body, TimePoint deadline)
{
    if (m_keepers.size() <= m_tolerated || m_clock.now() >= deadline)
        return std::nullopt;
    std::size_t needed = m_keepers.size() - m_tolerated;
    auto round = ask(path, body, deadline);
    return awaitAnswers(*round, needed) ? std::optional(round->answers) : std::nullopt;
}

std::optional<std::vector<JournalEntry>> TurnJournalClient::grantsOf(const ProgramId& program, TimePoint deadline)
{
    auto answers = askEnough(peerpaths::journalGrants, program.text(), deadline);
    if (!answers)
        return std::nullopt;
    std::vector<JournalEntry> grants;
    for (const std::string& it : *answers)
        for (JournalEntry& entry : decodeEntries(it))
            grants.push_back(std::move(entry));
    return grants;
}

std::optional<TokenCount> TurnJournalClient::grantedSoFar(const ProgramId& program, TimePoint deadline)
{
    auto grants = grantsOf(program, deadline);
    return grants ? std::optional(grantedTokens(*grants)) : std::nullopt;
}

std::optional<TokenCount> TurnJournalClient::outstanding(const ProgramId& program, TimePoint deadline)
{
    auto grants = grantsOf(program, deadline);
    return grants ? std::optional(outstandingTokens(*grants)) : std::nullopt;
}

std::optional<std::set<ProgramId>> TurnJournalClient::outstandingPrograms(TimePoint deadline)
{
    auto answers = askEnough(peerpaths::journalOutstanding, {}, deadline);
    if (!answers)
        return std::nullopt;
    std::set<ProgramId> programs;
    for (const std::string& it : *answers)
        programs.merge(decodePrograms(it));
    return programs;
}

JournalEntry grantStoredEntry(const ProgramId& program, const DaemonLifetime& daemon, std::uint64_t grant, WallTimePoint keepUntil)
{
    return { program, daemon, { { AccountChange::Kind::GrantStored, grant + 2, 0, 0, 0, ProgramAccount::unlimited, keepUntil, {}, grant } } };
}

void TurnJournalClient::grantStored(const ProgramId& program, const DaemonLifetime& daemon, std::uint64_t grant, WallTimePoint keepUntil)
{
    ask(peerpaths::journalAppend, encodeEntries({ grantStoredEntry(program, daemon, grant, keepUntil) }), m_clock.now() + dropTimeout);
}

// The grant is written before the total is checked against the allowance, so of two concurrent grants at least the
// later one sees both; a grant that sees the allowance exceeded is ended unused. The allowance is determined again
// after the write, since a daemon on whose attestation it was based may have reached the store in the meantime and
// have counted the outstanding grants before this one was written.
std::optional<TokenCount> TurnJournalClient::grant(const GrantRequest& request, TimePoint deadline, const AllowanceHook& allowanceOf)
{
    TokenCount allowance = allowanceOf();
    auto before = grantedSoFar(request.program, deadline);
    if (!before || *before + request.minTokens > allowance)
        return std::nullopt;
    TokenCount tokens = std::min(request.maxTokens, allowance - *before);
    JournalEntry entry { request.program, request.daemon, { { AccountChange::Kind::Grant, request.step, tokens, 0, 0, ProgramAccount::unlimited, request.keepUntil } } };
    if (!append({ entry }, deadline))
        return std::nullopt;
    // One turn's tokens are allowed regardless of the account.
    if (allowance > request.maxTokens)
        allowance = allowanceOf();
    auto after = grantedSoFar(request.program, deadline);
    if (after && *after <= allowance)
        return tokens;
    endGrant(request, 0, deadline);
    return std::nullopt;
}

JournalEntry TurnJournalClient::grantEnd(const GrantRequest& request, TokenCount used)
{
    return { request.program, request.daemon, { { AccountChange::Kind::GrantEnd, request.step + 1, 0, used, 0, ProgramAccount::unlimited, request.keepUntil, {}, request.step } } };
}

void TurnJournalClient::endGrant(const GrantRequest& request, TokenCount used, TimePoint deadline)
{
    append({ grantEnd(request, used) }, deadline);
}

void TurnJournalClient::drop(const EntryName& name)
{
    ask(peerpaths::journalDrop, encodeOperation({ JournalOperation::Kind::Drop, {}, name }), m_clock.now() + dropTimeout);
}

} // namespace basilpoint
