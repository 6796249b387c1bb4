#include "History.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace basilpoint::test {

std::string encodeEntry(const LedgerEntry& entry)
{
    return std::to_string(entry.term.epoch.value()) + " " + entry.term.owner.text() + " " + std::to_string(entry.sequence) + " " + entry.key + "\n";
}

std::string encodeSnapshot(const std::vector<LedgerEntry>& entries)
{
    std::string buf;
    for (const LedgerEntry& entry : entries)
        buf += encodeEntry(entry);
    return buf;
}

std::vector<LedgerEntry> decodeLog(const std::vector<std::string>& entries)
{
    std::vector<LedgerEntry> log;
    for (const std::string& text : entries) {
        std::istringstream in(text);
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::string owner;
        std::string key;
        while (in >> epoch >> owner >> sequence >> key)
            log.push_back({ { Epoch(epoch), InstanceId(owner) }, sequence, key });
    }
    return log;
}

static std::string describe(const OwnerTag& term)
{
    return term.owner.text() + "@" + std::to_string(term.epoch.value());
}

/// Checks that the terms ascend and that the entries of each term are numbered from 1 without a gap.
static std::optional<std::string> findInconsistentLog(const OwnerStarted& started)
{
    const LedgerEntry* previous = nullptr;
    for (const LedgerEntry& entry : started.log) {
        bool continues = previous && previous->term == entry.term && previous->sequence + 1 == entry.sequence;
        bool begins = entry.sequence == 1 && (!previous || previous->term < entry.term);
        if (!continues && !begins)
            return "log of " + describe(started.term) + " is inconsistent at " + describe(entry.term) + "/" + std::to_string(entry.sequence);
        previous = &entry;
    }
    return {};
}

static std::optional<std::string> findLostEntry(const OwnerStarted& started, const std::vector<LedgerEntry>& acknowledged)
{
    for (const LedgerEntry& entry : acknowledged) {
        if (entry.term >= started.term || entry.term.epoch <= started.lostThrough)
            continue;
        if (std::find(started.log.begin(), started.log.end(), entry) == started.log.end())
            return describe(started.term) + " started without " + entry.key + " of " + describe(entry.term);
    }
    return {};
}

std::optional<std::string> findViolation(const History& history)
{
    std::map<std::string, unsigned> effects;
    std::vector<LedgerEntry> acknowledged;
    for (const HistoryEvent& event : history) {
        if (const auto* it = std::get_if<EntryAcknowledged>(&event))
            acknowledged.push_back(it->entry);
        const auto* dispatched = std::get_if<Dispatched>(&event);
        if (dispatched && ++effects[dispatched->key] > 1)
            return "request " + dispatched->key + " ran twice";
    }
    for (const HistoryEvent& event : history) {
        const auto* started = std::get_if<OwnerStarted>(&event);
        if (!started)
            continue;
        if (auto violation = findInconsistentLog(*started))
            return violation;
        // Includes entries that were acknowledged only after the newer owner started.
        if (auto violation = findLostEntry(*started, acknowledged))
            return violation;
    }
    return {};
}

} // namespace basilpoint::test
