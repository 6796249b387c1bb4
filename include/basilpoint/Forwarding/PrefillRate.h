#pragma once

namespace basilpoint {

/// Learns how fast targets of average pace prefill prompts, from the time to the first event of calls.
class PrefillRate {
public:
    /// Records a call. \param uncachedTokens prompt tokens that the target had to read
    /// \param milliseconds time to the first event, divided by the target's pace
    void record(double uncachedTokens, double milliseconds);

    double tokensPerMillisecond() const;

    /// Until calls show another rate; between the rates of the engines in use.
    static constexpr double initialTokensPerMillisecond = 150;

private:
    // Sums of a regression with weights that decay by call.
    double m_weight = 0;
    double m_meanTokens = 0;
    double m_meanMilliseconds = 0;
    double m_variance = 0;
    double m_covariance = 0;
};

} // namespace basilpoint
