#include "AllowanceCharge.h"

namespace basilpoint {

static constexpr int statusPaymentRequired = 402;
static constexpr int statusNotFound = 404;
static constexpr int statusTooManyRequests = 429;
static constexpr int statusUnavailable = 503;

const Admission& AllowanceCharge::charge(const Organisation& organisation, TimePoint deadline)
{
    if (!m_admission) {
        m_organisation = organisation.name;
        m_admission = m_allowances.admit(organisation, deadline);
    }
    return *m_admission;
}

bool AllowanceCharge::givesBack(int status)
{
    return status == statusPaymentRequired || status == statusNotFound || status == statusTooManyRequests || status == statusUnavailable;
}

void AllowanceCharge::ended(int status)
{
    if (m_isEnded || !m_admission || !m_admission->isAdmitted())
        return;
    m_isEnded = true;
    if (givesBack(status))
        m_allowances.giveBack(m_organisation, *m_admission);
}

} // namespace basilpoint
