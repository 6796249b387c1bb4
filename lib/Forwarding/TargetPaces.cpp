#include "basilpoint/Forwarding/TargetPaces.h"

#include <algorithm>
#include <cmath>

namespace basilpoint {

// Ratio of one step.
static constexpr double stepRatio = 1.15;
// Bounds of the steps in force: ratios from 0.25 to 16.
static constexpr int minStep = -10;
static constexpr int maxStep = 20;
// Calls of one kind that count for the usual time elsewhere, and how many of them are needed.
static constexpr std::size_t maxKindSamples = 64;
static constexpr std::size_t minKindSamples = 6;
// Twice the design size of 820, so that restarted targets fit in until the earlier lifetimes are dropped.
static constexpr std::size_t maxTargets = 1'640;
// Standard error of a median of n values, as a multiple of their median absolute deviation divided by the root of n.
static constexpr double medianErrorFactor = 1.86;

static double logStep()
{
    static const double value = std::log(stepRatio);
    return value;
}

static double medianOf(std::vector<double> values)
{
    auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1)
        return *middle;
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

double TargetPaces::ratioOf(int step)
{
    return std::pow(stepRatio, step);
}

int TargetPaces::stepOf(double ratio)
{
    return std::clamp(static_cast<int>(std::lround(std::log(std::clamp(ratio, 0.01, 100.0)) / logStep())), minStep, maxStep);
}

TargetPaces::Target* TargetPaces::targetFor(const TargetId& id, std::int64_t startedAt)
{
    auto it = m_targets.find(id);
    if (it == m_targets.end()) {
        if (m_targets.size() >= maxTargets)
            return nullptr;
        it = m_targets.emplace(id, Target { startedAt, {}, {}, {} }).first;
    }
    if (it->second.startedAt > startedAt)
        return nullptr;
    // A restarted target counts as average.
    if (it->second.startedAt < startedAt)
        it->second = Target { startedAt, {}, {}, {} };
    return &it->second;
}

const TargetPaces::Target* TargetPaces::find(const Registration& target) const
{
    auto it = m_targets.find(target.id);
    return it == m_targets.end() || it->second.startedAt != target.startedAt ? nullptr : &it->second;
}

int TargetPaces::stepOf(const Registration& target) const
{
    const Target* known = find(target);
    if (!known || known->steps.empty())
        return 0;
    // Two daemons can announce at the same time. All use the same of their steps until one of them is lifted.
    return *std::next(known->steps.begin(), static_cast<std::ptrdiff_t>(known->steps.size() / 2));
}

std::optional<double> TargetPaces::logMillisecondsElsewhere(const TargetId& target, const std::string& kind, TimePoint now) const
{
    auto samples = m_kinds.find(kind);
    if (samples == m_kinds.end())
        return std::nullopt;
    std::vector<double> values;
    for (const KindSample& it : samples->second)
        if (it.target != target && now - it.at <= retention)
            values.push_back(it.logMilliseconds);
    return values.size() < minKindSamples ? std::nullopt : std::optional(medianOf(std::move(values)));
}

void TargetPaces::record(const Registration& target, const std::string& kind, double milliseconds, TimePoint now)
{
    Target* known = targetFor(target.id, target.startedAt);
    if (!known)
        return;
    double sample = std::log(std::max(milliseconds, 0.01));
    if (auto elsewhere = logMillisecondsElsewhere(target.id, kind, now)) {
        if (known->excesses.size() >= maxCalls)
            known->excesses.erase(known->excesses.begin());
        known->excesses.push_back({ now, sample - *elsewhere });
    }
    auto& samples = m_kinds[kind];
    if (samples.size() >= maxKindSamples)
        samples.erase(samples.begin());
    // Divided by the pace in force, so that daemons which use different targets compare with the same.
    samples.push_back({ now, target.id, sample - logStep() * stepOf(target) });
}

std::vector<double> TargetPaces::recentExcesses(const Target& target, TimePoint now)
{
    std::vector<double> values;
    for (const Sample& it : target.excesses)
        if (now - it.at <= retention)
            values.push_back(it.value);
    return values;
}

std::optional<double> TargetPaces::estimate(const Registration& target, TimePoint now) const
{
    const Target* known = find(target);
    if (!known)
        return std::nullopt;
    std::vector<double> values = recentExcesses(*known, now);
    return values.size() < minCalls ? std::nullopt : std::optional(medianOf(std::move(values)));
}

std::optional<TargetPaces::Announcement> TargetPaces::takeAnnouncement(const Registration& target, TimePoint now)
{
    auto estimated = estimate(target, now);
    if (!estimated)
        return std::nullopt;
    Target& known = m_targets.at(target.id);
    if (known.announcedAt && now - *known.announcedAt < announcementInterval)
        return std::nullopt;
    std::vector<double> deviations = recentExcesses(known, now);
    for (double& it : deviations)
        it = std::abs(it - *estimated);
    auto n = static_cast<double>(deviations.size());
    // Many daemons estimate the same target, and a few of their estimates are far off by chance.
    double uncertainty = medianErrorFactor * medianOf(std::move(deviations)) / std::sqrt(n);
    if (std::abs(*estimated - logStep() * stepOf(target)) <= logStep() + uncertainty)
        return std::nullopt;
    Announcement announcement { stepOf(std::exp(*estimated)), {} };
    for (int it : known.steps)
        if (it != announcement.step)
            announcement.replaced.push_back(it);
    known.announcedAt = now;
    return announcement;
}

bool TargetPaces::confirms(const Registration& target, TimePoint now) const
{
    auto estimated = estimate(target, now);
    const Target* known = find(target);
    return estimated && !known->steps.empty() && std::abs(*estimated - logStep() * stepOf(target)) <= logStep();
}

void TargetPaces::apply(const TargetId& id, std::int64_t startedAt, int step, bool inForce)
{
    // The average needs no announcement.
    if (step == 0)
        return;
    if (!inForce) {
        auto it = m_targets.find(id);
        if (it != m_targets.end() && it->second.startedAt == startedAt)
            it->second.steps.erase(step);
    } else if (Target* known = targetFor(id, startedAt))
        known->steps.insert(std::clamp(step, minStep, maxStep));
}

void TargetPaces::forget(const TargetId& id, std::int64_t startedAt)
{
    auto it = m_targets.find(id);
    if (it != m_targets.end() && it->second.startedAt == startedAt)
        m_targets.erase(it);
}

void TargetPaces::sweep(TimePoint now, const std::function<bool(const TargetId&, std::int64_t startedAt, int step)>& isInForce)
{
    for (auto& [id, target] : m_targets) {
        std::erase_if(target.steps, [&, &target = target, &id = id](int step) { return !isInForce(id, target.startedAt, step); });
        std::erase_if(target.excesses, [&](const Sample& it) { return now - it.at > retention; });
    }
    std::erase_if(m_targets, [](const auto& it) { return it.second.steps.empty() && it.second.excesses.empty(); });
}

} // namespace basilpoint
