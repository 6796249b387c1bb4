#pragma once

#include "AllowanceController.h"

namespace basilpoint {

/// Charge of one request to its organisation's allowance. Given back if the request ends without having reached a target.
class AllowanceCharge {
public:
    explicit AllowanceCharge(AllowanceController& allowances)
        : m_allowances(allowances)
    {
    }

    /// Charges the request, once however many targets try it. \returns the first outcome when called again.
    const Admission& charge(const Organisation&, TimePoint deadline);

    /// Records the status that the request ended with.
    void ended(int status);

    /// Whether an answer with this status says that the request has not run.
    static bool givesBack(int status);

private:
    AllowanceController& m_allowances;
    std::string m_organisation;
    std::optional<Admission> m_admission;
    bool m_isEnded = false;
};

} // namespace basilpoint
