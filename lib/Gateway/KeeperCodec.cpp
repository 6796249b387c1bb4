#include "KeeperCodec.h"

#include "basilpoint/Support/Cbor.h"
#include "basilpoint/Turns/Errors.h"

namespace basilpoint {

using Json = nlohmann::json;

template <typename Read>
static auto decodeCbor(const char* what, const std::string& bytes, Read read)
{
    try {
        return read(parseCbor(bytes));
    } catch (const Json::exception&) {
        throw DamagedRecordError(what);
    }
}

static Json entriesToJson(const std::vector<JournalEntry>& entries)
{
    Json json = Json::array();
    for (const JournalEntry& it : entries)
        json.push_back(bytesToJson(encodeEntry(it)));
    return json;
}

static std::vector<JournalEntry> entriesFrom(const Json& json)
{
    std::vector<JournalEntry> entries;
    for (const Json& it : json)
        entries.push_back(decodeEntry(bytesFromJson(it)));
    return entries;
}

std::string encodeRequest(const KeeperRequest& request)
{
    Json json { { "n", request.version }, { "b", bytesToJson(request.body) } };
    if (request.view)
        json["v"] = encodeView(*request.view);
    return toCbor(json);
}

KeeperRequest decodeRequest(const std::string& bytes)
{
    return decodeCbor("keeper request", bytes, [](const Json& json) {
        KeeperRequest request { json.at("n").get<std::uint64_t>(), std::nullopt, bytesFromJson(json.at("b")) };
        if (json.contains("v"))
            request.view = decodeView(json["v"].get<std::string>());
        return request;
    });
}

std::string encodeAnswer(const KeeperAnswer& answer)
{
    Json json { { "b", bytesToJson(answer.body) }, { "u", answer.needsView } };
    if (answer.newerView)
        json["v"] = encodeView(*answer.newerView);
    return toCbor(json);
}

KeeperAnswer decodeAnswer(const std::string& bytes)
{
    return decodeCbor("keeper answer", bytes, [](const Json& json) {
        KeeperAnswer answer { std::nullopt, json.at("u").get<bool>(), bytesFromJson(json.at("b")) };
        if (json.contains("v"))
            answer.newerView = decodeView(json["v"].get<std::string>());
        return answer;
    });
}

std::string encodeContents(const JournalContents& contents)
{
    return toCbor({ { "s", contents.isSynchronized }, { "f", contents.folder }, { "e", entriesToJson(contents.entries) } });
}

JournalContents decodeContents(const std::string& bytes)
{
    return decodeCbor("journal contents", bytes, [](const Json& json) {
        return JournalContents { json.at("s").get<bool>(), json.at("f").get<std::string>(), entriesFrom(json.at("e")) };
    });
}

std::string encodeTransfer(const JournalTransfer& transfer)
{
    return toCbor({ { "v", transfer.version }, { "f", transfer.folder }, { "e", entriesToJson(transfer.entries) }, { "l", transfer.isLast } });
}

JournalTransfer decodeTransfer(const std::string& bytes)
{
    return decodeCbor("journal transfer", bytes, [](const Json& json) {
        return JournalTransfer { json.at("v").get<std::uint64_t>(), json.at("f").get<std::string>(), entriesFrom(json.at("e")), json.at("l").get<bool>() };
    });
}

std::string encodeProbe(const KeeperProbe& probe)
{
    Json json { { "n", probe.version } };
    if (probe.candidate)
        json["c"] = encodeView({ 0, { *probe.candidate } });
    return toCbor(json);
}

KeeperProbe decodeProbe(const std::string& bytes)
{
    return decodeCbor("keeper probe", bytes, [](const Json& json) {
        KeeperProbe probe { json.at("n").get<std::uint64_t>(), std::nullopt };
        if (json.contains("c")) {
            KeeperView candidates = decodeView(json["c"].get<std::string>());
            if (candidates.members.size() != 1)
                throw DamagedRecordError("keeper probe");
            probe.candidate = candidates.members.front();
        }
        return probe;
    });
}

std::string encodeReport(const KeeperReport& report, std::uint64_t knownVersion)
{
    bool isNewer = report.view.version > knownVersion;
    return toCbor({ { "v", encodeView(isNewer ? report.view : KeeperView { report.view.version, {} }) }, { "s", report.silent }, { "l", report.isLeaving } });
}

KeeperReport decodeReport(const std::string& bytes)
{
    return decodeCbor("keeper report", bytes, [](const Json& json) {
        return KeeperReport { decodeView(json.at("v").get<std::string>()), json.at("s").get<InstanceNames>(), json.at("l").get<bool>() };
    });
}

std::string encodeEntries(const std::vector<JournalEntry>& entries)
{
    return toCbor(entriesToJson(entries));
}

std::vector<JournalEntry> decodeEntries(const std::string& bytes)
{
    return decodeCbor("journal entries", bytes, entriesFrom);
}

std::string encodePrograms(const std::set<ProgramId>& programs)
{
    Json json = Json::array();
    for (const ProgramId& it : programs)
        json.push_back(it.text());
    return toCbor(json);
}

std::set<ProgramId> decodePrograms(const std::string& bytes)
{
    return decodeCbor("programs with grants", bytes, [](const Json& json) {
        std::set<ProgramId> programs;
        for (const Json& it : json)
            programs.insert(ProgramId(it.get<std::string>()));
        return programs;
    });
}

} // namespace basilpoint
