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

/// A log is the entries of rising terms, each without a gap from its first one on.
static std::optional<std::string> findMixedLog(const Acting& acting)
{
    const LedgerEntry* previous = nullptr;
    for (const LedgerEntry& entry : acting.log) {
        bool continues = previous && previous->term == entry.term && previous->sequence + 1 == entry.sequence;
        bool begins = entry.sequence == 1 && (!previous || previous->term < entry.term);
        if (!continues && !begins)
            return "log of " + describe(acting.term) + " is mixed at " + describe(entry.term) + "/" + std::to_string(entry.sequence);
        previous = &entry;
    }
    return {};
}

static std::optional<std::string> findLostEntry(const Acting& acting, const std::vector<LedgerEntry>& lasting)
{
    for (const LedgerEntry& entry : lasting) {
        if (entry.term >= acting.term || entry.term.epoch <= acting.lostThrough)
            continue;
        if (std::find(acting.log.begin(), acting.log.end(), entry) == acting.log.end())
            return describe(acting.term) + " acts without " + entry.key + " of " + describe(entry.term);
    }
    return {};
}

std::optional<std::string> findViolation(const History& history)
{
    std::map<std::string, unsigned> effects;
    std::vector<LedgerEntry> lasting;
    for (const HistoryEvent& event : history) {
        if (const auto* it = std::get_if<Lasting>(&event))
            lasting.push_back(it->entry);
        const auto* dispatched = std::get_if<Dispatched>(&event);
        if (dispatched && ++effects[dispatched->key] > 1)
            return "request " + dispatched->key + " ran twice";
    }
    for (const HistoryEvent& event : history) {
        const auto* acting = std::get_if<Acting>(&event);
        if (!acting)
            continue;
        if (auto violation = findMixedLog(*acting))
            return violation;
        // Acknowledgements that come after the newer owner began count as well.
        if (auto violation = findLostEntry(*acting, lasting))
            return violation;
    }
    return {};
}

} // namespace basilpoint::test
