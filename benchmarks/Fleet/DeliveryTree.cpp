#include "DeliveryTree.h"

#include "basilpoint/Support/Random.h"

#include <map>
#include <queue>
#include <tuple>
#include <vector>

namespace basilpoint {

static constexpr auto repeatPause = std::chrono::milliseconds(500);
static constexpr unsigned maxAttempts = 3;

namespace {

    enum class EventType {
        DocumentArrives,
        AcknowledgementArrives,
        RepeatDue,
    };

    struct Event {
        TimePoint time;
        std::uint64_t order;
        EventType type;
        std::size_t parent;
        std::size_t child;

        bool operator<(const Event& other) const { return std::tie(time, order) > std::tie(other.time, other.order); }
    };

    class Tree {
    public:
        Tree(std::size_t count, std::size_t arity, double loss, const std::set<std::size_t>& failed, std::uint64_t seed)
            : m_count(count)
            , m_arity(arity)
            , m_loss(loss)
            , m_failed(failed)
            , m_random(seed)
        {
        }

        DeliveryResult run()
        {
            reach(0);
            while (!m_events.empty()) {
                Event event = m_events.top();
                m_events.pop();
                m_now = event.time;
                handle(event);
            }
            return m_result;
        }

    private:
        void handle(const Event& event)
        {
            switch (event.type) {
            case EventType::DocumentArrives:
                transmit(EventType::AcknowledgementArrives, event.parent, event.child);
                if (!m_reached.contains(event.child))
                    reach(event.child);
                return;
            case EventType::AcknowledgementArrives:
                m_attempts.erase({ event.parent, event.child });
                return;
            case EventType::RepeatDue:
                repeat(event.parent, event.child);
                return;
            }
        }

        void reach(std::size_t daemon)
        {
            m_reached.insert(daemon);
            m_result.timeToLast = m_now - TimePoint();
            forwardToChildrenOf(daemon, daemon);
        }

        void forwardToChildrenOf(std::size_t daemon, std::size_t sender)
        {
            for (std::size_t child = daemon * m_arity + 1; child <= daemon * m_arity + m_arity && child < m_count; ++child) {
                m_attempts[{ sender, child }] = 0;
                repeat(sender, child);
            }
        }

        void repeat(std::size_t parent, std::size_t child)
        {
            auto attempts = m_attempts.find({ parent, child });
            if (attempts == m_attempts.end())
                return;
            if (attempts->second++ == maxAttempts) {
                m_attempts.erase(attempts);
                forwardToChildrenOf(child, parent);
                return;
            }
            transmit(EventType::DocumentArrives, parent, child);
            m_events.push({ m_now + repeatPause, ++m_order, EventType::RepeatDue, parent, child });
        }

        void transmit(EventType type, std::size_t parent, std::size_t child)
        {
            ++m_result.messages;
            if (m_failed.contains(child) || std::bernoulli_distribution(m_loss)(m_random))
                return;
            auto delay = std::chrono::microseconds(1'500 + m_random() % 1'000);
            m_events.push({ m_now + delay, ++m_order, type, parent, child });
        }

        std::size_t m_count;
        std::size_t m_arity;
        double m_loss;
        const std::set<std::size_t>& m_failed;
        RandomEngine m_random;
        TimePoint m_now;
        std::uint64_t m_order = 0;
        std::priority_queue<Event> m_events;
        std::map<std::pair<std::size_t, std::size_t>, unsigned> m_attempts;
        std::set<std::size_t> m_reached;
        DeliveryResult m_result;
    };

} // namespace

DeliveryResult deliverByTree(std::size_t count, std::size_t arity, double loss, const std::set<std::size_t>& failed, std::uint64_t seed)
{
    return Tree(count, arity, loss, failed, seed).run();
}

} // namespace basilpoint
