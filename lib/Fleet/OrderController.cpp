#include "basilpoint/Fleet/OrderController.h"

#include <algorithm>

namespace basilpoint {

void OrderController::takeOver(Epoch epoch, TimePoint now)
{
    if (epoch <= m_epoch)
        return;
    m_epoch = epoch;
    m_orders = 0;
    m_unanswered = 0;
    m_firstOrderAt = m_honoursFencing ? now : now + m_settings.orderLifetime;
    if (m_wanted) {
        ++m_orders;
        readAt(now);
    }
}

void OrderController::want(EngineState state)
{
    if (m_wanted == state)
        return;
    m_wanted = std::move(state);
    if (m_epoch == Epoch())
        return;
    // An id of its own for each wanted state: a repeat of an older order must not count as this one.
    ++m_orders;
    readAt(TimePoint());
}

void OrderController::readAt(TimePoint time)
{
    m_step = Step::Reading;
    m_nextAt = time;
}

OrderActions OrderController::tick(TimePoint now)
{
    if (m_step == Step::Idle || now < m_nextAt)
        return {};
    // Also when an answer to the last step is overdue: the state tells how far things have come.
    m_step = Step::AwaitingState;
    m_nextAt = now + m_settings.retryPause;
    return { ReadStateAction {} };
}

OrderActions OrderController::stateRead(const std::optional<EngineState>& state, TimePoint now)
{
    if (m_step != Step::AwaitingState || !state)
        return {};
    if (*state == *m_wanted) {
        m_step = Step::Settled;
        m_nextAt = now + m_settings.auditPause;
        return { OrderSettledAction { *state } };
    }
    if (now < earliestOrder()) {
        readAt(earliestOrder());
        return {};
    }
    m_step = Step::AwaitingEpoch;
    m_confirmationAskedAt = now;
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
    // Counted from the question: the answer may have waited in a paused process.
    if (now > m_confirmationAskedAt + m_settings.confirmationLifetime) {
        readAt(now);
        return {};
    }
    m_step = Step::AwaitingAnswer;
    m_nextAt = now + m_settings.retryPause;
    m_unanswered = m_lastOrderId == orderId() ? m_unanswered + 1 : 1;
    m_lastOrderId = orderId();
    m_lastOrderAt = now;
    return { SendOrderAction { m_lastOrderId, m_epoch, *m_wanted } };
}

OrderActions OrderController::orderAnswered(const std::string& orderId, TimePoint now)
{
    // The answer of an order that had run out says nothing of the one sent after it.
    if (orderId != m_lastOrderId || m_unanswered == 0)
        return {};
    --m_unanswered;
    if (m_step == Step::AwaitingAnswer)
        readAt(now);
    return {};
}

std::string OrderController::orderId() const
{
    return m_target.text() + "-" + std::to_string(m_epoch.value()) + "-" + std::to_string(m_orders);
}

TimePoint OrderController::earliestOrder() const
{
    if (m_unanswered == 0 || m_lastOrderId == orderId())
        return m_firstOrderAt;
    return std::max(m_firstOrderAt, m_lastOrderAt + m_settings.orderLifetime);
}

} // namespace basilpoint
