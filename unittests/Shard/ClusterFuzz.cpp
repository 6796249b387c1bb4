#include "ShardCluster.h"

namespace basilpoint::test {

static constexpr Milliseconds stepSpan { 5 };
static constexpr Milliseconds recoverySpan { 500 };
static constexpr unsigned recoveryTries = 20;

bool ShardCluster::drawBool(double probability)
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
    if (drawBool(.008)) {
        m_isServiceUp = false;
        after(Milliseconds(20 + draw(drawBool(.3) ? 1'000 : 200)), [this] { m_isServiceUp = true; });
    }
    if (drawBool(.025))
        injectHolderFault(draw(m_holderSlots.size()));
    std::size_t n = draw(m_processes.size());
    if (drawBool(.012))
        pause(n, Milliseconds(20 + draw(400)));
    if (drawBool(.008)) {
        restart(n);
        // The record that a daemon knows may be several changes old.
        if (!m_records.empty() && drawBool(.7))
            m_processes[n].owner->rememberRecord(m_records[draw(m_records.size())]);
    }
}

void ShardCluster::injectHolderFault(std::size_t n)
{
    HolderSlot& slot = m_holderSlots[n];
    std::size_t kind = draw(10);
    if (kind < 4) {
        slot.isUp = false;
        after(Milliseconds(20 + draw(drawBool(.3) ? 1'500 : 200)), [this, n] { m_holderSlots[n].isUp = true; });
    } else if (kind < 7)
        restartHolder(n);
    else if (kind < 8 && slot.pendingWrites == 0)
        slot.stored = slot.holder->snapshot();
    else if (kind >= 8)
        emptyHolder(n);
}

bool ShardCluster::recovers()
{
    m_settings.isFaulty = false;
    m_isServiceUp = true;
    for (HolderSlot& slot : m_holderSlots)
        slot.isUp = true;
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
    HolderSet holders { holderAt(draw(m_holderSlots.size())) };
    HolderId second = holderAt(draw(m_holderSlots.size()));
    if (second != holders.front())
        holders.push_back(second);
    return holders;
}

std::string ShardCluster::drawKey(Epoch epoch)
{
    if (m_keys.empty() || drawBool(.5))
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
        if (drawBool(.04))
            takeOver(n, drawHolders());
        return;
    case ShardOwner::State::Owning:
    case ShardOwner::State::Degraded:
        break;
    }
    if (drawBool(.4))
        request(n, drawKey(owner.epoch()));
    if (drawBool(.02) && !owner.holders().empty())
        replace(n, owner.holders()[draw(owner.holders().size())], holderAt(draw(m_holderSlots.size())));
    if (drawBool(.003))
        replace(n, {}, holderAt(draw(m_holderSlots.size())));
    if (drawBool(.01))
        compact(n);
    if (drawBool(.004))
        release(n);
}

} // namespace basilpoint::test
