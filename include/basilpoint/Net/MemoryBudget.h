#pragma once

#include "basilpoint/Net/FiberSignal.h"

#include <cstddef>
#include <deque>

namespace basilpoint {

/// Account of the memory that requests in progress take, or the answers to them, for all calls of a process together.
///
/// Large amounts leave a part of the budget to small ones, so that a few large requests keep out no others. One large request
/// may exceed the rest if it is the only one, since each request within the limits of callers must be served.
class MemoryBudget {
public:
    explicit MemoryBudget(std::size_t limitBytes)
        : m_limit(limitBytes)
    {
    }

    std::size_t limit() const { return m_limit; }
    std::size_t used() const { return m_small + m_large; }

    /// Part of the budget that one call uses; released when it is destroyed.
    class Share {
    public:
        explicit Share(MemoryBudget& budget)
            : m_budget(budget)
        {
        }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;
        ~Share();

        /// Takes \p bytes more. \returns false if they would exceed the budget.
        bool take(std::size_t bytes);

        /// Takes \p bytes for a request, alone if need be. Suspends while there is no room, for \p limit at most.
        /// \param ofSameCall bytes that other shares have taken for the same request.
        /// \returns false if there was none in time.
        bool awaitRoom(std::size_t bytes, Milliseconds limit, std::size_t ofSameCall = 0);

    private:
        bool takeAlone(std::size_t bytes, std::size_t ofSameCall);

        MemoryBudget& m_budget;
        std::size_t m_bytes = 0;
    };

    /// Part of a process's memory that one budget has.
    static constexpr std::size_t memoryDivisor = 4;

    /// Largest amount that counts as small.
    static constexpr std::size_t maxSmallBytes = 256 * 1024;

private:
    /// Part of the budget that large amounts leave to small ones.
    static constexpr std::size_t smallDivisor = 4;

    std::size_t largeLimit() const;
    std::size_t smallLimit() const;

    std::size_t m_limit;
    std::size_t m_small = 0;
    std::size_t m_large = 0;
    /// Shares that wait for room, in order.
    std::deque<const Share*> m_waiting;
    FiberSignal m_released;
};

} // namespace basilpoint
