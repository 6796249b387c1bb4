#pragma once

#include "basilpoint/Forwarding/TargetDirectory.h"
#include "basilpoint/Net/HttpTypes.h"
#include "basilpoint/Turns/TurnRecord.h"

#include <functional>
#include <optional>
#include <vector>

namespace basilpoint {

/// Part of a prompt that several calls may share.
struct PromptPart {
    std::string id;
    TokenCount tokens = 0;

    bool operator==(const PromptPart&) const = default;
};

/// Attributes of a call as stated by its caller.
struct CallAttributes {
    CallId call;
    /// How long the caller waits, counted from the arrival of the call.
    std::optional<Milliseconds> timeLeft;
    ProgramId program;
    /// Session within the program; its turns continue each other.
    std::string session;
    /// Time until the whole program should finish.
    std::optional<Milliseconds> programTimeLeft;
    std::optional<TokenCount> budget;
    TokenCount promptTokens = 0;
    TokenCount mostTokens = 0;
    CallId previousTurn;
    std::vector<PromptPart> promptParts;

    bool operator==(const CallAttributes&) const = default;
};

/// Attributes of a call that the gateway adds for the target.
struct TargetCallAttributes {
    TargetId target;
    Milliseconds timeLeft { 0 };
    /// 0 is the most urgent; empty if the target does not order calls by urgency.
    std::optional<unsigned> urgency;
};

/// Attributes of an answer as stated by the target.
struct AnswerAttributes {
    /// Call that the answer belongs to; empty if not stated.
    CallId call;
    /// The target guarantees that it has not run the call.
    bool isNotRun = false;
    /// Whether the answer carries the target's signature.
    bool isSigned = false;

    bool operator==(const AnswerAttributes&) const = default;
};

/// Encodings, names and keys of the platform on which the gateway runs.
struct WireFormat {
    std::function<CallAttributes(const HttpRequest&)> readCall;
    /// Turns a caller's request into one for a target: removes headers that only the gateway may set, then sets its own.
    std::function<void(HttpRequest&, const TargetCallAttributes&)> writeTargetCall;
    std::function<AnswerAttributes(const HttpResponse&)> readAnswer;
    /// Empty if \p bytes are no valid configuration.
    std::function<std::optional<ForwardingConfiguration>(const std::string& bytes)> decodeConfiguration;
    /// Empty if the entry is no valid registration of a target.
    std::function<std::optional<Registration>(const std::string& key, const std::string& bytes)> decodeRegistration;
    std::string configurationKey;
    std::string registrationsPrefix;
    /// Prefix of the keys of requests to empty an instance with a disk; the instance's name follows.
    std::string emptyingPrefix;
    /// Prefix of the keys of the states of such requests; the instance's name follows.
    std::string emptyingStatePrefix;
    /// State of an instance that has been emptied.
    std::string emptiedState;
    /// Path of readiness probes.
    std::string readinessPath;
};

} // namespace basilpoint
