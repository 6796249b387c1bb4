#include "basilpoint/Net/FiberRuntime.h"

#include "basilpoint/Net/FiberAwait.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>

namespace basilpoint {

namespace {

    // Boost.Fiber scheduling algorithm: runs ready fibers round-robin, and the event loop while none is ready.
    class AsioAlgorithm final : public boost::fibers::algo::algorithm {
    public:
        explicit AsioAlgorithm(boost::asio::io_context& io)
            : m_io(io)
            , m_guard(boost::asio::make_work_guard(io))
            , m_timer(io)
        {
        }

        void awakened(boost::fibers::context* context) noexcept override
        {
            if (!context->is_context(boost::fibers::type::dispatcher_context))
                ++m_readyCount;
            context->ready_link(m_ready);
        }

        boost::fibers::context* pick_next() noexcept override
        {
            if (m_ready.empty())
                return nullptr;
            boost::fibers::context* context = &m_ready.front();
            m_ready.pop_front();
            if (!context->is_context(boost::fibers::type::dispatcher_context))
                --m_readyCount;
            return context;
        }

        bool has_ready_fibers() const noexcept override { return m_readyCount > 0; }

        void suspend_until(const std::chrono::steady_clock::time_point& wakeTime) noexcept override
        {
            if (wakeTime < m_armedFor)
                arm(wakeTime);
            m_io.run_one();
            m_io.poll();
        }

        void notify() noexcept override
        {
            boost::asio::post(m_io, [] {});
        }

    private:
        // Resetting the timer completes its pending wait, and that completion would end the next
        // suspend_until() immediately. So the timer is reset only if it would expire too late.
        void arm(const std::chrono::steady_clock::time_point& wakeTime)
        {
            m_armedFor = wakeTime;
            m_timer.expires_at(wakeTime);
            m_timer.async_wait([this](boost::system::error_code ec) {
                if (!ec)
                    m_armedFor = std::chrono::steady_clock::time_point::max();
            });
        }

        boost::asio::io_context& m_io;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
        boost::asio::steady_timer m_timer;
        boost::fibers::scheduler::ready_queue_type m_ready;
        std::size_t m_readyCount = 0;
        /// Expiry time of the timer's pending wait; max() if none is pending.
        std::chrono::steady_clock::time_point m_armedFor = std::chrono::steady_clock::time_point::max();
    };

} // namespace

// The event loop is never destroyed: the thread's fiber scheduler uses it until thread exit, after every scope of the
// program has ended.
static boost::asio::io_context& makeEventLoop()
{
    return *new boost::asio::io_context(1);
}

FiberRuntime::FiberRuntime()
    : m_io(makeEventLoop())
{
    boost::fibers::use_scheduling_algorithm<AsioAlgorithm>(std::ref(m_io));
}

void FiberRuntime::run(const std::function<void()>& main)
{
    std::exception_ptr failure;
    auto body = [&] {
        try {
            main();
        } catch (...) {
            failure = std::current_exception();
        }
    };
    boost::fibers::fiber(body).join();
    if (failure)
        std::rethrow_exception(failure);
}

void exitProcess(int status)
{
    std::fflush(nullptr);
    std::_Exit(status);
}

void spawnFiber(std::function<void()> body)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::move(body)).detach();
}

int awaitSignal(boost::asio::signal_set& signals)
{
    IoResult result = awaitIo([&](auto handler) {
        signals.async_wait([handler](boost::system::error_code ec, int number) { handler(ec, static_cast<std::size_t>(number)); });
    });
    return static_cast<int>(result.size);
}

} // namespace basilpoint
