#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Endpoint.h"
#include "basilpoint/Support/Ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpoint {

/// One setting of a program, set by a flag or by the environment variable of the same name.
struct SettingSpec {
    /// Flag without dashes; "listen" is --listen and BASILPOINT_LISTEN.
    std::string name;
    std::string defaultValue;
    /// Description with the unit.
    std::string help;
    /// Description of the allowed values, for errors and --help.
    std::string allowed;
    /// Smallest and largest allowed value of a numeric setting.
    std::optional<std::pair<std::int64_t, std::int64_t>> range = std::nullopt;
    /// Allowed values; empty if any value is allowed.
    std::vector<std::string> choices {};
};

/// Values of a program's settings, resolved from flags, environment variables and defaults.
class SettingValues {
public:
    explicit SettingValues(std::map<std::string, std::string> values)
        : m_values(std::move(values))
    {
    }

    const std::string& text(const std::string& name) const { return m_values.at(name); }
    std::int64_t number(const std::string& name) const;
    Endpoint endpoint(const std::string& name) const;
    /// Comma-separated addresses; empty text is an empty list.
    std::vector<Endpoint> endpoints(const std::string& name) const;

    const std::map<std::string, std::string>& all() const { return m_values; }

private:
    std::map<std::string, std::string> m_values;
};

/// Returns the value of an environment variable; empty if it is not set.
using EnvironmentReader = std::function<std::optional<std::string>(const std::string& name)>;

/// Reads an environment variable of this process.
std::optional<std::string> processEnvironment(const std::string& name);

/// Resolves settings. A flag overrides its environment variable, which overrides the default.
/// \throws InvalidInputError with the flag, the value and the allowed values.
SettingValues resolveSettings(const std::vector<SettingSpec>&, const std::vector<std::string>& arguments, const EnvironmentReader&);

/// Text that --help prints.
std::string settingsHelp(const std::string& program, const std::string& summary, const std::vector<SettingSpec>&);

} // namespace basilpoint
