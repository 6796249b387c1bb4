#include "AllowanceCodec.h"

#include "basilpoint/Forwarding/AllowanceLease.h"
#include "basilpoint/Forwarding/AllowancePartitions.h"
#include "basilpoint/Forwarding/AllowancePool.h"
#include "basilpoint/Support/Clock.h"

#include <fmt/format.h>
#include <map>
#include <memory>
#include <random>

using namespace basilpoint;
using namespace std::chrono_literals;

// Costs of allowances at the design size: 9,500 organisations and 6,100 requests a second.
namespace {

constexpr std::size_t organisationCount = 9'500;
constexpr double requestsPerSecond = 6'100;
// Callers of one organisation come to a few gateways.
constexpr std::size_t gatewaysOfOrganisation = 3;
constexpr Milliseconds tickInterval { 200 };
constexpr std::chrono::seconds warmUp { 10 };
constexpr std::chrono::seconds measured { 20 };
// Estimate of the headers of a request and its answer on a kept-alive connection.
constexpr std::size_t headerBytes = 230;

struct Gateway {
    std::string name;
    std::unique_ptr<AllowanceRights> rights;
    std::vector<std::unique_ptr<AllowancePool>> pools;
    std::vector<std::unique_ptr<AllowanceLease>> leases;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

class Fleet {
public:
    explicit Fleet(std::size_t count)
    {
        // Few organisations make most requests.
        std::vector<double> weights;
        for (std::size_t n = 0; n < organisationCount; ++n) {
            weights.push_back(1.0 / static_cast<double>(n + 20));
            Organisation organisation;
            organisation.name = "organisation-" + std::to_string(n);
            m_organisations.push_back(organisation);
        }
        double sum = 0;
        for (double it : weights)
            sum += it;
        for (std::size_t n = 0; n < organisationCount; ++n) {
            Organisation& it = m_organisations[n];
            it.requestsPerSecond = it.burst = std::max(4.0, 1.5 * requestsPerSecond * weights[n] / sum);
            m_byName[it.name] = &it;
        }
        m_choice = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
        std::vector<std::string> names;
        for (std::size_t n = 0; n < count; ++n)
            names.push_back("gateway-" + std::to_string(n));
        m_partitions.setGateways(names);
        m_gateways.resize(count);
        for (std::size_t n = 0; n < count; ++n) {
            Gateway& it = m_gateways[n];
            it.name = names[n];
            it.rights = std::make_unique<AllowanceRights>(names[n]);
            it.rights->setGateways(names, m_now);
            m_index[names[n]] = n;
            for (std::size_t partition = 0; partition < AllowancePartitions::count; ++partition) {
                it.pools.push_back(std::make_unique<AllowancePool>(names[n] + "/1", *it.rights, [this](const std::string& name) { return AllowancePool::Limit { m_byName.at(name), TimePoint(1h) }; }));
                it.leases.push_back(std::make_unique<AllowanceLease>(partition, names[n], names[n] + "/1", m_now));
            }
        }
    }

    void run(std::chrono::seconds duration)
    {
        TimePoint end = m_now + duration;
        std::exponential_distribution<double> distance(requestsPerSecond);
        while (m_now < end) {
            m_now += std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(distance(m_random)));
            for (; m_nextTick <= m_now; m_nextTick += tickInterval)
                tick();
            const Organisation& organisation = m_organisations[m_choice(m_random)];
            request((std::hash<std::string>()(organisation.name) + m_random() % gatewaysOfOrganisation) % m_gateways.size(), organisation);
        }
    }

    void reset()
    {
        m_requests = m_admitted = 0;
        m_decisionTime = {};
        for (Gateway& it : m_gateways)
            it.messages = it.bytes = 0;
    }

    void report() const
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        std::uint64_t mostBytes = 0;
        for (const Gateway& it : m_gateways) {
            messages += it.messages;
            bytes += it.bytes;
            mostBytes = std::max(mostBytes, it.bytes);
        }
        double gatewaySeconds = static_cast<double>(m_gateways.size()) * static_cast<double>(measured.count());
        fmt::print("gateways {} admitted {:.3f} messages/s per gateway {:.1f} bytes/s per gateway {:.0f} (most {:.0f}) lease and pool ns per request {:.0f}\n",
            m_gateways.size(), static_cast<double>(m_admitted) / static_cast<double>(m_requests), static_cast<double>(messages) / gatewaySeconds,
            static_cast<double>(bytes) / gatewaySeconds, static_cast<double>(mostBytes) / static_cast<double>(measured.count()),
            static_cast<double>(std::chrono::nanoseconds(m_decisionTime).count()) / static_cast<double>(m_requests));
    }

private:
    void send(std::size_t n, std::size_t partition)
    {
        Gateway& gateway = m_gateways[n];
        auto message = gateway.leases[partition]->begin(
            m_partitions.candidates(partition), [](const std::string&) { return true; }, m_now);
        if (!message)
            return;
        Gateway& coordinator = m_gateways[m_index.at(message->coordinator)];
        AllowanceAnswer answer = coordinator.pools[partition]->answer(message->request, m_now);
        gateway.leases[partition]->answered(answer, m_now);
        if (&coordinator == &gateway)
            return;
        std::size_t bytes = headerBytes + encodeAllowanceRequest(message->request).size() + encodeAllowanceAnswer(answer).size();
        ++gateway.messages;
        gateway.bytes += bytes;
        coordinator.bytes += bytes;
    }

    void tick()
    {
        for (std::size_t n = 0; n < m_gateways.size(); ++n)
            for (std::size_t partition = 0; partition < AllowancePartitions::count; ++partition)
                if (m_gateways[n].leases[partition]->wantsMessage(true, m_now))
                    send(n, partition);
    }

    void request(std::size_t n, const Organisation& organisation)
    {
        std::size_t partition = AllowancePartitions::of(organisation.name);
        Gateway& gateway = m_gateways[n];
        AllowanceLease& lease = *gateway.leases[partition];
        ++m_requests;
        auto start = std::chrono::steady_clock::now();
        lease.arrived(organisation.name, m_now);
        auto result = lease.take(organisation, *gateway.rights, m_now);
        m_decisionTime += std::chrono::steady_clock::now() - start;
        if (result.outcome == AllowanceLease::Outcome::MustAsk) {
            lease.setWaiting(organisation.name, 1);
            send(n, partition);
            lease.setWaiting(organisation.name, 0);
            result = lease.take(organisation, *gateway.rights, m_now);
        } else if (lease.wantsRefill(organisation.name, m_now))
            send(n, partition);
        m_admitted += result.outcome == AllowanceLease::Outcome::Admitted ? 1 : 0;
    }

    TimePoint m_now { 1h };
    TimePoint m_nextTick { 1h };
    std::minstd_rand m_random { 1 };
    std::vector<Organisation> m_organisations;
    std::map<std::string, const Organisation*> m_byName;
    std::discrete_distribution<std::size_t> m_choice;
    AllowancePartitions m_partitions;
    std::map<std::string, std::size_t> m_index;
    std::vector<Gateway> m_gateways;
    std::uint64_t m_requests = 0;
    std::uint64_t m_admitted = 0;
    std::chrono::steady_clock::duration m_decisionTime {};
};

} // namespace

int main()
{
    for (std::size_t count : { 75U, 340U }) {
        Fleet fleet(count);
        fleet.run(warmUp);
        fleet.reset();
        auto start = std::chrono::steady_clock::now();
        fleet.run(measured);
        std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
        fleet.report();
        fmt::print("  processor time of all gateways {:.4f} of a core, of one {:.5f}\n", took.count() / static_cast<double>(measured.count()), took.count() / static_cast<double>(measured.count()) / static_cast<double>(count));
    }
    return 0;
}
