#include "ConfigurationController.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace basilpoint {

static constexpr Milliseconds gossipInterval { 200 };
static constexpr Milliseconds initialRetryDelay { 200 };
static constexpr Milliseconds maxRetryDelay { 5'000 };

ConfigurationController::ConfigurationController(const Clock& clock, InstanceId self, RandomEngine::result_type seed, KeyValueStore& store, EnvironmentController& environments, Sender send)
    : m_clock(clock)
    , m_store(store)
    , m_environments(environments)
    , m_gossip(std::move(self), seed)
    , m_send(std::move(send))
{
}

void ConfigurationController::start()
{
    spawnFiber([this] { watchLoop(); });
    spawnFiber([this] { gossipLoop(); });
}

void ConfigurationController::received(const std::string& body)
{
    perform(m_gossip.received(decodeConfigurationMessage(body), m_clock.now()));
}

// A stored value that cannot be parsed is logged and ignored: it comes from a faulty write by an operator, and the
// revision in force must stay usable.
void ConfigurationController::handleStored(const KeyValue& pair)
{
    try {
        EnvironmentId id(pair.key.substr(environmentKeyPrefix.size()));
        perform(m_gossip.stored(id, decodeStoredEnvironment(pair.value), m_clock.now()));
    } catch (const InvalidInputError& error) {
        spdlog::error("ignoring the invalid value of {}: {}", pair.key, error.what());
    }
}

void ConfigurationController::watchOnce()
{
    std::int64_t seen = 0;
    for (const KeyValue& pair : m_store.list(environmentKeyPrefix)) {
        seen = std::max(seen, pair.modRevision);
        handleStored(pair);
    }
    m_gossip.markListComplete();
    m_store.watch(environmentKeyPrefix, seen + 1, [this](const std::string&, const std::optional<KeyValue>& pair) {
        if (pair)
            handleStored(*pair);
    });
}

void ConfigurationController::watchLoop()
{
    Milliseconds delay = initialRetryDelay;
    for (;;) {
        TimePoint startedAt = m_clock.now();
        try {
            watchOnce();
        } catch (const KeyValueUnavailableError& error) {
            spdlog::warn("{}", error.what());
        }
        bool lasted = m_clock.now() - startedAt > maxRetryDelay;
        delay = lasted ? initialRetryDelay : std::min(delay * 2, maxRetryDelay);
        sleepFiber(delay);
    }
}

void ConfigurationController::gossipLoop()
{
    for (;;) {
        sleepFiber(gossipInterval);
        perform(m_gossip.tick(m_clock.now()));
    }
}

void ConfigurationController::perform(const ConfigurationActions& actions)
{
    for (const ConfigurationAction& action : actions) {
        if (const auto* send = std::get_if<SendConfigurationAction>(&action)) {
            m_send(send->to, encodeConfigurationMessage(send->message));
            continue;
        }
        const auto& inForce = std::get<ApplyEnvironmentAction>(action);
        try {
            if (m_environments.accept(inForce.stored) && m_onChange)
                m_onChange();
            spdlog::info("environment {}: revision {} in force", inForce.environment.text(), inForce.stored.revision.value());
        } catch (const InvalidInputError& error) {
            spdlog::error("environment {} was not applied: {}", inForce.environment.text(), error.what());
        }
    }
}

} // namespace basilpoint
