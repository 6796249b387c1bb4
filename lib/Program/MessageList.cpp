#include "MessageList.h"

#include "basilpoint/Support/Error.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

// Serializing JSON is recursive, and the stacks of fibers are small.
static constexpr std::size_t maxDepth = 32;
static constexpr std::size_t maxQuotedBytes = 80;

namespace {

    /// Tracks the nesting depth of a JSON text that is fed character by character.
    class JsonScanner {
    public:
        void feed(char c)
        {
            if (m_escaped)
                m_escaped = false;
            else if (m_inString)
                feedString(c);
            else if (c == '"')
                m_inString = true;
            else if (c == '{' || c == '[')
                ++m_depth;
            else if ((c == '}' || c == ']') && m_depth > 0)
                --m_depth;
        }

        std::size_t depth() const { return m_depth; }

    private:
        void feedString(char c)
        {
            if (c == '\\')
                m_escaped = true;
            else if (c == '"')
                m_inString = false;
        }

        std::size_t m_depth = 0;
        bool m_inString = false;
        bool m_escaped = false;
    };

} // namespace

static Json parseBounded(std::string_view json)
{
    JsonScanner scanner;
    for (char c : json) {
        scanner.feed(c);
        if (scanner.depth() > maxDepth)
            throw InvalidInputError("messages", "deeply nested", "JSON of at most " + std::to_string(maxDepth) + " levels");
    }
    return Json::parse(json, nullptr, false);
}

static void checkMessage(const Json& message, const std::string& path)
{
    if (!message.is_object())
        throw InvalidInputError(path, message.type_name(), "a JSON object");
    auto role = message.find("role");
    if (role != message.end() && !role->is_string())
        throw InvalidInputError(path + "/role", role->type_name(), "a string");
}

MessageList MessageList::parse(std::string_view json)
{
    Json messages = parseBounded(json);
    if (!messages.is_array() || messages.empty())
        throw InvalidInputError("/messages", messages.type_name(), "a JSON array of at least one message");
    MessageList list;
    std::size_t index = 0;
    for (const Json& message : messages) {
        checkMessage(message, "/messages/" + std::to_string(index++));
        if (!list.m_text.empty())
            list.m_text += ',';
        list.m_text += message.dump();
        list.m_hasAnswer |= message.value("role", "") == "assistant";
    }
    return list;
}

std::string canonicalMessage(std::string_view json)
{
    Json message = parseBounded(json);
    if (!message.is_object())
        throw InvalidInputError("message", std::string(json.substr(0, maxQuotedBytes)), "a JSON object");
    return message.dump();
}

void forEachMessage(std::string_view text, const std::function<void(std::string_view)>& visit)
{
    JsonScanner scanner;
    std::size_t begin = 0;
    for (std::size_t it = 0; it < text.size(); ++it) {
        if (text[it] == ',' && scanner.depth() == 0) {
            visit(text.substr(begin, it - begin));
            begin = it + 1;
        } else {
            scanner.feed(text[it]);
        }
    }
    if (begin < text.size())
        visit(text.substr(begin));
}

Digest extendChain(Digest chain, std::string_view text)
{
    forEachMessage(text, [&](std::string_view message) { chain = extendDigest(chain, message); });
    return chain;
}

} // namespace basilpoint
