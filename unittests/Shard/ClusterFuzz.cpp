#include "ShardCluster.h"

namespace basilpoint::test {

static constexpr Milliseconds stepSpan { 5 };
static constexpr Milliseconds recoverySpan { 500 };
static constexpr unsigned recoveryTries = 20;

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
    if (happens(.008)) {
        m_isServiceUp = false;
        after(Milliseconds(20 + draw(happens(.3) ? 1'000 : 200)), [this] { m_isServiceUp = true; });
    }
    if (happens(.025))
        injectHolderFault(draw(m_places.size()));
    std::size_t n = draw(m_processes.size());
    if (happens(.012))
        pause(n, Milliseconds(20 + draw(400)));
    if (happens(.008)) {
        restart(n);
        // A daemon may remember a record that is several changes old.
        if (!m_records.empty() && happens(.7))
            m_processes[n].owner->rememberRecord(m_records[draw(m_records.size())]);
    }
}

void ShardCluster::injectHolderFault(std::size_t n)
{
    Place& place = m_places[n];
    std::size_t kind = draw(10);
    if (kind < 4) {
        place.isUp = false;
        after(Milliseconds(20 + draw(happens(.3) ? 1'500 : 200)), [this, n] { m_places[n].isUp = true; });
    } else if (kind < 7)
        restartHolder(n);
    else if (kind < 8 && place.unstored == 0)
        place.stored = place.holder->snapshot();
    else if (kind >= 8)
        emptyHolder(n);
}

bool ShardCluster::recovers()
{
    m_settings.isFaulty = false;
    m_isServiceUp = true;
    for (Place& place : m_places)
        place.isUp = true;
    run(recoverySpan);
    for (std::size_t n = 1; n < m_processes.size(); ++n)
        crash(n);
    unsigned effects = m_counts.effects;
    for (unsigned n = 0; n < recoveryTries && m_counts.effects == effects; ++n) {
        if (owner(0).state() == ShardOwner::State::Idle || owner(0).state() == ShardOwner::State::TakingOver)
            takeOver(0, { holderAt(0), holderAt(1) });
        else
            request(0, std::to_string(owner(0).epoch().value()) + "-recovered" + std::to_string(n));
        run(recoverySpan);
    }
    return m_counts.effects > effects;
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
        if (happens(.04))
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
