#include "TurnJournalClient.h"

#include "KeeperCodec.h"
#include "PeerCall.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Turns/Errors.h"

#include <algorithm>

namespace basilpoint {

// How long a keeper is skipped after a failure if there are enough others.
static constexpr Milliseconds failurePause { 1'000 };
static constexpr Milliseconds dropTimeout { 500 };
static constexpr Milliseconds endTimeout { 500 };
// A change of the membership has two views, and each may need a second round.
static constexpr int maxRounds = 6;

/// A request to all keepers of one view and its answers.
struct TurnJournalClient::Round {
    KeeperView view;
    std::size_t asked = 0;
    std::size_t ended = 0;
    std::map<std::string, std::string> answers;
    InstanceNames answering;
    bool isViewOutdated = false;
    FiberSignal changed;
};

TurnJournalClient::TurnJournalClient(HttpClient& client, unsigned tolerated, const Clock& clock, JsonLog& log)
    : m_client(client)
    , m_tolerated(tolerated)
    , m_clock(clock)
    , m_log(log)
{
}

void TurnJournalClient::setView(const KeeperView& view)
{
    if (view.version <= m_view.version)
        return;
    m_view = view;
    m_log.write(LogLine("keepers-view").field("version", view.version).field("members", view.members.size()).field("previous", view.previous.size()).field("tolerated", m_tolerated));
}

std::vector<RelayAddress> TurnJournalClient::responsiveKeepers(const Quorum& isQuorum) const
{
    std::vector<RelayAddress> all = m_view.all();
    std::vector<RelayAddress> likely;
    std::copy_if(all.begin(), all.end(), std::back_inserter(likely), [&](const RelayAddress& it) {
        auto failed = m_failedAt.find(it.instance);
        return failed == m_failedAt.end() || m_clock.now() - failed->second > failurePause;
    });
    return isQuorum(m_view, namesOf(likely), m_tolerated) ? likely : all;
}

void TurnJournalClient::ask(const std::shared_ptr<Round>& round, const RelayAddress& keeper, const char* path, const std::string& request, Milliseconds timeout)
{
    try {
        KeeperAnswer answer = decodeAnswer(callPeer(m_client, keeper.endpoint, path, request, timeout));
        m_failedAt.erase(keeper.instance);
        if (answer.newerView) {
            setView(*answer.newerView);
            round->isViewOutdated = true;
        } else {
            round->answers[keeper.instance] = std::move(answer.body);
            round->answering.insert(keeper.instance);
        }
    } catch (const Error& error) {
        m_failedAt[keeper.instance] = m_clock.now();
        m_log.write(LogLine("keeper-failed").field("keeper", keeper.instance).field("call", path).field("reason", error.what()));
    }
    ++round->ended;
    round->changed.notifyAll();
}

std::shared_ptr<TurnJournalClient::Round> TurnJournalClient::askAll(const std::vector<RelayAddress>& keepers, const char* path, const std::string& body, TimePoint deadline)
{
    auto round = std::make_shared<Round>();
    round->view = m_view;
    round->asked = keepers.size();
    std::string request = encodeRequest({ m_view, body });
    auto timeout = std::chrono::duration_cast<Milliseconds>(deadline - m_clock.now());
    for (const RelayAddress& keeper : keepers)
        spawnFiber([this, round, keeper, path, request, timeout] { ask(round, keeper, path, request, timeout); });
    return round;
}

// Keepers that know a newer view refuse the call, so that it is repeated with that view. Keepers that failed recently
// are asked only if the others are no quorum or form none.
bool TurnJournalClient::askQuorum(const char* path, const std::string& body, TimePoint deadline, const Quorum& isQuorum, const AnswerHook& onAnswers)
{
    bool isAskingAll = false;
    for (int n = 0; n < maxRounds && m_clock.now() < deadline; ++n) {
        std::vector<RelayAddress> all = m_view.all();
        if (!isQuorum(m_view, namesOf(all), m_tolerated))
            break;
        std::vector<RelayAddress> keepers = isAskingAll ? all : responsiveKeepers(isQuorum);
        auto round = askAll(keepers, path, body, deadline);
        for (;;) {
            if (onAnswers(round->answers))
                return true;
            if (round->isViewOutdated)
                break;
            if (isQuorum(round->view, round->answering, m_tolerated))
                return true;
            if (round->ended == round->asked)
                break;
            round->changed.wait();
        }
        if (!round->isViewOutdated && keepers.size() == all.size())
            break;
        isAskingAll = !round->isViewOutdated;
    }
    m_log.write(LogLine("keepers-no-quorum").field("call", path).field("version", m_view.version).field("members", m_view.members.size()).field("previous", m_view.previous.size()).field("tolerated", m_tolerated));
    return false;
}

bool TurnJournalClient::append(const std::vector<JournalEntry>& entries, TimePoint deadline)
{
    return askQuorum(peerpaths::journalAppend, encodeEntries(entries), deadline, isWriteQuorum, [](const Answers&) { return false; });
}

// Ends of grants only release tokens, so members that are too few for a write quorum take them as well.
static bool isQuorumForEnds(const KeeperView& view, const InstanceNames& keepers, unsigned tolerated)
{
    InstanceNames all = namesOf(view.all());
    return isWriteQuorum(view, keepers, tolerated) || std::includes(keepers.begin(), keepers.end(), all.begin(), all.end());
}

void TurnJournalClient::appendEnd(const JournalEntry& end, TimePoint deadline)
{
    askQuorum(peerpaths::journalAppend, encodeEntries({ end }), deadline, isQuorumForEnds, [](const Answers&) { return false; });
}

std::optional<std::vector<JournalEntry>> TurnJournalClient::find(const CallId& turn, TimePoint deadline)
{
    std::vector<JournalEntry> found;
    // An entry that was found is valid, but its absence is certain only once enough keepers have answered.
    bool isCertain = askQuorum(peerpaths::journalFind, turn.text(), deadline, isReadQuorum, [&](const Answers& answers) {
        found.clear();
        for (const auto& [keeper, answer] : answers)
            for (JournalEntry& it : decodeEntries(answer))
                found.push_back(std::move(it));
        return !found.empty();
    });
    return isCertain ? std::optional(std::move(found)) : std::nullopt;
}

std::optional<TurnJournalClient::Answers> TurnJournalClient::readAll(const char* path, const std::string& body, TimePoint deadline)
{
    Answers answers;
    bool isCertain = askQuorum(path, body, deadline, isReadQuorum, [&](const Answers& received) {
        answers = received;
        return false;
    });
    return isCertain ? std::optional(std::move(answers)) : std::nullopt;
}

std::optional<std::vector<JournalEntry>> TurnJournalClient::grantsOf(const ProgramId& program, TimePoint deadline)
{
    auto answers = readAll(peerpaths::journalGrants, program.text(), deadline);
    if (!answers)
        return std::nullopt;
    std::vector<JournalEntry> grants;
    for (const auto& [keeper, answer] : *answers)
        for (JournalEntry& entry : decodeEntries(answer))
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
    auto answers = readAll(peerpaths::journalOutstanding, {}, deadline);
    if (!answers)
        return std::nullopt;
    std::set<ProgramId> programs;
    for (const auto& [keeper, answer] : *answers)
        programs.merge(decodePrograms(answer));
    return programs;
}

JournalEntry grantStoredEntry(const ProgramId& program, const DaemonLifetime& daemon, std::uint64_t grant, WallTimePoint keepUntil)
{
    return { program, daemon, { { AccountChange::Kind::GrantStored, grant + 2, 0, 0, 0, ProgramAccount::unlimited, keepUntil, {}, grant } } };
}

void TurnJournalClient::grantStored(const ProgramId& program, const DaemonLifetime& daemon, std::uint64_t grant, WallTimePoint keepUntil)
{
    spawnFiber([this, entry = grantStoredEntry(program, daemon, grant, keepUntil)] { appendEnd(entry, m_clock.now() + dropTimeout); });
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
    if (!append({ entry }, deadline)) {
        // Some keepers may have the grant, whose tokens would be withheld from the program until it expires.
        spawnFiber([this, request] { endGrant(request, 0, m_clock.now() + endTimeout); });
        return std::nullopt;
    }
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
    appendEnd(grantEnd(request, used), deadline);
}

void TurnJournalClient::drop(const EntryName& name)
{
    askAll(m_view.all(), peerpaths::journalDrop, encodeOperation({ JournalOperation::Kind::Drop, {}, name }), m_clock.now() + dropTimeout);
}

} // namespace basilpoint
