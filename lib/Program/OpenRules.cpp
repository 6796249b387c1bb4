#include "OpenRules.h"

namespace basilpoint {

std::string openKeyOf(const ProgramOpened& opened)
{
    return opened.environment.text() + '\n' + opened.openKey.text();
}

Digest requestDigest(const ProgramOpened& opened)
{
    if (opened.request != Digest {})
        return opened.request;
    std::string buf = opened.parent.text() + '\n' + std::to_string(opened.budget);
    if (opened.deadline)
        buf += '\n' + std::to_string((*opened.deadline - opened.openedAt).count());
    return digestOf(buf);
}

} // namespace basilpoint
