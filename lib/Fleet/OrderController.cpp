#include "basilpoint/Fleet/OrderController.h"

#include <algorithm>

namespace basilpoint {

void OrderController::takeOver(Epoch epoch, TimePoint now)
{
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    m_orderCount = 0;
    m_unansweredCopies = 0;
    m_noOrderBefore = m_honoursFencing ? now : now + m_settings.orderLifetime;
    if (m_wanted) {
        ++m_orderCount;
        scheduleRead(now);
    }
}

void OrderController::setWantedState(EngineState state)
{
    if (m_wanted == state)
        return;
    m_wanted = std::move(state);
    if (m_epoch == Epoch())
        return;
    // Each wanted state gets its own order id, so that a repeat of an older order is not taken for this one.
    ++m_orderCount;
    scheduleRead(TimePoint());
}

void OrderController::scheduleRead(TimePoint time)
{
    m_step = Step::Reading;
    m_nextTickAt = time;
}

OrderActions OrderController::tick(TimePoint now)
{
    if (m_step == Step::Idle || now < m_nextTickAt)
        return {};
    // Also reached if the answer to the last step is overdue: reading the state shows whether that step took effect.
    m_step = Step::AwaitingState;
    m_nextTickAt = now + m_settings.retryInterval;
    return { ReadStateAction {} };
}

OrderActions OrderController::stateRead(const std::optional<EngineState>& state, TimePoint now)
{
    if (m_step != Step::AwaitingState || !state)
        return {};
    if (*state == *m_wanted) {
        m_step = Step::Settled;
        m_nextTickAt = now + m_settings.auditInterval;
        return { OrderSettledAction { *state } };
    }
    if (now < earliestOrder()) {
        scheduleRead(earliestOrder());
        return {};
    }
    m_step = Step::AwaitingEpoch;
    m_confirmationRequestedAt = now;
    return { ConfirmEpochAction { m_epoch } };
}

OrderActions OrderController::epochConfirmed(const std::optional<Epoch>& highest, TimePoint now)
{
    if (m_step != Step::AwaitingEpoch || !highest)
        return {};
    if (*highest > m_epoch) {
        m_step = Step::Idle;
        return { OrdersSupersededAction { *highest } };
    }
    // Measured from the request, since the answer may be delayed while this process is paused.
    if (now > m_confirmationRequestedAt + m_settings.confirmationLifetime) {
        scheduleRead(now);
        return {};
    }
    m_step = Step::AwaitingAnswer;
    m_nextTickAt = now + m_settings.retryInterval;
    m_unansweredCopies = m_lastOrderId == orderId() ? m_unansweredCopies + 1 : 1;
    m_lastOrderId = orderId();
    m_lastOrderAt = now;
    return { SendOrderAction { m_lastOrderId, m_epoch, *m_wanted } };
}

OrderActions OrderController::orderAnswered(const std::string& orderId, TimePoint now)
{
    // Ignore answers to expired orders; they are no answers to the last one.
    if (orderId != m_lastOrderId || m_unansweredCopies == 0)
        return {};
    --m_unansweredCopies;
    if (m_step == Step::AwaitingAnswer)
        scheduleRead(now);
    return {};
}

std::string OrderController::orderId() const
{
    return m_target.text() + "-" + std::to_string(m_epoch.value()) + "-" + std::to_string(m_orderCount);
}

TimePoint OrderController::earliestOrder() const
{
    if (m_unansweredCopies == 0 || m_lastOrderId == orderId())
        return m_noOrderBefore;
    return std::max(m_noOrderBefore, m_lastOrderAt + m_settings.orderLifetime);
}

} // namespace basilpoint
