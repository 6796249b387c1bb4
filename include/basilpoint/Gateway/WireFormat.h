#pragma once

#include "basilpoint/Forwarding/PromptPart.h"
#include "basilpoint/Forwarding/TargetDirectory.h"
#include "basilpoint/Net/HttpTypes.h"
#include "basilpoint/Turns/TurnRecord.h"

#include <functional>
#include <optional>
#include <vector>

namespace basilpoint {

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
    /// Budget of the program in tokens; not set if it has none.
    std::optional<TokenCount> budget;
    /// Number of tokens of the prompt; 0 if not stated.
    TokenCount promptTokens = 0;
    /// Maximum number of tokens that the call generates; 0 if not stated.
    TokenCount maxTokens = 0;
    /// Turn to continue; empty at the start of a chain.
    CallId previousTurn;
    std::vector<PromptPart> promptParts;
    /// Key that identifies the caller's organisation; empty if not stated. Must not be logged or passed on.
    std::string key {};
    /// Names the object that the call concerns; empty if not stated.
    std::string affinityKey {};

    bool operator==(const CallAttributes&) const = default;
};

/// Attributes of a call that the gateway adds for the target.
struct TargetCallAttributes {
    TargetId target;
    Milliseconds timeLeft { 0 };
    /// 0 is the most urgent; empty if the target does not order calls by urgency.
    std::optional<unsigned> urgency;
    /// Name of the caller's organisation; empty if callers are not identified.
    std::string organisation {};
    /// Reservation at the target that the call uses; empty if it has none.
    std::string reservation {};
};

/// Calls by which slots and memory of an engine are reserved.
struct ReservationFormat {
    std::function<HttpRequest(TokenCount, Milliseconds lifetime)> make;
    /// Id of the reservation; empty if the engine refused it.
    std::function<std::string(const HttpResponse&)> read;
    std::function<HttpRequest(const std::string& reservation)> drop;
};

/// Attributes of a response as stated by the target.
struct ResponseAttributes {
    /// Call that the response belongs to; empty if not stated.
    CallId call;
    /// The target guarantees that it has not run the call.
    bool isNotRun = false;
    /// Whether the response carries the target's signature.
    bool isSigned = false;
    /// Whether the response describes the target's state below: it is the target's own answer or refusal.
    bool describesTarget = false;
    /// Whether the target announces that it shuts down.
    bool isLeaving = false;
    /// Calls per second that the target takes from all daemons together; empty if it does not limit them.
    std::optional<double> callsPerSecond;

    bool operator==(const ResponseAttributes&) const = default;
};

/// Encodings, names and keys of the platform on which the gateway runs.
struct WireFormat {
    std::function<CallAttributes(const HttpRequest&)> readCall;
    /// Converts a caller's request into one for a target: removes headers that only the gateway may set, then sets its
    /// own.
    std::function<void(HttpRequest&, const TargetCallAttributes&)> writeTargetCall;
    std::function<ResponseAttributes(const HttpResponse&)> readResponse;
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
    /// Removes the caller's key and every statement of its organisation from a request.
    std::function<void(HttpRequest&)> removeCallerIdentity {};
    ReservationFormat reservations {};
};

} // namespace basilpoint
