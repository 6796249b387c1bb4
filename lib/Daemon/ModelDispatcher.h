#pragma once

#include "basilpoint/Policy/ModelScheduler.h"
#include "basilpoint/Support/Endpoint.h"

namespace basilpoint {

/// Where and how a model call may run now.
struct DispatchGrant {
    CallId call;
    Endpoint replica;
    std::int32_t priority = 0;
};

/// The call did not run, since the targets or the rules do not allow it now.
class CallRefusedError final : public Error {
public:
    CallRefusedError(const ProgramId&, RefusalReason, std::optional<Milliseconds> retryAfter);
};

/// Grants model calls their replicas. Calls suspend the calling fiber.
class ModelDispatcher {
public:
    virtual ~ModelDispatcher() = default;

    /// Suspends until \p call may run; its id is set here.
    /// \throws CallRefusedError.
    virtual DispatchGrant acquire(ModelCall call) = 0;

    virtual void firstToken(CallId) = 0;
    /// The call's replica took no connection: it is gone, but not by this call. ended(Failed) follows.
    virtual void unreachable(CallId) = 0;
    virtual void ended(CallId, CallEnd, TokenCount outputTokens) = 0;

    virtual void toolStarted(const ProgramId&, const std::string& tool) = 0;
    virtual void toolEnded(const ProgramId&) = 0;
    virtual void programEnded(const ProgramId&) = 0;
};

} // namespace basilpoint
