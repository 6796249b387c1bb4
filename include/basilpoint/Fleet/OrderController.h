#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace basilpoint {

/// Model, adapter and version that an engine has loaded, and its role.
struct EngineState {
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;

    bool operator==(const EngineState&) const = default;
};

/// Ask a journal holder of the target's shard for the highest epoch; pass the result to epochConfirmed().
struct ConfirmEpochAction {
    Epoch epoch;
};

/// Send the order; report the engine's answer to orderAnswered(). Repeats have the same id, so that the engine applies
/// the order once.
struct SendOrderAction {
    std::string orderId;
    /// Fencing token; an engine that supports fencing refuses lower ones.
    Epoch fencing;
    EngineState state;
};

/// Read the engine's state; pass the result to stateRead().
struct ReadStateAction { };

/// The engine is in the wanted state.
struct OrderSettledAction {
    EngineState state;
};

/// Another daemon owns the target's shard now, under a higher epoch.
struct OrdersSupersededAction {
    Epoch epoch;
};

using OrderAction = std::variant<ConfirmEpochAction, SendOrderAction, ReadStateAction, OrderSettledAction, OrdersSupersededAction>;
using OrderActions = std::vector<OrderAction>;

struct OrderSettings {
    /// An order that has not taken effect within this time after it was sent never does.
    Milliseconds orderLifetime { 10'000 };
    /// A confirmation of the epoch older than this does not permit sending an order.
    Milliseconds confirmationLifetime { 1'000 };
    /// Interval between reads of the state until it matches, and timeout before a lost step is repeated.
    Milliseconds retryInterval { 2'000 };
    /// Interval between reads of the state once it matches.
    Milliseconds auditInterval { 30'000 };
};

/// Brings one engine to the wanted state by orders that carry the epoch of the target's shard.
///
/// An order is repeated until the state read back matches. A different order is sent only once all copies of the
/// previous one were answered or have expired, since a delayed copy would undo it. An engine that ignores fencing
/// tokens gets the first order only once orders of the previous owner have expired.
class OrderController {
public:
    OrderController(TargetId target, bool honoursFencing, const OrderSettings& settings)
        : m_target(std::move(target))
        , m_honoursFencing(honoursFencing)
        , m_settings(settings)
    {
    }

    /// Starts giving orders: this daemon now owns the target's shard under the given epoch.
    void takeOver(Epoch, TimePoint now);

    /// Sets the state to which the engine is brought.
    void setWantedState(EngineState);

    /// Handles the highest epoch that the holder knows, or empty if it did not answer.
    OrderActions epochConfirmed(const std::optional<Epoch>& highest, TimePoint now);
    /// Handles an engine's answer to an order. A missing answer need not be reported, since the state is read again.
    OrderActions orderAnswered(const std::string& orderId, TimePoint now);
    /// Handles the state of the engine, or empty if it did not answer.
    OrderActions stateRead(const std::optional<EngineState>&, TimePoint now);
    /// Call every second.
    OrderActions tick(TimePoint now);

    bool isSettled() const { return m_step == Step::Settled; }

private:
    enum class Step {
        /// No epoch or no wanted state, or superseded.
        Idle,
        /// Waits until m_nextTickAt to read the state.
        Reading,
        AwaitingState,
        AwaitingEpoch,
        AwaitingAnswer,
        Settled,
    };

    void scheduleRead(TimePoint);
    std::string orderId() const;
    TimePoint earliestOrder() const;

    TargetId m_target;
    bool m_honoursFencing;
    OrderSettings m_settings;
    Step m_step = Step::Idle;
    Epoch m_epoch;
    std::optional<EngineState> m_wanted;
    std::uint64_t m_orderCount = 0;
    /// No order is sent before this, since orders of the previous owner may still take effect.
    TimePoint m_noOrderBefore;
    /// Last order sent, and the number of its copies that are unanswered and may still take effect.
    std::string m_lastOrderId;
    TimePoint m_lastOrderAt;
    unsigned m_unansweredCopies = 0;
    TimePoint m_nextTickAt;
    TimePoint m_confirmationRequestedAt;
};

} // namespace basilpoint
