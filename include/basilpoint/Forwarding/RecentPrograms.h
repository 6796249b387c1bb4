#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace basilpoint {

/// Remembers the programs whose turns were sent to engines lately.
class RecentPrograms {
public:
    void sent(std::string_view organisation, std::string_view program, TimePoint now);
    bool contains(std::string_view organisation, std::string_view program, TimePoint now) const;
    std::size_t size() const { return m_sentAt.size(); }

    static constexpr std::size_t maxPrograms = 4'096;
    /// Longer than the tool calls between two turns.
    static constexpr std::chrono::seconds memory { 60 };

private:
    void forgetSome(TimePoint now);

    /// By a hash of organisation and program: a collision only changes the order of two waiting calls.
    std::unordered_map<std::uint64_t, TimePoint> m_sentAt;
};

} // namespace basilpoint
