#pragma once

#include "basilpoint/Forwarding/RouteTable.h"
#include "basilpoint/Support/Ids.h"

#include <memory>

namespace basilpoint {

/// Makes ids that callers choose unique among organisations, so that no organisation reads or changes what belongs to another.
class OrganisationScope {
public:
    /// \param organisation of the caller; null if there is none.
    /// \param identifiesCallers whether the configuration has organisations. If it has none, ids stay as they are.
    OrganisationScope(const Organisation* organisation, bool identifiesCallers);

    std::string scoped(const std::string& id) const;

    /// An empty id stays empty.
    template <typename Tag>
    TextId<Tag> scoped(const TextId<Tag>& id) const
    {
        return id.empty() ? id : TextId<Tag>(scoped(id.text()));
    }

private:
    std::string m_prefix;
    bool m_identifiesCallers;
};

} // namespace basilpoint
