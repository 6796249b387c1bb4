#include "basilpoint/Config/Environment.h"
#include "basilpoint/Support/Error.h"
#include "basilpoint/Support/ParseNumber.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr unsigned maxDepth = 32;
// Bounds the expansion of aliases, with which a short text can describe a huge document.
static constexpr std::size_t maxNodes = 50'000;
static constexpr std::size_t maxTextBytes = 1'000'000;
// yaml-cpp recurses, and its own depth limit is too high for the stack of a fiber.
static constexpr std::size_t maxFlowDepth = 64;

static std::string lineOf(const YAML::Mark& mark)
{
    return "line " + std::to_string(mark.line + 1);
}

// Plain scalars have the type that YAML's JSON schema gives them; quoted scalars are strings.
static Json scalarToJson(const YAML::Node& node)
{
    const std::string& text = node.Scalar();
    if (node.Tag() == "!")
        return text;
    if (text == "true" || text == "false")
        return text == "true";
    if (text == "null" || text == "~")
        return nullptr;
    if (auto whole = parseNumber<std::uint64_t>(text))
        return *whole;
    if (auto fraction = parseNumber<double>(text))
        return *fraction;
    return text;
}

namespace {

    // Converts a document to JSON and records the line of each value by JSON pointer.
    class NodeConverter {
    public:
        Json convert(const YAML::Node& node, const std::string& path, unsigned depth);

        std::map<std::string, int> takeLines() { return std::move(m_lines); }

    private:
        Json convertMap(const YAML::Node& node, const std::string& path, unsigned depth);

        std::map<std::string, int> m_lines;
        std::size_t m_count = 0;
    };

} // namespace

Json NodeConverter::convert(const YAML::Node& node, const std::string& path, unsigned depth)
{
    if (depth > maxDepth)
        throw InvalidInputError(lineOf(node.Mark()), "nesting", "at most 32 levels");
    if (++m_count > maxNodes)
        throw InvalidInputError(lineOf(node.Mark()), "values", "at most 50000 values");
    m_lines.emplace(path, node.Mark().line);
    switch (node.Type()) {
    case YAML::NodeType::Undefined:
    case YAML::NodeType::Null:
        return nullptr;
    case YAML::NodeType::Scalar:
        return scalarToJson(node);
    case YAML::NodeType::Sequence: {
        Json list = Json::array();
        for (const auto& entry : node)
            list.push_back(convert(entry, path + "/" + std::to_string(list.size()), depth + 1));
        return list;
    }
    case YAML::NodeType::Map:
        return convertMap(node, path, depth);
    }
    return nullptr;
}

Json NodeConverter::convertMap(const YAML::Node& node, const std::string& path, unsigned depth)
{
    Json object = Json::object();
    for (const auto& entry : node) {
        if (!entry.first.IsScalar() || object.contains(entry.first.Scalar()))
            throw InvalidInputError(lineOf(entry.first.Mark()), "key", "a name that stands once");
        const std::string& name = entry.first.Scalar();
        const std::string at = fmt::format("{}/{}", path, name);
        m_lines.emplace(at, entry.first.Mark().line);
        object[name] = convert(entry.second, at, depth + 1);
    }
    return object;
}

static void checkTextLimits(const std::string& yaml)
{
    if (yaml.size() > maxTextBytes)
        throw InvalidInputError("document", std::to_string(yaml.size()) + " bytes", "at most 1000000 bytes");
    std::size_t depth = 0;
    std::size_t indent = 0;
    bool inIndent = true;
    for (char c : yaml) {
        depth += c == '[' || c == '{' ? 1 : 0;
        depth -= (c == ']' || c == '}') && depth > 0 ? 1 : 0;
        // In block style, each column of indentation and each "- " or "? " can begin a nesting level.
        inIndent = c == '\n' || (inIndent && (c == ' ' || c == '-' || c == '?' || c == ':'));
        indent = c == '\n' ? 0 : indent + (inIndent ? 1 : 0);
        if (depth > maxFlowDepth || indent > 2 * maxFlowDepth)
            throw InvalidInputError("document", "nesting", "at most 32 levels");
    }
}

// \returns canonical JSON, and the line of each value by JSON pointer.
static std::pair<std::string, std::map<std::string, int>> convertDocument(const std::string& yaml)
{
    checkTextLimits(yaml);
    try {
        NodeConverter converter;
        std::string json = converter.convert(YAML::Load(yaml), "", 0).dump();
        if (json.size() > maxDocumentBytes)
            throw InvalidInputError("document", std::to_string(json.size()) + " bytes", "at most 240000 bytes as JSON without spaces");
        return { std::move(json), converter.takeLines() };
    } catch (const YAML::Exception& error) {
        throw InvalidInputError(lineOf(error.mark), error.msg, "YAML");
    } catch (const Json::exception&) {
        throw InvalidInputError("document", "text", "UTF-8");
    }
}

std::string canonicalJson(const std::string& yaml)
{
    return convertDocument(yaml).first;
}

// Line of the value at \p pointer, or of the innermost enclosing value with a known line.
static int lineAt(const std::map<std::string, int>& lines, std::string pointer)
{
    auto it = lines.find(pointer);
    while (it == lines.end() && !pointer.empty()) {
        pointer.erase(pointer.rfind('/') == std::string::npos ? 0 : pointer.rfind('/'));
        it = lines.find(pointer);
    }
    return it == lines.end() ? 0 : it->second;
}

static const std::string& fieldOf(const Error& error, std::string_view name)
{
    auto it = std::find_if(error.fields().begin(), error.fields().end(), [&](const ErrorField& field) { return field.name == name; });
    assert(it != error.fields().end() && "the error must have the field");
    return it->value;
}

EnvironmentSource readEnvironment(const std::string& yaml)
{
    auto [document, lines] = convertDocument(yaml);
    try {
        return { parseEnvironment(document), document };
    } catch (const InvalidInputError& error) {
        const std::string& pointer = fieldOf(error, "field");
        std::string field = "line " + std::to_string(lineAt(lines, pointer) + 1) + " " + pointer;
        throw InvalidInputError(std::move(field), fieldOf(error, "value"), fieldOf(error, "allowed"));
    }
}

} // namespace basilpoint
