#include "basilpoint/Support/Random.h"

namespace basilpoint {

std::string randomHex(RandomEngine& random, unsigned digits)
{
    static constexpr char hexDigits[] = "0123456789abcdef";
    std::uniform_int_distribution<unsigned> draw(0, 15);
    std::string text;
    for (unsigned n = 0; n < digits; ++n)
        text += hexDigits[draw(random)];
    return text;
}

} // namespace basilpoint
