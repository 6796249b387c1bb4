#pragma once

#include "basilpoint/Policy/ModelScheduler.h"
#include "basilpoint/Support/Endpoint.h"

namespace basilpoint {

/// Replica and priority for a model call that may run now.
struct DispatchGrant {
    CallId call;
    Endpoint replica;
    std::int32_t priority = 0;
};

/// The scheduler refused the call; it did not run.
class CallRefusedError final : public Error {
public:
    CallRefusedError(const ProgramId&, RefusalReason, std::optional<Milliseconds> retryAfter);
};

/// Assigns replicas to model calls and is told of the events that scheduling depends on.
class ModelDispatcher {
public:
    virtual ~ModelDispatcher() = default;

    /// Suspends the calling fiber until \p call may run. Sets the id of \p call.
    /// \throws CallRefusedError.
    virtual DispatchGrant acquire(ModelCall call) = 0;

    virtual void firstToken(CallId) = 0;
    /// The call's replica accepted no connection: it is down, but not because of this call. ended(Failed) follows.
    virtual void unreachable(CallId) = 0;
    virtual void ended(CallId, CallEnd, TokenCount outputTokens) = 0;

    virtual void toolStarted(const ProgramId&, const std::string& tool) = 0;
    virtual void toolEnded(const ProgramId&) = 0;
    virtual void programEnded(const ProgramId&) = 0;
};

} // namespace basilpoint
