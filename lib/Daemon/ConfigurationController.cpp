#include "ConfigurationController.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/FiberSignal.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace basilpoint {

static constexpr Milliseconds gossipInterval { 200 };
static constexpr Milliseconds firstRetryDelay { 200 };
static constexpr Milliseconds longestRetryDelay { 5'000 };

ConfigurationController::ConfigurationController(const Clock& clock, InstanceId self, RandomEngine::result_type seed, KeyValueStore& store, EnvironmentController& environments, Sender send)
    : m_clock(clock)
    , m_store(store)
    , m_environments(environments)
    , m_spread(std::move(self), seed)
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
    perform(m_spread.received(decodeConfigurationMessage(body), m_clock.now()));
}

// A stored value that does not parse is an operator's mistake elsewhere; the revision in force stays.
void ConfigurationController::takeStored(const KeyValue& pair)
{
    try {
        EnvironmentId id(pair.key.substr(environmentKeyPrefix.size()));
        perform(m_spread.stored(id, decodeStoredEnvironment(pair.value), m_clock.now()));
    } catch (const InvalidInputError& error) {
        spdlog::error("{} ignored: {}", pair.key, error.what());
    }
}

void ConfigurationController::watchOnce()
{
    std::int64_t seen = 0;
    for (const KeyValue& pair : m_store.list(environmentKeyPrefix)) {
        seen = std::max(seen, pair.modRevision);
        takeStored(pair);
    }
    m_spread.markListComplete();
    m_store.watch(environmentKeyPrefix, seen + 1, [this](const std::string&, const std::optional<KeyValue>& pair) {
        if (pair)
            takeStored(*pair);
    });
}

void ConfigurationController::watchLoop()
{
    Milliseconds delay = firstRetryDelay;
    for (;;) {
        TimePoint begun = m_clock.now();
        try {
            watchOnce();
        } catch (const KeyValueUnavailableError& error) {
            spdlog::warn("{}", error.what());
        }
        bool lasted = m_clock.now() - begun > longestRetryDelay;
        delay = lasted ? firstRetryDelay : std::min(delay * 2, longestRetryDelay);
        sleepFiber(delay);
    }
}

void ConfigurationController::gossipLoop()
{
    for (;;) {
        sleepFiber(gossipInterval);
        perform(m_spread.tick(m_clock.now()));
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
            spdlog::error("environment {}: {}", inForce.environment.text(), error.what());
        }
    }
}

} // namespace basilpoint
