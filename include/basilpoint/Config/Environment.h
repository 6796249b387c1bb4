#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Endpoint.h"
#include "basilpoint/Support/Hash.h"
#include "basilpoint/Support/Ids.h"

#include <map>
#include <string>
#include <vector>

namespace basilpoint {

/// A model and the engine replicas that serve it.
struct ModelPool {
    std::string name;
    std::vector<Endpoint> replicas;
    /// Whether the engines refuse orders with an old fencing number.
    bool honoursFencing = false;
    /// Whether the engines check who gives them an order.
    bool checksSender = false;

    bool operator==(const ModelPool&) const = default;
};

/// A tool service.
struct ToolService {
    std::string name;
    std::vector<Endpoint> addresses;
    /// Whether a call may be repeated, unless \ref calls says otherwise.
    bool idempotent = false;
    /// Calls by name that differ: whether each may be repeated.
    std::map<std::string, bool> calls {};
    /// Whether the service tells by key what became of a call.
    bool queryableByKey = false;
    /// Whether the service refuses a call with an old fencing number.
    bool honoursFencing = false;
    /// Whether the service checks who calls it.
    bool checksSender = false;
    Milliseconds timeout { 30'000 };

    bool isIdempotent(const std::string& call) const;

    bool operator==(const ToolService&) const = default;
};

/// Relative weight of program latency against wasted cache; both in [0, 1].
struct PolicyWeights {
    double latency = 0;
    double cache = 0;

    bool operator==(const PolicyWeights&) const = default;
};

/// Weights that hold from one hour of the day up to another; past midnight if \ref toHour is not greater.
struct HourWeights {
    unsigned fromHour = 0;
    unsigned toHour = 24;
    PolicyWeights weights;

    bool covers(unsigned hour) const;

    bool operator==(const HourWeights&) const = default;
};

/// What binds the programs of an environment.
struct EnvironmentRules {
    TokenCount budgetTokens = 150'000;
    std::uint64_t maxTurns = 460;
    unsigned maxRepeatedCalls = 8;
    std::chrono::seconds deadline { 3'600 };
    /// Worst case of one model call's output.
    TokenCount maxOutputTokens = 4'096;
    /// Relative weight of program latency against wasted cache; both in [0, 1].
    double latencyWeight = 0.7;
    double cacheWeight = 0.3;
    /// Model calls of the environment that may be under way at once.
    unsigned maxConcurrentCalls = 1'024;
    /// Programs of a higher priority go first; 0 to 9.
    unsigned priority = 5;
    /// Hours that the local time of \ref weightsByHour is ahead of UTC.
    int utcOffsetHours = 0;
    /// The first entry that covers the hour counts.
    std::vector<HourWeights> weightsByHour {};

    /// Weights in force at \p now.
    PolicyWeights weightsAt(WallTimePoint now) const;

    bool operator==(const EnvironmentRules&) const = default;
};

/// Programs of one kind, with rules of their own; what they leave open is taken from the environment.
struct ProgramClass {
    std::string name;
    EnvironmentRules rules;

    bool operator==(const ProgramClass&) const = default;
};

/// What an operator may use of an environment at once, over all daemons.
struct OperatorLimits {
    std::uint64_t requestsPerSecond = 1'000;
    std::uint64_t tokensPerMinute = 10'000'000;
    std::uint64_t maxPrograms = 100'000;

    bool operator==(const OperatorLimits&) const = default;
};

/// What the trial stage uses: callers, rules, limits and targets of its own.
struct TrialStage {
    std::vector<std::string> callers {};
    EnvironmentRules rules;
    OperatorLimits limits;
    std::map<std::string, ModelPool> models {};
    std::map<std::string, ToolService> tools {};

    bool operator==(const TrialStage&) const = default;
};

/// One environment's document, checked.
struct Environment {
    EnvironmentId id;
    OperatorId owner;
    EnvironmentRules rules;
    std::map<std::string, ModelPool> models;
    std::map<std::string, ToolService> tools;
    OperatorLimits limits {};
    std::map<std::string, ProgramClass> programs {};
    TrialStage trial {};

    /// Rules of a kind of program, or the environment's.
    const EnvironmentRules& rulesFor(const std::string& programClass) const;

    bool operator==(const Environment&) const = default;
};

/// Checks an environment document in canonical JSON and converts it.
/// \throws InvalidInputError whose field is the JSON pointer of what is wrong.
Environment parseEnvironment(const std::string& json);

/// \p environment as the trial stage sees it: no target, limit or rule of production remains.
Environment trialView(const Environment& environment);

/// Largest canonical document: production and trial fit into one value of the key-value service,
/// with every byte escaped.
constexpr std::size_t maxDocumentBytes = 240'000;

/// An environment document together with its canonical form.
struct EnvironmentSource {
    Environment environment;
    /// Canonical JSON.
    std::string document;
};

/// Checks a YAML document and converts it.
/// \throws InvalidInputError whose field is the line and the JSON pointer of what is wrong.
EnvironmentSource readEnvironment(const std::string& yaml);

/// Canonical JSON (sorted keys, no spaces) of a YAML document; JSON is a subset of YAML.
/// \throws InvalidInputError whose field is the line of what is wrong.
std::string canonicalJson(const std::string& yaml);

/// An environment's document as the key-value service holds it.
struct StoredEnvironment {
    Revision revision;
    /// Canonical JSON of production; empty before the first promotion.
    std::string document;
    /// Canonical JSON of the trial stage; empty if there is no trial.
    std::string trialDocument {};
    /// Unique to the write, so that its fate can be read back after a lost answer.
    std::string writeId {};
    /// What made the revision, for the history.
    std::string action {};

    /// Digest of the document.
    Digest digest() const { return digestOf(document); }
    /// Digest of the trial; promotion names it.
    Digest trialDigest() const { return digestOf(trialDocument); }

    bool operator==(const StoredEnvironment&) const = default;
};

/// Key of environment \p id in the key-value service.
std::string environmentKey(const EnvironmentId& id);

/// Prefix of all environments' keys.
extern const std::string environmentKeyPrefix;

std::string encodeStoredEnvironment(const StoredEnvironment&);

/// \throws InvalidInputError if \p text was not written by encodeStoredEnvironment().
StoredEnvironment decodeStoredEnvironment(const std::string& text);

} // namespace basilpoint
