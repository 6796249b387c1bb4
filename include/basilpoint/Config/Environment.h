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
    /// Whether a call may be repeated.
    bool idempotent = false;
    /// Whether the service tells by key what became of a call.
    bool askableByKey = false;
    Milliseconds timeout { 30'000 };

    bool operator==(const ToolService&) const = default;
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

    bool operator==(const EnvironmentRules&) const = default;
};

/// One environment's document, checked.
struct Environment {
    EnvironmentId id;
    OperatorId owner;
    EnvironmentRules rules;
    std::map<std::string, ModelPool> models;
    std::map<std::string, ToolService> tools;

    bool operator==(const Environment&) const = default;
};

/// Checks an environment document in canonical JSON and converts it.
/// \throws InvalidInputError whose field is the JSON pointer of what is wrong.
Environment parseEnvironment(const std::string& json);

/// Canonical JSON (sorted keys, no spaces) of a YAML document; JSON is a subset of YAML.
/// \throws InvalidInputError whose field is the line of what is wrong.
std::string canonicalJson(const std::string& yaml);

/// An environment's document as the key-value service holds it.
struct StoredEnvironment {
    Revision revision;
    /// Canonical JSON.
    std::string document;

    /// Digest of the document; promotion names it.
    Digest digest() const { return digestOf(document); }

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
