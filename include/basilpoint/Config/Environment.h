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
    /// Whether the engines reject orders with an outdated fencing number.
    bool honoursFencing = false;
    /// Whether the engines authenticate the sender of an order.
    bool checksSender = false;

    bool operator==(const ModelPool&) const = default;
};

/// A tool service and its properties.
struct ToolService {
    std::string name;
    std::vector<Endpoint> addresses;
    /// Whether calls that are not listed in \ref calls may be repeated.
    bool idempotent = false;
    /// Whether a call may be repeated, by name of the call.
    std::map<std::string, bool> calls {};
    /// Whether the service can be asked for the result of a call by its request key.
    bool queryableByKey = false;
    /// Whether the service rejects calls with an outdated fencing number.
    bool honoursFencing = false;
    /// Whether the service authenticates its callers.
    bool checksSender = false;
    Milliseconds timeout { 30'000 };

    bool isIdempotent(const std::string& call) const;

    bool operator==(const ToolService&) const = default;
};

/// Relative weights of program latency and of wasted cache in scheduling; both in [0, 1].
struct PolicyWeights {
    double latency = 0;
    double cache = 0;

    bool operator==(const PolicyWeights&) const = default;
};

/// Weights for the hours of the day from \ref fromHour up to, but not including, \ref toHour. The range passes midnight if
/// \ref toHour is not greater.
struct HourWeights {
    unsigned fromHour = 0;
    unsigned toHour = 24;
    PolicyWeights weights;

    bool covers(unsigned hour) const;

    bool operator==(const HourWeights&) const = default;
};

/// Limits and scheduling parameters for the programs of an environment.
struct EnvironmentRules {
    TokenCount budgetTokens = 150'000;
    std::uint64_t maxTurns = 460;
    unsigned maxRepeatedCalls = 8;
    std::chrono::seconds deadline { 3'600 };
    /// Most output tokens of one model call.
    TokenCount maxOutputTokens = 4'096;
    /// Weights for hours that \ref weightsByHour does not cover; both in [0, 1].
    double latencyWeight = 0.7;
    double cacheWeight = 0.3;
    /// Most concurrent model calls of the environment.
    unsigned maxConcurrentCalls = 1'024;
    /// Programs with a higher priority are scheduled first; 0 to 9.
    unsigned priority = 5;
    /// Offset in hours from UTC to the local time that \ref weightsByHour uses.
    int utcOffsetHours = 0;
    /// The first entry that covers the local hour applies.
    std::vector<HourWeights> weightsByHour {};

    /// Weights that apply at \p now.
    PolicyWeights weightsAt(WallTimePoint now) const;

    bool operator==(const EnvironmentRules&) const = default;
};

/// Rules for one class of programs; rules that the class does not set are those of the environment.
struct ProgramClass {
    std::string name;
    EnvironmentRules rules;

    bool operator==(const ProgramClass&) const = default;
};

/// Limits on an operator's use of an environment, over all daemons.
struct OperatorLimits {
    std::uint64_t requestsPerSecond = 1'000;
    std::uint64_t tokensPerMinute = 10'000'000;
    std::uint64_t maxPrograms = 100'000;

    bool operator==(const OperatorLimits&) const = default;
};

/// The trial stage of an environment, with its own callers, rules, limits and targets.
struct TrialStage {
    std::vector<std::string> callers {};
    EnvironmentRules rules;
    OperatorLimits limits;
    std::map<std::string, ModelPool> models {};
    std::map<std::string, ToolService> tools {};

    bool operator==(const TrialStage&) const = default;
};

/// Validated document of one environment.
struct Environment {
    EnvironmentId id;
    OperatorId owner;
    EnvironmentRules rules;
    std::map<std::string, ModelPool> models;
    std::map<std::string, ToolService> tools;
    OperatorLimits limits {};
    std::map<std::string, ProgramClass> programs {};
    TrialStage trial {};

    /// Rules of class \p programClass, or of the environment if there is no such class.
    const EnvironmentRules& rulesFor(const std::string& programClass) const;

    bool operator==(const Environment&) const = default;
};

/// Validates and converts an environment document in canonical JSON.
/// \throws InvalidInputError whose field is the JSON pointer of the invalid value.
Environment parseEnvironment(const std::string& json);

/// \returns \p environment with the rules, limits and targets of production replaced by those of the trial stage.
Environment trialView(const Environment& environment);

/// Largest canonical document. The production and trial documents must fit into one value of the key-value service
/// even if every byte of them is escaped.
constexpr std::size_t maxDocumentBytes = 240'000;

/// An environment document together with its canonical form.
struct EnvironmentSource {
    Environment environment;
    /// Canonical JSON.
    std::string document;
};

/// Validates and converts an environment document in YAML.
/// \throws InvalidInputError whose field is the line and the JSON pointer of the invalid value.
EnvironmentSource readEnvironment(const std::string& yaml);

/// Converts a YAML (or JSON) document to canonical JSON, with sorted keys and no spaces.
/// \throws InvalidInputError whose field is the line of the error.
std::string canonicalJson(const std::string& yaml);

/// Value of an environment's key in the key-value service.
struct StoredEnvironment {
    Revision revision;
    /// Canonical JSON of the production document; empty before the first promotion.
    std::string document;
    /// Canonical JSON of the trial document; empty if there is no trial.
    std::string trialDocument {};
    /// Unique id of the write. If the response to a write is lost, reading the key back tells whether it took effect.
    std::string writeId {};
    /// Command that created the revision, for the history.
    std::string action {};

    /// Digest of the production document.
    Digest digest() const { return digestOf(document); }
    /// Digest of the trial document, which a promotion must state.
    Digest trialDigest() const { return digestOf(trialDocument); }

    bool operator==(const StoredEnvironment&) const = default;
};

/// Key of environment \p id in the key-value service.
std::string environmentKey(const EnvironmentId& id);

/// Prefix of the keys of all environments.
extern const std::string environmentKeyPrefix;

std::string encodeStoredEnvironment(const StoredEnvironment&);

/// \throws InvalidInputError if \p text is not a result of encodeStoredEnvironment().
StoredEnvironment decodeStoredEnvironment(const std::string& text);

} // namespace basilpoint
