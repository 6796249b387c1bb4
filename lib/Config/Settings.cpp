#include "basilpoint/Config/Settings.h"

#include "basilpoint/Support/Error.h"
#include "basilpoint/Support/ParseNumber.h"

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>

namespace basilpoint {

static std::string environmentVariableName(const std::string& flag)
{
    std::string name = "BASILPOINT_" + flag;
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return c == '-' ? '_' : static_cast<char>(std::toupper(c)); });
    return name;
}

static std::int64_t parseSettingNumber(const std::string& flag, const std::string& text, const std::string& allowed)
{
    auto n = parseNumber<std::int64_t>(text);
    if (!n)
        throw InvalidInputError("--" + flag, text, allowed);
    return *n;
}

static void checkValue(const SettingSpec& spec, const std::string& value)
{
    bool isChoice = spec.choices.empty() || std::find(spec.choices.begin(), spec.choices.end(), value) != spec.choices.end();
    if (!isChoice)
        throw InvalidInputError("--" + spec.name, value, spec.allowed);
    if (!spec.range)
        return;
    std::int64_t n = parseSettingNumber(spec.name, value, spec.allowed);
    if (n < spec.range->first || n > spec.range->second)
        throw InvalidInputError("--" + spec.name, value, spec.allowed);
}

static cxxopts::Options optionsFor(const std::string& program, const std::string& summary, const std::vector<SettingSpec>& specs)
{
    cxxopts::Options options(program, summary);
    for (const SettingSpec& spec : specs) {
        std::string help = spec.help + " Allowed: " + spec.allowed + ". Also " + environmentVariableName(spec.name) + ".";
        options.add_options()(spec.name, help, cxxopts::value<std::string>()->default_value(spec.defaultValue));
    }
    options.add_options()("help", "Print this text.");
    return options;
}

std::int64_t SettingValues::number(const std::string& name) const
{
    return parseSettingNumber(name, text(name), "a whole number");
}

Endpoint SettingValues::endpoint(const std::string& name) const
{
    return parseEndpoint("--" + name, text(name));
}

std::vector<Endpoint> SettingValues::endpoints(const std::string& name) const
{
    std::vector<Endpoint> result;
    std::string rest = text(name);
    while (!rest.empty()) {
        auto comma = rest.find(',');
        result.push_back(parseEndpoint("--" + name, rest.substr(0, comma)));
        rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
    }
    return result;
}

std::optional<std::string> processEnvironment(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    return value ? std::optional<std::string>(value) : std::nullopt;
}

SettingValues resolveSettings(const std::vector<SettingSpec>& specs, const std::vector<std::string>& arguments, const EnvironmentReader& environment)
{
    std::vector<const char*> argv { "basilpoint" };
    for (const std::string& argument : arguments)
        argv.push_back(argument.c_str());
    std::map<std::string, std::string> values;
    try {
        auto parsed = optionsFor("basilpoint", "", specs).parse(static_cast<int>(argv.size()), argv.data());
        if (!parsed.unmatched().empty())
            throw InvalidInputError("argument", parsed.unmatched().front(), "flags as --help lists them");
        for (const SettingSpec& spec : specs) {
            std::optional<std::string> variable = environment(environmentVariableName(spec.name));
            bool isFlagSet = parsed.count(spec.name) > 0;
            values[spec.name] = isFlagSet || !variable ? parsed[spec.name].as<std::string>() : *variable;
            checkValue(spec, values[spec.name]);
        }
    } catch (const cxxopts::exceptions::exception& error) {
        throw InvalidInputError("arguments", error.what(), "flags as --help lists them");
    }
    return SettingValues(std::move(values));
}

std::string settingsHelp(const std::string& program, const std::string& summary, const std::vector<SettingSpec>& specs)
{
    return optionsFor(program, summary, specs).help();
}

} // namespace basilpoint
