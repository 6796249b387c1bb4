#pragma once

#include "basilpoint/Support/Endpoint.h"
#include "basilpoint/Support/Error.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace basilpoint {

using Json = nlohmann::json;

/// Reads the fields of one JSON object. Errors contain the JSON pointer of the invalid field.
class ObjectReader {
public:
    ObjectReader(const Json& json, std::string path)
        : m_json(json)
        , m_path(std::move(path))
    {
        if (!json.is_object())
            fail("", "an object");
    }

    [[noreturn]] void fail(const std::string& name, const std::string& allowed) const
    {
        std::string path = name.empty() ? m_path : m_path + "/" + name;
        const Json& value = name.empty() || !m_json.contains(name) ? m_json : m_json[name];
        throw InvalidInputError(path.empty() ? "/" : path, excerpt(value), allowed);
    }

    /// Fails if the object has a field that no previous call read, which is most likely a misspelled name.
    void rejectUnknownFields() const
    {
        for (const auto& [name, value] : m_json.items()) {
            if (!m_known.contains(name))
                fail(name, "a known name");
        }
    }

    const Json* find(const std::string& name)
    {
        m_known.insert(name);
        auto it = m_json.find(name);
        return it == m_json.end() ? nullptr : &*it;
    }

    std::string name(const std::string& key)
    {
        const Json* value = find(key);
        if (!value || !value->is_string())
            fail(key, "a name");
        auto text = value->get<std::string>();
        if (!isName(text))
            fail(key, allowedNames);
        return text;
    }

    std::vector<std::string> names(const std::string& key)
    {
        const Json* value = find(key);
        std::vector<std::string> result;
        if (!value)
            return result;
        if (!value->is_array())
            fail(key, "a list of names");
        for (const Json& entry : *value) {
            if (!entry.is_string() || !isName(entry.get<std::string>()))
                fail(key, allowedNames);
            result.push_back(entry.get<std::string>());
        }
        return result;
    }

    std::uint64_t number(const std::string& key, std::uint64_t fallback, std::uint64_t min, std::uint64_t max)
    {
        const Json* value = find(key);
        if (!value)
            return fallback;
        std::string allowed = "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
        if (!value->is_number_unsigned())
            fail(key, allowed);
        auto n = value->get<std::uint64_t>();
        if (n < min || n > max)
            fail(key, allowed);
        return n;
    }

    double weight(const std::string& key, double fallback)
    {
        const Json* value = find(key);
        if (!value)
            return fallback;
        if (!value->is_number() || value->get<double>() < 0 || value->get<double>() > 1)
            fail(key, "a number from 0 to 1");
        return value->get<double>();
    }

    bool flag(const std::string& key, bool fallback)
    {
        const Json* value = find(key);
        if (!value)
            return fallback;
        if (!value->is_boolean())
            fail(key, "true or false");
        return value->get<bool>();
    }

    std::vector<Endpoint> endpoints(const std::string& key)
    {
        const Json* value = find(key);
        if (!value || !value->is_array() || value->empty())
            fail(key, "a list of at least one ADDRESS:PORT");
        std::vector<Endpoint> result;
        for (std::size_t n = 0; n < value->size(); ++n) {
            const Json& entry = (*value)[n];
            std::string path = m_path + "/" + key + "/" + std::to_string(n);
            result.push_back(parseEndpoint(path, entry.is_string() ? entry.get<std::string>() : entry.dump()));
        }
        return result;
    }

    template <typename Read>
    void each(const std::string& key, Read read)
    {
        const Json* list = find(key);
        if (!list)
            return;
        if (!list->is_array())
            fail(key, "a list");
        for (std::size_t n = 0; n < list->size(); ++n)
            read(ObjectReader((*list)[n], m_path + "/" + key + "/" + std::to_string(n)));
    }

    const std::string& path() const { return m_path; }

private:
    static constexpr std::size_t maxNameLength = 63;
    static constexpr std::size_t maxExcerptLength = 80;
    static constexpr auto allowedNames = "1 to 63 of a-z, 0-9, '-' and '.'";

    // The value may contain invalid UTF-8, for which dump() would throw by default.
    static std::string excerpt(const Json& value)
    {
        return value.dump(-1, ' ', true, Json::error_handler_t::replace).substr(0, maxExcerptLength);
    }

    static bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxNameLength && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.") == std::string::npos;
    }

    const Json& m_json;
    std::string m_path;
    std::set<std::string> m_known;
};

} // namespace basilpoint
