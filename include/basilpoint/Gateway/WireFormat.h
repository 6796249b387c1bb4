#pragma once

#include "basilpoint/Forwarding/TargetDirectory.h"
#include "basilpoint/Net/HttpTypes.h"
#include "basilpoint/Turns/TurnRecord.h"

#include <functional>
#include <optional>
#include <vector>

namespace basilpoint {

/// Part of a prompt that calls may share.
struct PromptPart {
    std::string id;
    TokenCount tokens = 0;

    bool operator==(const PromptPart&) const = default;
};

/// What a caller says about its call.
struct CallAttributes {
    CallId call;
    /// Time for which the caller waits, from the arrival of the call.
    std::optional<Milliseconds> timeLeft;
    ProgramId program;
    /// Line of turns within the program.
    std::string line;
    /// Time until the whole program should be finished.
    std::optional<Milliseconds> programTimeLeft;
    std::optional<TokenCount> budget;
    TokenCount promptTokens = 0;
    TokenCount mostTokens = 0;
    CallId previousTurn;
    std::vector<PromptPart> promptParts;

    bool operator==(const CallAttributes&) const = default;
};

/// What the system says to a target about a call.
struct TargetCallAttributes {
    TargetId target;
    Milliseconds timeLeft { 0 };
    /// 0 is the most urgent; empty if the target has no order by urgency.
    std::optional<unsigned> urgency;
};

/// What a target says about its answer.
struct AnswerAttributes {
    /// Call that the answer belongs to; empty if the answer does not say.
    CallId call;
    /// The target promises that it has not run the call.
    bool isNotRun = false;
    /// The answer bears the target's signature.
    bool isSigned = false;

    bool operator==(const AnswerAttributes&) const = default;
};

/// Names and formats of the platform on which the gateway runs. Decides nothing.
struct WireFormat {
    std::function<CallAttributes(const HttpRequest&)> readCall;
    /// Turns a caller's request into the one for a target: drops what only the system may say, adds what it says.
    std::function<void(HttpRequest&, const TargetCallAttributes&)> writeTargetCall;
    std::function<AnswerAttributes(const HttpResponse&)> readAnswer;
    /// Empty if the bytes hold no valid configuration.
    std::function<std::optional<ForwardingConfiguration>(const std::string& bytes)> decodeConfiguration;
    /// Empty if the bytes name no target.
    std::function<std::optional<Registration>(const std::string& key, const std::string& bytes)> decodeRegistration;
    std::string configurationKey;
    std::string registrationsPrefix;
    /// Prefix of requests to empty an instance with a disk; the instance's name follows.
    std::string emptyingPrefix;
    /// Prefix of the state of such requests; the instance's name follows.
    std::string emptyingStatePrefix;
    /// State of an instance that holds nothing any more.
    std::string emptiedState;
    /// Path at which readiness is asked for.
    std::string readinessPath;
};

} // namespace basilpoint
