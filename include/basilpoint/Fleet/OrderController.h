#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace basilpoint {

/// What an engine has loaded and does.
struct EngineState {
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;

    bool operator==(const EngineState&) const = default;
};

/// Ask a journal holder of the target's shard whether \p epoch is still the highest; answer with epochConfirmed().
struct ConfirmEpochAction {
    Epoch epoch;
};

/// Send the order; answer with orderAnswered(). The id is the same in repeats, so that the engine applies it once.
struct SendOrderAction {
    std::string orderId;
    /// Fencing number; an engine that honours it refuses lower ones.
    Epoch fencing;
    EngineState state;
};

/// Read the engine's state; answer with stateRead().
struct ReadStateAction { };

/// The engine is in the wanted state.
struct OrderSettledAction {
    EngineState state;
};

/// Another daemon decides for the target now.
struct OrdersSupersededAction {
    Epoch epoch;
};

using OrderAction = std::variant<ConfirmEpochAction, SendOrderAction, ReadStateAction, OrderSettledAction, OrdersSupersededAction>;
using OrderActions = std::vector<OrderAction>;

struct OrderSettings {
    /// An order takes effect within this after it was sent, or never.
    Milliseconds orderLifetime { 10'000 };
    /// A confirmation of the epoch older than this does not allow sending any more.
    Milliseconds confirmationLifetime { 1'000 };
    /// Pause between reads of the state until it matches, and before a lost step is repeated.
    Milliseconds retryPause { 2'000 };
    /// Pause between reads of a state that matched.
    Milliseconds auditPause { 30'000 };
};

/// Brings one engine to the wanted state by orders that carry the epoch of the target's shard.
///
/// An order is repeated until the state read back matches. Another one is sent only when copies of the
/// one before were answered or have run out, as a late copy would undo it. An engine that
/// ignores fencing numbers gets the first order only when orders of the owner before have run out.
class OrderController {
public:
    OrderController(TargetId target, bool honoursFencing, const OrderSettings& settings)
        : m_target(std::move(target))
        , m_honoursFencing(honoursFencing)
        , m_settings(settings)
    {
    }

    /// This daemon owns the target's shard under \p epoch from now on.
    void takeOver(Epoch, TimePoint now);

    /// The state that the engine shall have.
    void want(EngineState);

    /// Highest epoch that the holder knows, or empty if it did not answer.
    OrderActions epochConfirmed(const std::optional<Epoch>& highest, TimePoint now);
    /// The engine answered a sent order. Without an answer nothing needs to be reported: the state read back tells.
    OrderActions orderAnswered(const std::string& orderId, TimePoint now);
    /// State of the engine, or empty if it did not answer.
    OrderActions stateRead(const std::optional<EngineState>&, TimePoint now);
    /// Call every second.
    OrderActions tick(TimePoint now);

    bool isSettled() const { return m_step == Step::Settled; }

private:
    enum class Step {
        /// No epoch or no wanted state, or superseded.
        Idle,
        /// The state must be read, at m_nextAt.
        Reading,
        AwaitingState,
        AwaitingEpoch,
        AwaitingAnswer,
        Settled,
    };

    void readAt(TimePoint);
    std::string orderId() const;
    TimePoint earliestOrder() const;

    TargetId m_target;
    bool m_honoursFencing;
    OrderSettings m_settings;
    Step m_step = Step::Idle;
    Epoch m_epoch;
    std::optional<EngineState> m_wanted;
    std::uint64_t m_orders = 0;
    /// No order may be sent before this: those of the owner before may still take effect.
    TimePoint m_firstOrderAt;
    /// Last order sent, and how many of its copies were not answered and may still take effect.
    std::string m_lastOrderId;
    TimePoint m_lastOrderAt;
    unsigned m_unanswered = 0;
    TimePoint m_nextAt;
    TimePoint m_confirmationAskedAt;
};

} // namespace basilpoint
