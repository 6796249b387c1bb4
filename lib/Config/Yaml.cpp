#include "basilpoint/Config/Environment.h"
#include "basilpoint/Support/Error.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr unsigned maxDepth = 32;

static std::string lineOf(const YAML::Mark& mark)
{
    return "line " + std::to_string(mark.line + 1);
}

template <typename Value>
static bool parseWhole(const std::string& text, Value& value)
{
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc() && end == text.data() + text.size();
}

// Plain scalars take the type that the JSON schema of YAML gives them; quoted ones stay text.
static Json scalarToJson(const YAML::Node& node)
{
    const std::string& text = node.Scalar();
    if (node.Tag() == "!")
        return text;
    if (text == "true" || text == "false")
        return text == "true";
    if (text == "null" || text == "~")
        return nullptr;
    std::uint64_t whole = 0;
    if (parseWhole(text, whole))
        return whole;
    double fraction = 0;
    if (parseWhole(text, fraction))
        return fraction;
    return text;
}

static Json nodeToJson(const YAML::Node& node, unsigned depth)
{
    if (depth > maxDepth)
        throw InvalidInputError(lineOf(node.Mark()), "nesting", "at most 32 levels");
    switch (node.Type()) {
    case YAML::NodeType::Undefined:
    case YAML::NodeType::Null:
        return nullptr;
    case YAML::NodeType::Scalar:
        return scalarToJson(node);
    case YAML::NodeType::Sequence: {
        Json list = Json::array();
        for (const auto& entry : node)
            list.push_back(nodeToJson(entry, depth + 1));
        return list;
    }
    case YAML::NodeType::Map: {
        Json object = Json::object();
        for (const auto& entry : node) {
            if (!entry.first.IsScalar() || object.contains(entry.first.Scalar()))
                throw InvalidInputError(lineOf(entry.first.Mark()), "key", "a name that stands once");
            object[entry.first.Scalar()] = nodeToJson(entry.second, depth + 1);
        }
        return object;
    }
    }
    return nullptr;
}

std::string canonicalJson(const std::string& yaml)
{
    try {
        return nodeToJson(YAML::Load(yaml), 0).dump();
    } catch (const YAML::Exception& error) {
        throw InvalidInputError(lineOf(error.mark), error.msg, "YAML");
    } catch (const Json::exception&) {
        throw InvalidInputError("document", "text", "UTF-8");
    }
}

} // namespace basilpoint
