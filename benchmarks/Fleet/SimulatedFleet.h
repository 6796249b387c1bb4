#pragma once

#include "basilpoint/Fleet/ConfigurationGossip.h"
#include "basilpoint/Fleet/Membership.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>

namespace basilpoint {

/// Number and bytes of messages sent.
struct TrafficCounters {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Simulation of a fleet in one process on a manual clock. A transport counts, encodes, delays, loses and decodes the
/// messages between the daemons' Membership and ConfigurationGossip.
class SimulatedFleet {
public:
    struct Daemon {
        std::unique_ptr<Membership> membership;
        std::unique_ptr<ConfigurationGossip> configuration;
        bool up = true;
        bool paused = false;
        TimePoint nextTick;
        TrafficCounters membershipSent;
        TrafficCounters configurationSent;
    };

    /// A change of a member in one daemon's view.
    struct Observation {
        TimePoint time;
        std::size_t observer;
        MemberInfo member;
    };

    struct Options {
        /// Probability that a message is lost.
        double loss = 0;
        unsigned dataCentres = 3;
        Milliseconds tickPeriod { 50 };
        MembershipSettings membership = {};
        bool withConfiguration = false;
    };

    SimulatedFleet(const Options& options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    {
    }

    /// Starts a daemon that gets the addresses of all daemons started so far.
    std::size_t start()
    {
        std::size_t n = m_daemons.size();
        MemberInfo self;
        self.id = idOf(n);
        self.dataCentre = DataCentreId("dc" + std::to_string(n % m_options.dataCentres));
        self.peer = addressOf(n);
        self.callers = { addressOf(n).host, 8080 };
        self.holder = HolderId("holder-" + std::to_string(n));
        self.durable = n % 10 < 2;
        m_addresses.push_back(self.peer);
        m_daemons.push_back({});
        Daemon& daemon = m_daemons.back();
        daemon.membership = std::make_unique<Membership>(self, m_options.membership, m_random());
        daemon.membership->setListedPeers(m_addresses, m_now);
        if (m_options.withConfiguration)
            daemon.configuration = std::make_unique<ConfigurationGossip>(self.id, m_random());
        daemon.nextTick = m_now + Milliseconds(m_random() % static_cast<std::uint64_t>(m_options.tickPeriod.count()));
        return n;
    }

    void start(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
            start();
    }

    /// Starts \p count daemons that already know each other, as in a fleet that has been running.
    void startJoined(std::size_t count)
    {
        start(count);
        AckMessage fullState { 0, idOf(0), idOf(0), {}, true };
        for (const Daemon& daemon : m_daemons)
            fullState.changes.push_back(daemon.membership->self());
        for (std::size_t n = 0; n < m_daemons.size(); ++n)
            perform(n, m_daemons[n].membership->received(fullState, m_now));
    }

    void stop(std::size_t n) { m_daemons[n].up = false; }
    void leave(std::size_t n) { perform(n, m_daemons[n].membership->leave(m_now)); }
    void setPaused(std::size_t n, bool paused) { m_daemons[n].paused = paused; }

    void run(std::chrono::nanoseconds duration)
    {
        TimePoint end = m_now + duration;
        while (m_now < end) {
            m_now += Milliseconds(1);
            deliver();
            for (std::size_t n = 0; n < m_daemons.size(); ++n)
                tick(n);
        }
    }

    /// Runs until \p condition holds, checked every 100 ms. \returns the time taken, at least \p limit if it did not hold.
    std::chrono::nanoseconds runUntil(const std::function<bool()>& condition, std::chrono::nanoseconds limit)
    {
        TimePoint begin = m_now;
        while (!condition() && m_now < begin + limit)
            run(Milliseconds(100));
        return m_now - begin;
    }

    void perform(std::size_t n, const MembershipActions& actions)
    {
        bool changed = false;
        for (const MembershipAction& action : actions) {
            if (const auto* it = std::get_if<MemberChangedAction>(&action)) {
                changed = true;
                if (onMemberChange)
                    onMemberChange({ m_now, n, it->member });
            } else {
                const auto& message = std::get<SendMembershipAction>(action);
                send(n, indexOf(message.address), true, encodeMembershipMessage(message.message));
            }
        }
        if (changed)
            updatePeers(n);
    }

    void perform(std::size_t n, const ConfigurationActions& actions)
    {
        for (const ConfigurationAction& action : actions) {
            if (const auto* it = std::get_if<SendConfigurationAction>(&action))
                send(n, indexOf(it->to), false, encodeConfigurationMessage(it->message));
            else if (onApplied)
                onApplied(n, std::get<ApplyEnvironmentAction>(action));
        }
    }

    /// Whether every running daemon sees exactly the running daemons as not dead.
    bool hasConverged() const
    {
        for (const Daemon& daemon : m_daemons) {
            if (daemon.up && !hasExactView(daemon))
                return false;
        }
        return true;
    }

    static InstanceId idOf(std::size_t n) { return InstanceId("i-" + std::to_string(100'000 + n)); }

    std::vector<Daemon>& daemons() { return m_daemons; }
    TimePoint now() const { return m_now; }
    std::size_t upCount() const
    {
        return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), [](const Daemon& it) { return it.up; }));
    }
    /// Sum of one counter over all daemons, such as &Daemon::membershipSent.
    TrafficCounters traffic(TrafficCounters Daemon::*kind) const
    {
        TrafficCounters sum;
        for (const Daemon& daemon : m_daemons) {
            sum.messages += (daemon.*kind).messages;
            sum.bytes += (daemon.*kind).bytes;
        }
        return sum;
    }

    /// Hook that returns whether the link between two daemons is cut, so that messages are lost in addition to random loss.
    std::function<bool(std::size_t from, std::size_t to)> isCut;
    std::function<void(const Observation&)> onMemberChange;
    std::function<void(std::size_t daemon, const ApplyEnvironmentAction&)> onApplied;

private:
    struct Message {
        TimePoint arrival;
        std::uint64_t order;
        std::size_t to;
        bool membership;
        std::string bytes;

        bool operator<(const Message& other) const { return std::tie(arrival, order) > std::tie(other.arrival, other.order); }
    };

    static Endpoint addressOf(std::size_t n) { return { "10.0." + std::to_string(n / 200) + "." + std::to_string(n % 200 + 1), 7946 }; }
    static std::size_t indexOf(const InstanceId& id) { return std::stoul(id.text().substr(2)) - 100'000; }
    std::size_t indexOf(const Endpoint& address) const
    {
        return static_cast<std::size_t>(std::find(m_addresses.begin(), m_addresses.end(), address) - m_addresses.begin());
    }

    bool hasExactView(const Daemon& daemon) const
    {
        std::size_t live = 0;
        for (const MemberInfo& member : daemon.membership->members()) {
            if (member.state == MemberState::Dead)
                continue;
            if (!m_daemons[indexOf(member.id)].up)
                return false;
            ++live;
        }
        return live == upCount();
    }

    void updatePeers(std::size_t n)
    {
        Daemon& daemon = m_daemons[n];
        if (!daemon.configuration)
            return;
        std::vector<InstanceId> peers;
        for (const MemberInfo& member : daemon.membership->members()) {
            if (member.state != MemberState::Dead)
                peers.push_back(member.id);
        }
        daemon.configuration->setPeers(std::move(peers));
    }

    void tick(std::size_t n)
    {
        Daemon& daemon = m_daemons[n];
        if (!daemon.up || daemon.paused || m_now < daemon.nextTick)
            return;
        daemon.nextTick = m_now + m_options.tickPeriod;
        perform(n, daemon.membership->tick(m_now));
        if (daemon.configuration)
            perform(n, daemon.configuration->tick(m_now));
    }

    void send(std::size_t from, std::size_t to, bool membership, std::string bytes)
    {
        TrafficCounters& sent = membership ? m_daemons[from].membershipSent : m_daemons[from].configurationSent;
        sent.messages += 1;
        sent.bytes += bytes.size();
        if (to >= m_daemons.size() || (isCut && isCut(from, to)) || std::bernoulli_distribution(m_options.loss)(m_random))
            return;
        auto delay = std::chrono::microseconds(1'500 + m_random() % 1'000);
        m_messages.push({ m_now + delay, ++m_order, to, membership, std::move(bytes) });
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.top().arrival <= m_now) {
            Message message = m_messages.top();
            m_messages.pop();
            Daemon& daemon = m_daemons[message.to];
            if (!daemon.up || daemon.paused)
                continue;
            if (message.membership)
                perform(message.to, daemon.membership->received(decodeMembershipMessage(message.bytes), m_now));
            else if (daemon.configuration)
                perform(message.to, daemon.configuration->received(decodeConfigurationMessage(message.bytes), m_now));
        }
    }

    Options m_options;
    RandomEngine m_random;
    TimePoint m_now { std::chrono::hours(1) };
    std::vector<Daemon> m_daemons;
    std::vector<Endpoint> m_addresses;
    std::priority_queue<Message> m_messages;
    std::uint64_t m_order = 0;
};

} // namespace basilpoint
