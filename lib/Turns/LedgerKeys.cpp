#include "LedgerKeys.h"

#include "basilpoint/Support/Hash.h"
#include "basilpoint/Turns/TurnLedger.h"

#include <algorithm>
#include <cctype>

namespace basilpoint {

using namespace ledgerkeys;

static constexpr std::size_t longestIdInKey = 64;
static constexpr std::string_view programsPrefix = "programs/";

// Ids are chosen by callers; one that is too long or has characters unsuitable for a key is replaced by its digest.
std::string ledgerkeys::keyPart(const std::string& id)
{
    bool plain = !id.empty() && id.size() <= longestIdInKey && std::all_of(id.begin(), id.end(), [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; });
    return plain ? id : "~" + digestOf(id).text();
}

std::string TurnLedger::accountKey(const ProgramId& program)
{
    return programPrefix(program) + "account";
}

std::string ledgerkeys::turnPrefix(const ProgramId& program)
{
    return TurnLedger::programPrefix(program) + "turn/";
}

std::string ledgerkeys::splitTurnPrefix(const ProgramId& program)
{
    return TurnLedger::programPrefix(program) + "split/";
}

std::string ledgerkeys::piecePrefix(const ProgramId& program)
{
    return TurnLedger::programPrefix(program) + "piece/";
}

std::string TurnLedger::programPrefix(const ProgramId& program)
{
    return std::string(programsPrefix) + keyPart(program.text()) + "/";
}

std::string TurnLedger::programPrefixOf(const std::string& key)
{
    if (!key.starts_with(programsPrefix))
        return {};
    auto end = key.find('/', programsPrefix.size());
    return end == std::string::npos ? std::string() : key.substr(0, end + 1);
}

std::string TurnLedger::turnKey(const ProgramId& program, const CallId& turn)
{
    return turnPrefix(program) + keyPart(turn.text());
}

std::string TurnLedger::originKey(const CallId& turn)
{
    return "turns/" + keyPart(turn.text());
}

} // namespace basilpoint
