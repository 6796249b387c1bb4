#pragma once

#include "basilpoint/Support/Ids.h"

#include <unordered_map>

namespace basilpoint {

/// Start-time fair queueing between operators.
///
/// Each queued call gets a virtual start time. The start times of an operator that exceeds its
/// share advance faster than virtual time, so the calls of other operators precede its own.
class FairShares {
public:
    /// Queue position of one call.
    struct QueuePosition {
        double startTag = 0;
        /// Number of levels added to the call's priority level because its operator exceeds its share.
        unsigned penalty = 0;
    };

    /// Adds a call of \p work prefill-token equivalents and returns its position.
    QueuePosition addCall(const OperatorId&, double work);

    /// Start tag that the operator's next call would get.
    double startTagOf(const OperatorId&) const;

    /// Advances virtual time to the start tag of a dispatched call.
    void dispatched(double startTag);

    /// Sets the weight of an operator's share; the default is 1.
    void setWeight(const OperatorId&, double weight);

private:
    struct Share {
        double finishTag = 0;
        double weight = 1;
    };

    void removeIdle();

    std::unordered_map<OperatorId, Share> m_shares;
    double m_virtualTime = 0;
    std::size_t m_sweepThreshold = 1'024;
};

} // namespace basilpoint
