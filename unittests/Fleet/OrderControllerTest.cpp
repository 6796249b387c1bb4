#include "basilpoint/Fleet/OrderController.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

/// An engine with orders under way, the shard's epoch, and owners that may be superseded without knowing.
struct OrderWorld {
    struct OrderUnderWay {
        std::size_t owner;
        SendOrderAction order;
        TimePoint expiresAt;
    };

    explicit OrderWorld(bool honours)
        : honoursFencing(honours)
    {
    }

    void takeOver(const EngineState& wanted)
    {
        epoch = epoch.next();
        owners.emplace_back(TargetId("engine"), honoursFencing, settings);
        owners.back().takeOver(epoch, now);
        owners.back().want(wanted);
    }

    void carryOut(std::size_t owner, const OrderActions& actions)
    {
        for (const OrderAction& action : actions) {
            bool lost = *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
            if (std::holds_alternative<ReadStateAction>(action))
                carryOut(owner, owners[owner].stateRead(lost ? std::optional<EngineState>() : state, now));
            else if (std::holds_alternative<ConfirmEpochAction>(action))
                carryOut(owner, owners[owner].epochConfirmed(lost ? std::optional<Epoch>() : epoch, now));
            else if (const auto* order = std::get_if<SendOrderAction>(&action))
                underWay.push_back({ owner, *order, now + settings.orderLifetime });
        }
    }

    /// One order reaches the engine, or runs out; its answer may be lost.
    void deliverOne()
    {
        if (underWay.empty())
            return;
        auto it = underWay.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(underWay.size()));
        auto [owner, order, expiresAt] = *it;
        underWay.erase(it);
        if (now >= expiresAt || (honoursFencing && order.fencing < highestSeen))
            return;
        // An older owner's order after a newer one's would undo it without anybody noticing.
        RC_ASSERT(order.fencing >= highestSeen);
        highestSeen = order.fencing;
        state = order.state;
        if (*rc::gen::arbitrary<bool>())
            carryOut(owner, owners[owner].orderAnswered(order.orderId, now));
    }

    void tick()
    {
        now += 1s;
        for (std::size_t owner = 0; owner < owners.size(); ++owner)
            carryOut(owner, owners[owner].tick(now));
    }

    bool honoursFencing;
    OrderSettings settings;
    TimePoint now { 1h };
    Epoch epoch;
    Epoch highestSeen;
    EngineState state { "none", "", "", "" };
    std::vector<OrderController> owners;
    std::vector<OrderUnderWay> underWay;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OrderControllerTest)

BOOST_AUTO_TEST_CASE(noOldOrderTakesEffectAfterANewOneAndTheLastOwnerSettles)
{
    for (bool honours : { true, false }) {
        BOOST_TEST(rc::check("orders of successive owners", [honours] {
            OrderWorld world(honours);
            EngineState wanted { "m", "", "1", "decode" };
            for (int n = *rc::gen::inRange(1, 60); n > 0; --n) {
                switch (*rc::gen::inRange(0, 6)) {
                case 0:
                    wanted.version = std::to_string(n);
                    world.takeOver(wanted);
                    break;
                case 1:
                    if (!world.owners.empty()) {
                        wanted.adapter = std::to_string(n);
                        world.owners.back().want(wanted);
                    }
                    break;
                case 2:
                    world.deliverOne();
                    break;
                default:
                    world.tick();
                    break;
                }
            }
            world.takeOver(wanted);
            for (int n = 0; n < 300 && !(world.owners.back().isSettled() && world.underWay.empty()); ++n) {
                world.tick();
                world.deliverOne();
            }
            RC_ASSERT(world.owners.back().isSettled());
            RC_ASSERT(world.state == wanted);
        }));
    }
}

BOOST_AUTO_TEST_CASE(aConfirmationThatWaitedTooLongSendsNothing)
{
    OrderController controller(TargetId("engine"), true, {});
    TimePoint now(1h);
    controller.takeOver(Epoch(1), now);
    controller.want({ "m", "", "", "" });
    controller.tick(now);
    BOOST_TEST((std::holds_alternative<ConfirmEpochAction>(controller.stateRead(EngineState {}, now).at(0))));
    BOOST_TEST(controller.epochConfirmed(Epoch(1), now + 5s).empty());
}

BOOST_AUTO_TEST_CASE(aRepeatCarriesTheSameIdAndADriftIsMended)
{
    OrderController controller(TargetId("engine"), true, {});
    TimePoint now(1h);
    controller.takeOver(Epoch(1), now);
    EngineState wanted { "m", "", "", "" };
    controller.want(wanted);
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
