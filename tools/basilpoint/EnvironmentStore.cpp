#include "EnvironmentStore.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr std::uint64_t historySlots = 32;
static constexpr unsigned writeAttempts = 5;
static constexpr unsigned writeIdDigits = 32;
static constexpr std::size_t maxPrintedValueLength = 60;
static const std::string historyPrefix = "/basilpoint/history/";

EditConflictError::EditConflictError(const EnvironmentId& id, Revision expected, Revision actual, std::string diff)
    : Error({ "edit-conflict", 409, Executed::No }, { { "environment", id.text() }, { "expectedRevision", std::to_string(expected.value()) }, { "actualRevision", std::to_string(actual.value()) } })
    , m_diff(std::move(diff))
{
}

EnvironmentMissingError::EnvironmentMissingError(const EnvironmentId& id, std::string what)
    : Error({ "environment-missing", 404, Executed::No }, { { "environment", id.text() }, { "missing", std::move(what) } })
{
}

static std::string historySlotKey(const EnvironmentId& id, Revision revision)
{
    return historyPrefix + id.text() + "/" + std::to_string(revision.value() % historySlots);
}

static std::string truncated(const Json& value)
{
    std::string text = value.dump();
    return text.size() <= maxPrintedValueLength ? text : text.substr(0, maxPrintedValueLength) + "...";
}

std::string describeDifferences(const std::string& before, const std::string& after)
{
    Json from = Json::parse(before.empty() ? "{}" : before);
    Json to = Json::parse(after.empty() ? "{}" : after);
    std::string text;
    for (const Json& step : Json::diff(from, to)) {
        auto pointer = step["path"].get<std::string>();
        bool isAdded = step["op"] == "add";
        std::string old = isAdded ? "(none)" : truncated(from.at(Json::json_pointer(pointer)));
        text += fmt::format("{}: {} -> {}\n", pointer, old, step.contains("value") ? truncated(step["value"]) : "(none)");
    }
    return text;
}

EnvironmentStore::EnvironmentStore(KeyValueStore& store, RandomEngine::result_type seed)
    : m_store(store)
    , m_random(seed)
{
}

EnvironmentStore::Current EnvironmentStore::read(const EnvironmentId& id)
{
    auto pair = m_store.get(environmentKey(id));
    if (!pair)
        return {};
    return { decodeStoredEnvironment(pair->value), pair->modRevision };
}

StoredEnvironment EnvironmentStore::get(const EnvironmentId& id)
{
    Current current = read(id);
    if (!current.stored)
        throw EnvironmentMissingError(id, "environment");
    return *current.stored;
}

StoredEnvironment EnvironmentStore::apply(const EnvironmentId& id, const std::string& document, Stage stage, std::optional<Revision> base)
{
    Current current = read(id);
    StoredEnvironment next = current.stored.value_or(StoredEnvironment {});
    if (base && *base != next.revision) {
        const std::string& currentDocument = stage == Stage::Trial ? next.trialDocument : next.document;
        throw EditConflictError(id, *base, next.revision, describeDifferences(currentDocument, document));
    }
    switch (stage) {
    case Stage::Trial:
        next.trialDocument = document;
        next.action = "try";
        break;
    case Stage::Production:
        next.document = document;
        next.action = "apply";
        break;
    }
    return write(id, current, std::move(next));
}

StoredEnvironment EnvironmentStore::promote(const EnvironmentId& id, const Digest& expectedDigest)
{
    Current current = read(id);
    if (!current.stored || current.stored->trialDocument.empty())
        throw EnvironmentMissingError(id, "trial");
    StoredEnvironment next = *current.stored;
    if (next.trialDigest() != expectedDigest)
        throw EditConflictError(id, next.revision, next.revision, "trial digest: " + expectedDigest.text() + " -> " + next.trialDigest().text() + "\n");
    next.document = std::exchange(next.trialDocument, {});
    next.action = "promote";
    return write(id, current, std::move(next));
}

StoredEnvironment EnvironmentStore::rollback(const EnvironmentId& id, Revision to)
{
    Current current = read(id);
    for (const StoredEnvironment& earlier : history(id)) {
        if (earlier.revision != to || earlier.document.empty())
            continue;
        StoredEnvironment next = current.stored.value_or(StoredEnvironment {});
        next.document = earlier.document;
        next.action = "rollback to " + std::to_string(to.value());
        return write(id, current, std::move(next));
    }
    throw EnvironmentMissingError(id, "revision " + std::to_string(to.value()) + " in production");
}

std::vector<StoredEnvironment> EnvironmentStore::history(const EnvironmentId& id)
{
    std::vector<StoredEnvironment> result;
    for (const KeyValue& pair : m_store.list(historyPrefix + id.text() + "/"))
        result.push_back(decodeStoredEnvironment(pair.value));
    if (Current current = read(id); current.stored)
        result.push_back(*current.stored);
    auto isNewer = [](const StoredEnvironment& a, const StoredEnvironment& b) { return a.revision > b.revision; };
    auto isSame = [](const StoredEnvironment& a, const StoredEnvironment& b) { return a.revision == b.revision; };
    std::stable_sort(result.begin(), result.end(), isNewer);
    result.erase(std::unique(result.begin(), result.end(), isSame), result.end());
    return result;
}

StoredEnvironment EnvironmentStore::write(const EnvironmentId& id, const Current& base, StoredEnvironment next)
{
    next.revision = next.revision.next();
    next.writeId = randomHex(m_random, writeIdDigits);
    if (base.stored)
        saveToHistory(id, *base.stored);
    std::string value = encodeStoredEnvironment(next);
    for (unsigned attempt = 1;; ++attempt) {
        try {
            // Retries are safe: the comparison of the key's revision lets only one write succeed.
            if (m_store.compareAndSwap(environmentKey(id), base.modRevision, value) || wasApplied(id, next))
                return next;
            throwConflict(id, base, next);
        } catch (const KeyValueUnavailableError&) {
            // The write may have taken effect; the next attempt finds out.
            if (attempt == writeAttempts)
                throw;
        }
    }
}

// A later edit may already have replaced this one; in that case it is in the history.
bool EnvironmentStore::wasApplied(const EnvironmentId& id, const StoredEnvironment& written)
{
    Current current = read(id);
    if (current.stored && current.stored->writeId == written.writeId)
        return true;
    auto archived = m_store.get(historySlotKey(id, written.revision));
    return archived && decodeStoredEnvironment(archived->value).writeId == written.writeId;
}

void EnvironmentStore::saveToHistory(const EnvironmentId& id, const StoredEnvironment& stored)
{
    std::string key = historySlotKey(id, stored.revision);
    auto slot = m_store.get(key);
    if (slot && decodeStoredEnvironment(slot->value).revision >= stored.revision)
        return;
    // A failed swap needs no retry: another operator has written this revision or a later one to the slot.
    m_store.compareAndSwap(key, slot ? slot->modRevision : 0, encodeStoredEnvironment(stored));
}

void EnvironmentStore::throwConflict(const EnvironmentId& id, const Current& base, const StoredEnvironment& next)
{
    StoredEnvironment before = base.stored.value_or(StoredEnvironment {});
    StoredEnvironment actual = read(id).stored.value_or(StoredEnvironment {});
    std::string diff = describeDifferences(before.document, actual.document) + describeDifferences(before.trialDocument, actual.trialDocument);
    throw EditConflictError(id, Revision(next.revision.value() - 1), actual.revision, std::move(diff));
}

} // namespace basilpoint
