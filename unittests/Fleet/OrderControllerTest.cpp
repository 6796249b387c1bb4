#include "basilpoint/Fleet/OrderController.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

/// Simulation of an engine, orders in flight, and successive owners of the shard, of which older ones may not know that
/// they are superseded.
struct OrderSimulation {
    struct OrderInFlight {
        std::size_t owner;
        SendOrderAction order;
        TimePoint expiresAt;
    };

    explicit OrderSimulation(bool engineHonoursFencing)
        : honoursFencing(engineHonoursFencing)
    {
    }

    void takeOver(const EngineState& wanted)
    {
        epoch = epoch.next();
        owners.emplace_back(TargetId("engine"), honoursFencing, settings);
        owners.back().takeOver(epoch, now);
        owners.back().setWantedState(wanted);
    }

    void perform(std::size_t owner, const OrderActions& actions)
    {
        for (const OrderAction& action : actions) {
            bool lost = *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
            if (std::holds_alternative<ReadStateAction>(action))
                perform(owner, owners[owner].stateRead(lost ? std::optional<EngineState>() : state, now));
            else if (std::holds_alternative<ConfirmEpochAction>(action))
                perform(owner, owners[owner].epochConfirmed(lost ? std::optional<Epoch>() : epoch, now));
            else if (const auto* order = std::get_if<SendOrderAction>(&action))
                inFlight.push_back({ owner, *order, now + settings.orderLifetime });
        }
    }

    /// Delivers a random order to the engine, or drops it if it has expired. The answer may be lost.
    void deliverOne()
    {
        if (inFlight.empty())
            return;
        auto it = inFlight.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(inFlight.size()));
        auto [owner, order, expiresAt] = *it;
        inFlight.erase(it);
        if (now >= expiresAt || (honoursFencing && order.fencing < highestSeen))
            return;
        // An older owner's order that takes effect after a newer owner's would silently undo it.
        RC_ASSERT(order.fencing >= highestSeen);
        highestSeen = order.fencing;
        state = order.state;
        if (*rc::gen::arbitrary<bool>())
            perform(owner, owners[owner].orderAnswered(order.orderId, now));
    }

    void tick()
    {
        now += 1s;
        for (std::size_t owner = 0; owner < owners.size(); ++owner)
            perform(owner, owners[owner].tick(now));
    }

    bool honoursFencing;
    OrderSettings settings;
    TimePoint now { 1h };
    Epoch epoch;
    Epoch highestSeen;
    EngineState state { "none", "", "", "" };
    std::vector<OrderController> owners;
    std::vector<OrderInFlight> inFlight;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OrderControllerTest)

BOOST_AUTO_TEST_CASE(noOldOrderTakesEffectAfterANewOneAndTheLastOwnerReachesItsState)
{
    for (bool honoursFencing : { true, false }) {
        BOOST_TEST(rc::check("orders of successive owners", [honoursFencing] {
            OrderSimulation simulation(honoursFencing);
            EngineState wanted { "m", "", "1", "decode" };
            for (int n = *rc::gen::inRange(1, 60); n > 0; --n) {
                switch (*rc::gen::inRange(0, 6)) {
                case 0:
                    wanted.version = std::to_string(n);
                    simulation.takeOver(wanted);
                    break;
                case 1:
                    if (!simulation.owners.empty()) {
                        wanted.adapter = std::to_string(n);
                        simulation.owners.back().setWantedState(wanted);
                    }
                    break;
                case 2:
                    simulation.deliverOne();
                    break;
                default:
                    simulation.tick();
                    break;
                }
            }
            simulation.takeOver(wanted);
            for (int n = 0; n < 300 && !(simulation.owners.back().isSettled() && simulation.inFlight.empty()); ++n) {
                simulation.tick();
                simulation.deliverOne();
            }
            RC_ASSERT(simulation.owners.back().isSettled());
            RC_ASSERT(simulation.state == wanted);
        }));
    }
}

BOOST_AUTO_TEST_CASE(delayedEpochConfirmationSendsNoOrder)
{
    OrderController controller(TargetId("engine"), true, {});
    TimePoint now(1h);
    controller.takeOver(Epoch(1), now);
    controller.setWantedState({ "m", "", "", "" });
    controller.tick(now);
    BOOST_TEST((std::holds_alternative<ConfirmEpochAction>(controller.stateRead(EngineState {}, now).at(0))));
    BOOST_TEST(controller.epochConfirmed(Epoch(1), now + 5s).empty());
}

BOOST_AUTO_TEST_CASE(repeatsHaveTheSameIdAndADriftedStateIsCorrected)
{
    OrderController controller(TargetId("engine"), true, {});
    TimePoint now(1h);
    controller.takeOver(Epoch(1), now);
    EngineState wanted { "m", "", "", "" };
    controller.setWantedState(wanted);
    std::set<std::string> ids;
    for (int n = 0; n < 3; ++n) {
        now += 5s;
        controller.tick(now);
        controller.stateRead(EngineState {}, now);
        ids.insert(std::get<SendOrderAction>(controller.epochConfirmed(Epoch(1), now).at(0)).orderId);
    }
    BOOST_TEST(ids.size() == 1U);
    now += 5s;
    controller.tick(now);
    BOOST_TEST((std::holds_alternative<OrderSettledAction>(controller.stateRead(wanted, now).at(0))));
    now += 60s;
    BOOST_TEST(controller.tick(now).size() == 1U);
    BOOST_TEST(controller.stateRead(EngineState {}, now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
