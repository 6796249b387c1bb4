#include "EnvCommand.h"

#include "basilpoint/Config/Environment.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace basilpoint {

namespace {

    /// Another operator changed the environment while this change was on its way.
    class EditConflictError final : public Error {
    public:
        explicit EditConflictError(const EnvironmentId& id)
            : Error({ "edit-conflict", 409, Executed::No }, { { "environment", id.text() } })
        {
        }
    };

} // namespace

static std::string readFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream buf;
    buf << in.rdbuf();
    if (!in)
        throw InvalidInputError("file", path, "a file that can be read");
    return buf.str();
}

static int apply(KeyValueStore& store, const std::string& document, const EnvironmentId& id)
{
    auto current = store.get(environmentKey(id));
    Revision revision = current ? decodeStoredEnvironment(current->value).revision : Revision(0);
    std::string value = encodeStoredEnvironment({ revision.next(), document });
    if (!store.compareAndSwap(environmentKey(id), current ? current->modRevision : 0, value))
        throw EditConflictError(id);
    fmt::print("{}: revision {} in force, digest {}\n", id.text(), revision.next().value(), digestOf(document).text());
    return 0;
}

int runEnvCommand(KeyValueStore& store, const std::string& verb, const std::string& file)
{
    std::string document = canonicalJson(readFile(file));
    Environment environment = parseEnvironment(document);
    if (verb == "apply")
        return apply(store, document, environment.id);
    if (verb != "validate")
        throw InvalidInputError("command", "env " + verb, "env validate or env apply");
    fmt::print("{}: valid, digest {}\n", environment.id.text(), digestOf(document).text());
    return 0;
}

} // namespace basilpoint
