#include "ShardCluster.h"

namespace basilpoint::test {

static constexpr Milliseconds stepSpan { 5 };

bool ShardCluster::happens(double probability)
{
    return std::uniform_real_distribution(0.0, 1.0)(m_random) < probability;
}

void ShardCluster::runFuzz(Milliseconds span)
{
    for (Milliseconds passed { 0 }; passed < span; passed += stepSpan) {
        injectFault();
        for (std::size_t n = 0; n < m_processes.size(); ++n)
            injectWork(n);
        run(stepSpan);
    }
}

void ShardCluster::injectFault()
{
    if (happens(.008))
        m_isServiceUp = !m_isServiceUp;
    if (happens(.02))
        injectHolderFault();
    std::size_t n = draw(m_processes.size());
    if (happens(.01))
        pause(n, Milliseconds(20 + draw(400)));
    if (happens(.006)) {
        // Some daemons remember the record that their predecessor saw, however old it is.
        auto seen = m_record;
        restart(n);
        if (seen && happens(.7))
            m_processes[n].owner->rememberRecord(*seen);
    }
}

void ShardCluster::injectHolderFault()
{
    std::size_t n = draw(m_places.size());
    Place& place = m_places[n];
    std::size_t kind = draw(10);
    if (kind < 6)
        place.isUp = !place.isUp;
    else if (kind < 8)
        restartHolder(n);
    else if (kind < 9)
        place.stored = place.holder->snapshot();
    else
        emptyHolder(n);
}

HolderSet ShardCluster::drawHolders()
{
    HolderSet holders { holderAt(draw(m_places.size())) };
    HolderId second = holderAt(draw(m_places.size()));
    if (second != holders.front())
        holders.push_back(second);
    return holders;
}

std::string ShardCluster::drawKey(Epoch epoch)
{
    if (m_keys.empty() || happens(.5))
        m_keys.push_back(std::to_string(epoch.value()) + "-" + std::to_string(m_keys.size()));
    else
        return m_keys[draw(m_keys.size())];
    return m_keys.back();
}

void ShardCluster::injectWork(std::size_t n)
{
    const ShardOwner& owner = *m_processes[n].owner;
    switch (owner.state()) {
    case ShardOwner::State::Idle:
    case ShardOwner::State::TakingOver:
        if (happens(.02))
            takeOver(n, drawHolders());
        return;
    case ShardOwner::State::Owning:
    case ShardOwner::State::Degraded:
        break;
    }
    if (happens(.4))
        request(n, drawKey(owner.epoch()));
    if (happens(.02) && !owner.holders().empty())
        replace(n, owner.holders()[draw(owner.holders().size())], holderAt(draw(m_places.size())));
    if (happens(.003))
        replace(n, {}, holderAt(draw(m_places.size())));
    if (happens(.01))
        compact(n);
    if (happens(.004))
        release(n);
}

} // namespace basilpoint::test
