#include "TurnJournalClient.h"

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

/// A request to keepers of one view and its answers.
struct TurnJournalClient::Round {
    KeeperView view;
    /// The part of the view whose quorums count.
    KeeperView scope;
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

KeeperView TurnJournalClient::scopeOf(const Query& query) const
{
    return query.program ? m_view.committeeOf(*query.program, m_tolerated) : m_view;
}

std::vector<RelayAddress> TurnJournalClient::responsiveKeepers(const KeeperView& scope, const Quorum& isQuorum) const
{
    std::vector<RelayAddress> all = scope.all();
    std::vector<RelayAddress> likely;
    std::copy_if(all.begin(), all.end(), std::back_inserter(likely), [&](const RelayAddress& it) {
        auto failed = m_failedAt.find(it.instance);
        return failed == m_failedAt.end() || m_clock.now() - failed->second > failurePause;
    });
    return isQuorum(scope, namesOf(likely), m_tolerated) ? likely : all;
}

// The view is sent only to keepers that do not know it, since it names every keeper.
KeeperAnswer TurnJournalClient::callKeeper(const Round& round, const RelayAddress& keeper, const Query& query, TimePoint deadline)
{
    auto call = [&](const std::optional<KeeperView>& view) {
        auto timeout = std::chrono::duration_cast<Milliseconds>(deadline - m_clock.now());
        return decodeAnswer(callPeer(m_client, keeper.endpoint, query.path, encodeRequest({ round.view.version, view, query.body }), timeout));
    };
    KeeperAnswer answer = call(std::nullopt);
    return answer.needsView ? call(round.view) : answer;
}

void TurnJournalClient::ask(const std::shared_ptr<Round>& round, const RelayAddress& keeper, const Query& query, TimePoint deadline)
{
    try {
        KeeperAnswer answer = callKeeper(*round, keeper, query, deadline);
        m_failedAt.erase(keeper.instance);
        if (answer.newerView) {
            setView(*answer.newerView);
            round->isViewOutdated = true;
        } else if (!answer.needsView) {
            round->answers[keeper.instance] = std::move(answer.body);
            round->answering.insert(keeper.instance);
        }
    } catch (const Error& error) {
        m_failedAt[keeper.instance] = m_clock.now();
        m_log.write(LogLine("keeper-failed").field("keeper", keeper.instance).field("call", query.path).field("reason", error.what()));
    }
    ++round->ended;
    round->changed.notifyAll();
}

std::shared_ptr<TurnJournalClient::Round> TurnJournalClient::askAll(const std::vector<RelayAddress>& keepers, const Query& query, const KeeperView& scope, TimePoint deadline)
{
    auto round = std::make_shared<Round>();
    round->view = m_view;
    round->scope = scope;
    round->asked = keepers.size();
    auto shared = std::make_shared<const Query>(query);
    for (const RelayAddress& keeper : keepers)
        spawnFiber([this, round, keeper, shared, deadline] { ask(round, keeper, *shared, deadline); });
    return round;
}

// Keepers that know a newer view refuse the call, so that it is repeated with that view. Keepers that failed recently
// are asked only if the others are no quorum or form none.
bool TurnJournalClient::askQuorum(const Query& query, TimePoint deadline, const Quorum& isQuorum, const AnswerHook& onAnswers)
{
    bool isAskingAll = false;
    for (int n = 0; n < maxRounds && m_clock.now() < deadline; ++n) {
        KeeperView scope = scopeOf(query);
        std::vector<RelayAddress> all = scope.all();
        if (!isQuorum(scope, namesOf(all), m_tolerated))
            break;
        std::vector<RelayAddress> keepers = isAskingAll ? all : responsiveKeepers(scope, isQuorum);
        auto round = askAll(keepers, query, scope, deadline);
        for (;;) {
            if (onAnswers(round->answers))
                return true;
            if (round->isViewOutdated)
                break;
            if (isQuorum(round->scope, round->answering, m_tolerated))
                return true;
            if (round->ended == round->asked)
                break;
            round->changed.wait();
        }
        if (!round->isViewOutdated && keepers.size() == all.size())
            break;
        isAskingAll = !round->isViewOutdated;
    }
    m_log.write(LogLine("keepers-no-quorum").field("call", query.path).field("version", m_view.version).field("members", m_view.members.size()).field("previous", m_view.previous.size()).field("tolerated", m_tolerated));
    return false;
}

bool TurnJournalClient::append(const std::vector<JournalEntry>& entries, TimePoint deadline)
{
    return askQuorum({ peerpaths::journalAppend, encodeEntries(entries), entries.front().program }, deadline, isWriteQuorum, [](const Answers&) { return false; });
}

// Ends of grants only release tokens, so members that are too few for a write quorum take them as well.
static bool isQuorumForEnds(const KeeperView& view, const InstanceNames& keepers, unsigned tolerated)
{
    InstanceNames all = namesOf(view.all());
    return isWriteQuorum(view, keepers, tolerated) || std::includes(keepers.begin(), keepers.end(), all.begin(), all.end());
}

void TurnJournalClient::appendEnd(const JournalEntry& end, TimePoint deadline)
{
    askQuorum({ peerpaths::journalAppend, encodeEntries({ end }), end.program }, deadline, isQuorumForEnds, [](const Answers&) { return false; });
}

std::optional<std::vector<JournalEntry>> TurnJournalClient::findTurn(const Query& query, TimePoint deadline)
{
    std::vector<JournalEntry> found;
    // An entry that was found is valid, but its absence is certain only once enough keepers have answered.
    bool isCertain = askQuorum(query, deadline, isReadQuorum, [&](const Answers& answers) {
        found.clear();
        for (const auto& [keeper, answer] : answers)
            for (JournalEntry& it : decodeEntries(answer))
                found.push_back(std::move(it));
        return !found.empty();
    });
    return isCertain ? std::optional(std::move(found)) : std::nullopt;
}

std::optional<std::vector<JournalEntry>> TurnJournalClient::find(const ProgramId& program, const CallId& turn, TimePoint deadline)
{
    return findTurn({ peerpaths::journalFind, turn.text(), program }, deadline);
}

std::optional<std::vector<JournalEntry>> TurnJournalClient::findInAll(const ProgramId& likely, const CallId& turn, TimePoint deadline)
{
    auto entries = find(likely, turn, deadline);
    bool areAllAsked = std::max(m_view.members.size(), m_view.previous.size()) <= committeeSize(m_tolerated);
    if (!entries || !entries->empty() || areAllAsked)
        return entries;
    return findTurn({ peerpaths::journalFind, turn.text(), std::nullopt }, deadline);
}

std::optional<TurnJournalClient::Answers> TurnJournalClient::readAll(const Query& query, TimePoint deadline)
{
    Answers answers;
    bool isCertain = askQuorum(query, deadline, isReadQuorum, [&](const Answers& received) {
        answers = received;
        return false;
    });
    return isCertain ? std::optional(std::move(answers)) : std::nullopt;
}

static std::vector<JournalEntry> entriesIn(const std::map<std::string, std::string>& answers)
{
    std::vector<JournalEntry> entries;
    for (const auto& [keeper, answer] : answers)
        for (JournalEntry& entry : decodeEntries(answer))
            entries.push_back(std::move(entry));
    return entries;
}

std::optional<std::vector<JournalEntry>> TurnJournalClient::grantsOf(const ProgramId& program, TimePoint deadline)
{
    auto answers = readAll({ peerpaths::journalGrants, program.text(), program }, deadline);
    return answers ? std::optional(entriesIn(*answers)) : std::nullopt;
}

std::optional<std::vector<JournalEntry>> TurnJournalClient::appendGrant(const JournalEntry& grant, TimePoint deadline)
{
    Answers answers;
    auto isQuorum = [](const KeeperView& view, const InstanceNames& keepers, unsigned tolerated) { return isWriteQuorum(view, keepers, tolerated) && isReadQuorum(view, keepers, tolerated); };
    bool isKept = askQuorum({ peerpaths::journalGrant, encodeEntries({ grant }), grant.program }, deadline, isQuorum, [&](const Answers& received) {
        answers = received;
        return false;
    });
    return isKept ? std::optional(entriesIn(answers)) : std::nullopt;
}

std::optional<TokenCount> TurnJournalClient::outstanding(const ProgramId& program, TimePoint deadline)
{
    auto grants = grantsOf(program, deadline);
    return grants ? std::optional(outstandingTokens(*grants)) : std::nullopt;
}

std::optional<std::set<ProgramId>> TurnJournalClient::outstandingPrograms(TimePoint deadline)
{
    auto answers = readAll({ peerpaths::journalOutstanding, {}, std::nullopt }, deadline);
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

// Each keeper that takes the grant returns all grants of the program that it has then. Of two concurrent grants at least
// the later one sees both, since a keeper has both of them and takes one after the other. Until it ends, a grant counts in
// full for the others, also where less than that remains for it. The allowance is determined again after the write, since
// a daemon on whose attestation it was based may have reached the store in the meantime and have counted the outstanding
// grants before this one was written.
std::optional<TokenCount> TurnJournalClient::grant(const GrantRequest& request, TimePoint deadline, const AllowanceHook& allowanceOf)
{
    TokenCount allowance = allowanceOf();
    JournalEntry entry { request.program, request.daemon, { { AccountChange::Kind::Grant, request.step, request.maxTokens, 0, 0, ProgramAccount::unlimited, request.keepUntil } } };
    auto grants = appendGrant(entry, deadline);
    // One turn's tokens are allowed regardless of the account.
    if (grants && allowance > request.maxTokens)
        allowance = std::min(allowance, allowanceOf());
    if (grants && isReserveClosed(*grants))
        allowance = std::min(allowance, request.maxTokens);
    if (grants) {
        TokenCount others = grantedTokens(*grants) - request.maxTokens;
        TokenCount tokens = std::min(request.maxTokens, allowance - std::min(allowance, others));
        // Without that room the turn could not reserve the rest later, and its answer would be broken off.
        bool hasRoom = request.unused >= others + request.maxTokens;
        if (tokens >= (hasRoom ? request.minTokens : request.maxTokens))
            return tokens;
    }
    // Without a quorum some keepers may have the grant too, whose tokens would be withheld from the program.
    spawnFiber([this, request] { endGrant(request, 0, m_clock.now() + endTimeout); });
    return std::nullopt;
}

// As with a grant: of a grant and the closing that are taken at the same time, at least the later one sees the other.
std::optional<TokenCount> TurnJournalClient::closeReserve(const ProgramId& program, const DaemonLifetime& daemon, std::uint64_t step, WallTimePoint keepUntil, TimePoint deadline)
{
    auto grants = appendGrant({ program, daemon, { { AccountChange::Kind::ReserveClosed, step, 0, 0, 0, ProgramAccount::unlimited, keepUntil } } }, deadline);
    return grants ? std::optional(outstandingTokens(*grants)) : std::nullopt;
}

JournalEntry TurnJournalClient::grantEnd(const GrantRequest& request, TokenCount used)
{
    return { request.program, request.daemon, { { AccountChange::Kind::GrantEnd, request.step + 1, 0, used, 0, ProgramAccount::unlimited, request.keepUntil, {}, request.step } } };
}

void TurnJournalClient::endGrant(const GrantRequest& request, TokenCount used, TimePoint deadline)
{
    appendEnd(grantEnd(request, used), deadline);
}

void TurnJournalClient::drop(const ProgramId& program, const EntryName& name)
{
    Query query { peerpaths::journalDrop, encodeOperation({ JournalOperation::Kind::Drop, {}, name }), program };
    KeeperView scope = scopeOf(query);
    askAll(scope.all(), query, scope, m_clock.now() + dropTimeout);
}

} // namespace basilpoint
