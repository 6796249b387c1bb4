#include "basilpoint/Gateway/KeeperView.h"

#include "basilpoint/Support/Error.h"
#include "basilpoint/Support/Hash.h"
#include "basilpoint/Turns/Errors.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

InstanceNames namesOf(const std::vector<RelayAddress>& keepers)
{
    InstanceNames names;
    for (const RelayAddress& it : keepers)
        names.insert(it.instance);
    return names;
}

bool KeeperView::contains(const std::string& instance) const
{
    auto isInstance = [&](const RelayAddress& it) { return it.instance == instance; };
    return std::any_of(members.begin(), members.end(), isInstance) || std::any_of(previous.begin(), previous.end(), isInstance);
}

std::vector<RelayAddress> KeeperView::all() const
{
    std::vector<RelayAddress> keepers = members;
    for (const RelayAddress& it : previous)
        if (!namesOf(members).contains(it.instance))
            keepers.push_back(it);
    return keepers;
}

// Rendezvous hashing: a member that joins or leaves changes the committees of few programs, and only by itself.
static std::vector<RelayAddress> committeeIn(const std::vector<RelayAddress>& members, const ProgramId& program, unsigned tolerated)
{
    std::size_t size = committeeSize(tolerated);
    if (members.size() <= size)
        return members;
    std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
    ranks.reserve(members.size());
    for (std::size_t n = 0; n < members.size(); ++n)
        ranks.emplace_back(hash64(members[n].instance + '/' + program.text()), n);
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(size), ranks.end());
    std::vector<RelayAddress> committee;
    for (std::size_t n = 0; n < size; ++n)
        committee.push_back(members[ranks[n].second]);
    return committee;
}

KeeperView KeeperView::committeeOf(const ProgramId& program, unsigned tolerated) const
{
    return { version, committeeIn(members, program, tolerated), committeeIn(previous, program, tolerated) };
}

bool KeeperView::keeps(const std::string& instance, const ProgramId& program, unsigned tolerated) const
{
    return committeeOf(program, tolerated).contains(instance);
}

bool KeeperView::movesEntriesOf(const ProgramId& program, unsigned tolerated) const
{
    KeeperView committees = committeeOf(program, tolerated);
    return isJoint() && namesOf(committees.members) != namesOf(committees.previous);
}

static std::size_t countIn(const std::vector<RelayAddress>& members, const InstanceNames& keepers)
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const RelayAddress& it) { return keepers.contains(it.instance); }));
}

static bool hasWriteQuorum(const std::vector<RelayAddress>& members, const InstanceNames& keepers, unsigned tolerated)
{
    return countIn(members, keepers) > tolerated;
}

// Members that are too few for a write quorum accept no entries. Each of them has all entries of the members before
// them, so one answer is enough.
static std::size_t readQuorumSize(std::size_t members, unsigned tolerated)
{
    return members > tolerated ? members - tolerated : std::min<std::size_t>(members, 1);
}

static bool hasReadQuorum(const std::vector<RelayAddress>& members, const InstanceNames& keepers, unsigned tolerated)
{
    return countIn(members, keepers) >= readQuorumSize(members.size(), tolerated);
}

bool isWriteQuorum(const KeeperView& view, const InstanceNames& keepers, unsigned tolerated)
{
    return hasWriteQuorum(view.members, keepers, tolerated) && (!view.isJoint() || hasWriteQuorum(view.previous, keepers, tolerated));
}

bool isReadQuorum(const KeeperView& view, const InstanceNames& keepers, unsigned tolerated)
{
    return !view.members.empty() && hasReadQuorum(view.members, keepers, tolerated) && hasReadQuorum(view.previous, keepers, tolerated);
}

// The others are too few for a read quorum and for a write quorum of the previous members.
bool isSealed(const KeeperView& joint, const InstanceNames& keepers, unsigned tolerated)
{
    std::size_t remaining = joint.previous.size() - countIn(joint.previous, keepers);
    bool mayRead = remaining >= readQuorumSize(joint.previous.size(), tolerated);
    bool mayWrite = remaining > tolerated;
    return !mayRead && !mayWrite;
}

KeeperView beginChange(const KeeperView& view, std::vector<RelayAddress> members)
{
    std::sort(members.begin(), members.end());
    KeeperView next { view.version + 1, std::move(members), view.isJoint() ? view.previous : view.members };
    if (next.members == next.previous)
        next.previous.clear();
    return next;
}

KeeperView completeChange(const KeeperView& joint)
{
    return { joint.version + 1, joint.members };
}

static Json addressesToJson(const std::vector<RelayAddress>& addresses)
{
    Json json = Json::array();
    for (const RelayAddress& it : addresses)
        json.push_back({ { "instance", it.instance }, { "dataCentre", it.dataCentre.text() }, { "address", it.endpoint.text() } });
    return json;
}

static std::vector<RelayAddress> addressesFrom(const Json& json)
{
    std::vector<RelayAddress> addresses;
    for (const Json& it : json)
        addresses.push_back({ it.at("instance").get<std::string>(), DataCentreId(it.at("dataCentre").get<std::string>()), parseEndpoint("address", it.at("address").get<std::string>()), true });
    return addresses;
}

std::string encodeView(const KeeperView& view)
{
    Json json { { "version", view.version }, { "members", addressesToJson(view.members) } };
    if (view.isJoint())
        json["previous"] = addressesToJson(view.previous);
    return json.dump();
}

KeeperView decodeView(const std::string& text)
{
    try {
        Json json = Json::parse(text);
        KeeperView view { json.at("version").get<std::uint64_t>(), addressesFrom(json.at("members")) };
        if (json.contains("previous"))
            view.previous = addressesFrom(json["previous"]);
        return view;
    } catch (const Json::exception&) {
        throw DamagedRecordError("view of the keepers");
    } catch (const InvalidInputError&) {
        throw DamagedRecordError("view of the keepers");
    }
}

} // namespace basilpoint
